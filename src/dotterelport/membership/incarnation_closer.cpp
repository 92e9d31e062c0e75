#include "incarnation_closer.hpp"

#include <utility>

#include "dotterelport/base/error.hpp"
#include "events.hpp"

namespace dotterelport::membership {
namespace {

/// Conflicts and lost answers after which the owner is told to try again later.
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

void incarnation_closer::locate(const incarnation& other, std::function<void(const located&)> done)
{
    const auto read_key = [this, other](const std::string& key,
                                        std::function<void(const located&)> found) {
        platform_.read(
            key,
            guarded([key, other, found = std::move(found)](const object_store::read_result& read) {
                located result;
                result.key = key;
                if (read.status == object_store::read_status::unavailable) {
                    found(result);
                    return;
                }
                result.outcome = located::status::absent;
                if (const auto record = parse_found(read); record && record->id == other) {
                    result = {located::status::found, key, *record, read.value.at};
                }
                found(result);
            }));
    };
    read_key(node_key(other.node),
             [other, read_key, done = std::move(done)](const located& present) {
                 if (present.outcome == located::status::absent) {
                     read_key(earlier_incarnation_key(other), done);
                 } else {
                     done(present);
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
    locate(other, [this, other, attempts, done = std::move(done)](const located& place) {
        if (place.outcome != located::status::found || attempts == 0 ||
            place.record.state == node_state::closed) {
            done(std::nullopt);
            return;
        }
        if (place.record.state == node_state::closing) {
            done(place.record);
            return;
        }
        node_record next = place.record;
        next.state = node_state::closing;
        platform_.write(
            place.key, to_json(next).dump(), place.at,
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
    locate(other, [this, other, attempts, done = std::move(done)](const located& place) {
        const bool finished =
            place.outcome == located::status::absent ||
            (place.outcome == located::status::found && place.record.state == node_state::closed);
        if (finished || place.outcome != located::status::found || attempts == 0 ||
            place.record.state != node_state::closing) {
            done(finished);
            return;
        }
        const auto take_result =
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
        if (place.key == node_key(other.node)) {
            // The record stays, without its agents, because the next epoch follows from it.
            node_record next = place.record;
            next.state = node_state::closed;
            next.agents.clear();
            platform_.write(place.key, to_json(next).dump(), place.at, take_result);
        } else {
            platform_.remove(place.key, place.at, take_result);
        }
    });
}

} // namespace dotterelport::membership
