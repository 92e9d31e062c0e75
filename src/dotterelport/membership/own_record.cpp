#include "own_record.hpp"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

#include "dotterelport/base/error.hpp"
#include "dotterelport/base/hash.hpp"
#include "events.hpp"

namespace dotterelport::membership {
namespace {

constexpr milliseconds first_retry_delay{200};
constexpr milliseconds longest_retry_delay{2'000};
/// Conflicts and lost answers in a row after which a change is reported as not written.
constexpr int change_attempts = 4;

std::string random_token()
{
    std::random_device device;
    std::string bytes;
    for (int i = 0; i < 4; ++i) {
        bytes += std::to_string(device());
    }
    return hash128_hex(bytes);
}

} // namespace

own_record::own_record(net::event_loop& loop, object_store::client& platform, node_record self)
    : loop_(loop), platform_(platform), record_(std::move(self)), retry_delay_(first_retry_delay)
{}

void own_record::start(listener callbacks)
{
    listener_ = std::move(callbacks);
    rejoin();
}

void own_record::rejoin()
{
    if (registered_ || registering_ || closed_itself_) {
        return;
    }
    registering_ = true;
    retry_delay_ = first_retry_delay;
    record_.registration_token = random_token();
    record_.state = node_state::live;
    record_.agents.clear();
    unconfirmed_version_.reset();
    register_next();
}

void own_record::retry_registration(const char* step)
{
    log(event_registration_delayed, {{"node", record_.id.node}, {"step", step}});
    loop_.schedule(retry_delay_, [this, alive = std::weak_ptr(alive_)] {
        if (!alive.expired()) {
            register_next();
        }
    });
    retry_delay_ = std::min(retry_delay_ * 2, longest_retry_delay);
}

void own_record::register_next()
{
    platform_.read(
        node_key(record_.id.node), guarded([this](const object_store::read_result& result) {
            if (result.status == object_store::read_status::unavailable) {
                retry_registration("read");
                return;
            }
            if (result.status == object_store::read_status::absent) {
                write_registration(std::nullopt, 0);
                return;
            }
            node_record previous;
            try {
                previous = parse_node_record(result.value.value);
            } catch (const error& failure) {
                log(event_own_record_unreadable, {{"error", failure.what()}});
                retry_registration("parse");
                return;
            }
            if (previous.registration_token == record_.registration_token) {
                adopt_registration(previous, result.value.object_version);
            } else if (previous.role == node_role::router && previous.state != node_state::closed) {
                store_previous(previous, result.value.object_version);
            } else {
                write_registration(previous, result.value.object_version);
            }
        }));
}

// The record of the previous incarnation lists the agents that its grants depend on. It is copied
// to a separate key before the record of the next incarnation replaces it. Several processes may
// copy it concurrently: agents are only added and the state only advances, so no order of writes
// loses an agent or a state.
void own_record::store_previous(const node_record& previous, object_store::version previous_version)
{
    const std::string key = earlier_incarnation_key(previous.id);
    platform_.read(
        key,
        guarded([this, key, previous, previous_version](const object_store::read_result& result) {
            node_record merged = previous;
            object_store::version stored_version = 0;
            if (result.status == object_store::read_status::unavailable) {
                retry_registration("read_previous");
                return;
            }
            if (result.status == object_store::read_status::found) {
                stored_version = result.value.object_version;
                try {
                    const node_record stored = parse_node_record(result.value.value);
                    merged.agents.insert(stored.agents.begin(), stored.agents.end());
                    merged.state = std::max(merged.state, stored.state);
                } catch (const error& failure) {
                    log(event_own_record_unreadable, {{"key", key}, {"error", failure.what()}});
                }
            }
            const std::string text = to_json(merged).dump();
            if (stored_version != 0 && text == result.value.value) {
                write_registration(previous, previous_version);
                return;
            }
            platform_.write(key, text, stored_version,
                            guarded([this, previous,
                                     previous_version](const object_store::write_result& written) {
                                if (written.status == object_store::write_status::applied) {
                                    write_registration(previous, previous_version);
                                } else {
                                    retry_registration("keep_previous");
                                }
                            }));
        }));
}

void own_record::write_registration(std::optional<node_record> previous,
                                    object_store::version previous_version)
{
    record_.id.epoch = previous ? previous->id.epoch + 1 : 1;
    platform_.write(node_key(record_.id.node), to_json(record_).dump(), previous_version,
                    guarded([this](const object_store::write_result& written) {
                        if (written.status == object_store::write_status::applied) {
                            adopt_registration(record_, written.object_version);
                        } else {
                            // The retry reads the record, whose token shows whether the write took
                            // effect.
                            retry_registration("write");
                        }
                    }));
}

void own_record::adopt_registration(const node_record& registered, object_store::version version)
{
    registering_ = false;
    record_ = registered;
    version_ = version;
    if (record_.state > node_state::leaving) {
        // Another router closed this incarnation before this process received the confirmation.
        listener_.on_lost();
        return;
    }
    registered_ = true;
    log(event_registered, {{"incarnation", to_string(record_.id)}});
    listener_.on_written();
    listener_.on_registered();
}

bool own_record::is_own(const node_record& seen) const
{
    return seen.registration_token == record_.registration_token &&
           seen.state <= node_state::leaving;
}

void own_record::observe(const node_record& seen, object_store::version version)
{
    if (!registered_ || version <= version_ || !in_flight_.empty()) {
        return;
    }
    if (!is_own(seen)) {
        handle_loss();
        return;
    }
    record_ = seen;
    version_ = version;
}

void own_record::handle_loss()
{
    registered_ = false;
    log(event_incarnation_lost, {{"incarnation", to_string(record_.id)}});
    complete_in_flight(false);
    in_flight_ = std::exchange(queued_, {});
    complete_in_flight(false);
    listener_.on_lost();
}

void own_record::change(change_function function, bool always, std::function<void(bool)> done)
{
    queued_.push_back({std::move(function), always, std::move(done)});
    loop_.post([this, alive = std::weak_ptr(alive_)] {
        if (!alive.expired()) {
            write_changes();
        }
    });
}

void own_record::complete_in_flight(bool written)
{
    for (const auto& item : std::exchange(in_flight_, {})) {
        item.done(written);
    }
}

void own_record::write_changes()
{
    if (!in_flight_.empty() || queued_.empty()) {
        return;
    }
    in_flight_ = std::exchange(queued_, {});
    if (!registered_) {
        complete_in_flight(false);
        return;
    }
    node_record next = record_;
    bool write_needed = has_unconfirmed_write();
    for (auto& item : in_flight_) {
        item.function(next);
        write_needed = write_needed || item.always;
        ++item.attempts;
    }
    const std::string text = to_json(next).dump();
    if (!write_needed && text == to_json(record_).dump()) {
        complete_in_flight(true);
        return;
    }
    platform_.write(node_key(record_.id.node), text, version_,
                    guarded([this, next](const object_store::write_result& result) {
                        switch (result.status) {
                        case object_store::write_status::applied:
                            record_ = next;
                            version_ = result.object_version;
                            if (record_.state > node_state::leaving) {
                                closed_itself_ = true;
                                registered_ = false;
                            }
                            listener_.on_written();
                            complete_in_flight(true);
                            write_changes();
                            return;
                        case object_store::write_status::unknown:
                            unconfirmed_version_ = version_;
                            resolve_by_reading();
                            return;
                        case object_store::write_status::conflict:
                            resolve_by_reading();
                            return;
                        case object_store::write_status::unavailable:
                        case object_store::write_status::too_large:
                            complete_in_flight(false);
                            write_changes();
                            return;
                        }
                    }));
}

void own_record::resolve_by_reading()
{
    platform_.read(node_key(record_.id.node),
                   guarded([this](const object_store::read_result& result) {
                       if (result.status == object_store::read_status::unavailable) {
                           complete_in_flight(false);
                           write_changes();
                           return;
                       }
                       resolve(result);
                   }));
}

void own_record::resolve(const object_store::read_result& result)
{
    node_record seen;
    try {
        seen = parse_node_record(result.value.value);
    } catch (const error& failure) {
        log(event_own_record_unreadable, {{"error", failure.what()}});
    }
    if (is_own(seen)) {
        record_ = seen;
        version_ = result.value.object_version;
        retry_in_flight();
        return;
    }
    node_record intended = record_;
    for (const auto& item : in_flight_) {
        item.function(intended);
    }
    if (seen.registration_token == record_.registration_token && seen.state == intended.state) {
        // This node's own change to a final state took effect, or another router made the same
        // change.
        closed_itself_ = true;
        registered_ = false;
        record_ = seen;
        version_ = result.value.object_version;
        listener_.on_written();
        complete_in_flight(true);
        write_changes();
        return;
    }
    handle_loss();
}

void own_record::retry_in_flight()
{
    for (auto& item : std::exchange(in_flight_, {})) {
        if (item.attempts >= change_attempts) {
            item.done(false);
        } else {
            queued_.push_back(std::move(item));
        }
    }
    write_changes();
}

} // namespace dotterelport::membership
