#include "incarnation_closer.hpp"

#include <utility>

#include "dotterelport/base/error.hpp"
#include "events.hpp"

namespace dotterelport::membership {
namespace {

/// Number of conflicts and lost answers after which a change fails and the caller has to retry
/// later.
constexpr int attempt_limit = 4;

std::optional<node_record> parse_found(const object_store::read_result& result)
{
    if (result.status != object_store::read_status::found) {
        return std::nullopt;
    }
    try {
        return parse_node_record(result.value.value);
    } catch (const error& failure) {
        log(event_records_unreadable, {{"key", result.value.key}, {"error", failure.what()}});
        return std::nullopt;
    }
}

bool is_undecided(const object_store::write_result& result)
{
    return result.status == object_store::write_status::conflict ||
           result.status == object_store::write_status::unknown;
}

} // namespace

void incarnation_closer::locate(const incarnation& other,
                                std::function<void(const record_location&)> done)
{
    const auto read_key = [this, other](const std::string& key,
                                        std::function<void(const record_location&)> on_read) {
        platform_.read(key, guarded([key, other, on_read = std::move(on_read)](
                                        const object_store::read_result& read) {
                           record_location result;
                           result.key = key;
                           if (read.status == object_store::read_status::unavailable) {
                               on_read(result);
                               return;
                           }
                           result.outcome = record_location::status::absent;
                           if (const auto record = parse_found(read);
                               record && record->id == other) {
                               result = {record_location::status::found, key, *record,
                                         read.value.object_version};
                           }
                           on_read(result);
                       }));
    };
    read_key(node_key(other.node),
             [other, read_key, done = std::move(done)](const record_location& current) {
                 if (current.outcome == record_location::status::absent) {
                     read_key(earlier_incarnation_key(other), done);
                 } else {
                     done(current);
                 }
             });
}

void incarnation_closer::begin(const incarnation& other,
                               std::function<void(const std::optional<node_record>&)> done)
{
    begin(other, attempt_limit, std::move(done));
}

void incarnation_closer::begin(const incarnation& other, int attempts,
                               std::function<void(const std::optional<node_record>&)> done)
{
    locate(other, [this, other, attempts, done = std::move(done)](const record_location& location) {
        if (location.outcome != record_location::status::found || attempts == 0 ||
            location.record.state == node_state::closed) {
            done(std::nullopt);
            return;
        }
        if (location.record.state == node_state::closing) {
            done(location.record);
            return;
        }
        node_record next = location.record;
        next.state = node_state::closing;
        platform_.write(
            location.key, to_json(next).dump(), location.version,
            guarded([this, other, attempts, next, done](const object_store::write_result& result) {
                if (result.status == object_store::write_status::applied) {
                    log(event_closing_started, {{"incarnation", to_string(other)}});
                    done(next);
                } else if (is_undecided(result)) {
                    begin(other, attempts - 1, done);
                } else {
                    done(std::nullopt);
                }
            }));
    });
}

void incarnation_closer::finish(const incarnation& other, std::function<void(bool)> done)
{
    finish(other, attempt_limit, std::move(done));
}

void incarnation_closer::finish(const incarnation& other, int attempts,
                                std::function<void(bool)> done)
{
    locate(other, [this, other, attempts, done = std::move(done)](const record_location& location) {
        const bool finished = location.outcome == record_location::status::absent ||
                              (location.outcome == record_location::status::found &&
                               location.record.state == node_state::closed);
        if (finished || location.outcome != record_location::status::found || attempts == 0 ||
            location.record.state != node_state::closing) {
            done(finished);
            return;
        }
        const auto handle_result =
            guarded([this, other, attempts, done](const object_store::write_result& result) {
                if (result.status == object_store::write_status::applied) {
                    log(event_closing_finished, {{"incarnation", to_string(other)}});
                    done(true);
                } else if (is_undecided(result)) {
                    finish(other, attempts - 1, done);
                } else {
                    done(false);
                }
            });
        if (location.key == node_key(other.node)) {
            // The record stays, without its agents, because the next epoch is derived from it.
            node_record next = location.record;
            next.state = node_state::closed;
            next.agents.clear();
            platform_.write(location.key, to_json(next).dump(), location.version, handle_result);
        } else {
            platform_.remove(location.key, location.version, handle_result);
        }
    });
}

} // namespace dotterelport::membership
