#include "dotterelport/gateway/server_statements.hpp"

#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/gateway/events.hpp"

namespace dotterelport::gateway {
namespace {

/// Time for which the statements of a removed server are kept; longer than an outage of the store.
constexpr milliseconds removed_memory{60'000};

json rate_or_null(const std::optional<double>& rate)
{
    return rate ? json(*rate) : json();
}

} // namespace

json to_json(const statement_message& message)
{
    return json::array(
        {message.server, message.started_ms, rate_or_null(message.max_rate), message.leaving});
}

statement_message parse_statement_message(const json& document)
{
    statement_message result{.server = document.at(0).get<std::string>(),
                             .started_ms = document.at(1).get<std::uint64_t>(),
                             .max_rate = std::nullopt,
                             .leaving = document.at(3).get<bool>()};
    if (!document.at(2).is_null()) {
        result.max_rate = document.at(2).get<double>();
    }
    return result;
}

server_statements::server_statements(peer_link& link, server_directory& servers)
    : link_(link), servers_(servers)
{
    link_.on_message(peer_message_kind::server_statement,
                     [this](const peer_message& message) { receive(message); });
}

bool server_statements::apply(const statement_message& message, const std::string& reported_by)
{
    const auto* server = servers_.find(message.server);
    if (server == nullptr || server->started_ms != message.started_ms) {
        return false;
    }
    end_removal(message.server);
    const bool is_new_rate = limits_.set_rate(message.server, message.max_rate, steady_now());
    if (is_new_rate) {
        log(events::server_limit_changed, {{"server", message.server},
                                           {"max_rate", rate_or_null(message.max_rate)},
                                           {"reported_by", reported_by}});
    }
    const bool is_new_leaving = message.leaving && servers_.mark_leaving(message.server);
    if (is_new_leaving) {
        log(events::server_leaving, {{"server", message.server}, {"reported_by", reported_by}});
    }
    return is_new_rate || is_new_leaving;
}

void server_statements::received(const std::string& server, std::uint64_t started_ms,
                                 const server_statement& statement)
{
    const auto* registered = servers_.find(server);
    if (registered == nullptr || registered->started_ms != started_ms) {
        return;
    }
    end_removal(server);
    if (statement.unreadable) {
        log(events::server_statement_unreadable, {{"server", server}});
    }
    const statement_message message{.server = server,
                                    .started_ms = started_ms,
                                    .max_rate = statement.unreadable ? limits_.rate(server)
                                                                     : statement.max_rate,
                                    .leaving = statement.leaving};
    if (apply(message, link_.node())) {
        link_.announce(peer_message_kind::server_statement, to_json(message));
    }
    if (statement.retry_after) {
        limits_.set_wait(server, *statement.retry_after, steady_now());
        log(events::server_wait_requested,
            {{"server", server}, {"wait_ms", statement.retry_after->count()}});
    }
}

void server_statements::receive(const peer_message& message)
{
    apply(parse_statement_message(message.content), message.node);
}

milliseconds server_statements::time_until_permitted(const std::string& server) const
{
    return limits_.is_empty() || has_restarted(server)
               ? milliseconds{0}
               : limits_.time_until_permitted(server, steady_now());
}

void server_statements::limit_cold(const std::string& server, double rate, milliseconds remaining,
                                   std::string_view reason)
{
    const milliseconds now = steady_now();
    end_removal(server);
    if (limits_.set_temporary_rate(server, rate, now + remaining, now)) {
        log(events::server_cold, {{"server", server},
                                  {"rate", rate},
                                  {"remaining_ms", remaining.count()},
                                  {"reason", reason}});
    }
}

void server_statements::sent(const std::string& server)
{
    end_removal(server);
    limits_.sent(server, steady_now());
}

void server_statements::removed(const std::string& server, std::uint64_t started_ms,
                                milliseconds now)
{
    removed_.insert_or_assign(server, removed_server{.started_ms = started_ms, .removed_at = now});
}

bool server_statements::has_restarted(const std::string& server) const
{
    const auto removal = removed_.find(server);
    const auto* registered = removal == removed_.end() ? nullptr : servers_.find(server);
    return registered != nullptr && registered->started_ms != removal->second.started_ms;
}

void server_statements::end_removal(const std::string& server)
{
    if (has_restarted(server)) {
        limits_.forget(server);
    }
    if (servers_.find(server) != nullptr) {
        removed_.erase(server);
    }
}

void server_statements::expire(milliseconds now)
{
    std::vector<std::string> ended;
    for (const auto& [server, removal] : removed_) {
        const bool is_remembered = now - removal.removed_at < removed_memory ||
                                   limits_.time_until_permitted(server, now) > milliseconds{0};
        if (servers_.find(server) != nullptr) {
            ended.push_back(server);
        } else if (!is_remembered) {
            limits_.forget(server);
            ended.push_back(server);
        }
    }
    for (const auto& server : ended) {
        end_removal(server);
        removed_.erase(server);
    }
}

json server_statements::dump() const
{
    return limits_.dump(steady_now());
}

} // namespace dotterelport::gateway
