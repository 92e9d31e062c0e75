#include <algorithm>
#include <utility>

#include "budget_events.hpp"
#include "budget_service_impl.hpp"
#include "reservation_flow.hpp"

namespace dotterelport::router {
namespace {

/// Time limit of a reservation at the owner, which may need a lookup, a write of the node record,
/// the ledger, loans and a recall.
constexpr milliseconds reserve_timeout{4'000};
constexpr milliseconds release_timeout{1'000};

/// Number of times that an unanswered cancellation is sent, and the interval between them.
constexpr int cancel_attempts = 10;
constexpr milliseconds cancel_interval{1'000};

std::string name_of(const release_request& reservation)
{
    return to_json(reservation).dump();
}

} // namespace

reserve_result budget_service::impl::own_result(reserve_status status, const incarnation& holder,
                                                const incarnation& agent) const
{
    return {.status = status,
            .holder = holder,
            .holder_address = net::to_string(environment.nodes.self().peer_address),
            .agent = agent};
}

std::vector<membership::node_record> budget_service::impl::peers(std::uint32_t shard)
{
    std::vector<membership::node_record> result;
    const auto& self = environment.nodes.self();
    for (const auto& domain : environment.nodes.failure_domains()) {
        auto owner = domain == self.failure_domain ? std::nullopt
                                                   : environment.nodes.shard_owner(shard, domain);
        if (owner.has_value()) {
            result.push_back(std::move(*owner));
        }
    }
    std::shuffle(result.begin(), result.end(), random);
    return result;
}

void budget_service::impl::call(const membership::node_record& to, const std::string& method,
                                const json& parameters, milliseconds timeout,
                                std::function<void(const net::rpc_result&)> done)
{
    environment.rpc.call(to.peer_address, method, parameters, timeout,
                         [self = shared_from_this(), node = to.id.node,
                          done = std::move(done)](const net::rpc_result& result) {
                             const bool answered =
                                 result.ok() || result.outcome == net::rpc_result::status::refused;
                             self->environment.nodes.report_contact(node, answered);
                             done(result);
                         });
}

void budget_service::impl::reserve_at_owner(const reserve_message& message,
                                            std::function<void(const reserve_result&)> done)
{
    const auto snapshot = environment.configuration.current();
    const auto* workspace =
        snapshot == nullptr ? nullptr : snapshot->workspace_of_budget(message.request.budget);
    if (snapshot == nullptr || !environment.nodes.is_registered()) {
        done(own_result(reserve_status::unavailable, current_incarnation, {}));
        return;
    }
    if (workspace == nullptr || workspace->name != message.request.key.workspace) {
        done(own_result(reserve_status::exhausted, current_incarnation, {}));
        return;
    }
    const auto shard = config::shard_of(workspace->name, snapshot->settings());
    const auto& self = environment.nodes.self();
    const auto record = environment.nodes.shard_owner(shard, self.failure_domain);
    if (!record.has_value() || record->id == self.id) {
        reserve_here(message, std::move(done));
        return;
    }
    call_reserve(*record, message, reserve_timeout,
                 [self = shared_from_this(), message, node = record->id.node,
                  done = std::move(done)](const net::rpc_result& result) {
                     if (result.ok()) {
                         done(read_reserve_answer(result.value));
                         return;
                     }
                     // Any router may hold grants, so this router reserves the tokens itself if
                     // the owner does not answer.
                     log(events::owner_unreachable, {{"owner", node}, {"message", result.message}});
                     self->reserve_here(message, done);
                 });
}

void budget_service::impl::call_reserve(const membership::node_record& to, reserve_message message,
                                        milliseconds timeout,
                                        std::function<void(const net::rpc_result&)> done)
{
    message.call = message.router + "/" + std::to_string(++last_call);
    const auto snapshot = environment.configuration.current();
    message.generation = snapshot == nullptr ? 0 : snapshot->generation();
    const cancel_message cancellation{.call = message.call,
                                      .reservation = {.key = message.request.key,
                                                      .agent = message.request.agent,
                                                      .attempt = message.request.attempt}};
    call(to, "reserve", to_json(message), timeout,
         [self = shared_from_this(), to, cancellation,
          done = std::move(done)](const net::rpc_result& result) {
             if (!result.ok()) {
                 self->cancel_reserve(to, cancellation, cancel_attempts);
             }
             done(result);
         });
}

void budget_service::impl::cancel_reserve(const membership::node_record& to,
                                          const cancel_message& message, int attempts)
{
    call(to, "cancel_reserve", to_json(message), release_timeout,
         [self = shared_from_this(), to, message, attempts](const net::rpc_result& result) {
             const bool answered =
                 result.ok() || result.outcome == net::rpc_result::status::refused;
             if (answered) {
                 return;
             }
             if (attempts <= 1) {
                 log(events::cancellation_lost,
                     {{"call", message.call}, {"owner", to_string(to.id)}});
                 return;
             }
             self->environment.loop.schedule(
                 cancel_interval, [weak = self->weak_from_this(), to, message, attempts] {
                     if (const auto service = weak.lock()) {
                         service->cancel_reserve(to, message, attempts - 1);
                     }
                 });
         });
}

void budget_service::impl::serve_reserve(const reserve_message& message,
                                         std::function<void(const reserve_result&)> done)
{
    if (message.call.empty()) {
        reserve_here(message, [self = shared_from_this(), message,
                               done = std::move(done)](const reserve_result& result) {
            done(self->judged_by_newest(message, result));
        });
        return;
    }
    calls.begin(message.call, steady_now());
    if (calls.is_cancelled(message.call)) {
        done(own_result(reserve_status::unavailable, current_incarnation, {}));
        return;
    }
    reserve_here(message, [self = shared_from_this(), message,
                           done = std::move(done)](const reserve_result& result) {
        const release_request reservation{.key = message.request.key,
                                          .agent = message.request.agent,
                                          .attempt = message.request.attempt};
        const bool is_reserved = result.status == reserve_status::reserved;
        if (is_reserved && self->calls.is_cancelled(message.call)) {
            // A reservation that covers another call for the same request too, as a loan may, is
            // kept until the agent is asked about it.
            const bool released = result.holder == self->current_incarnation &&
                                  !self->calls.is_held(name_of(reservation)) &&
                                  self->release_here(reservation);
            log(events::reservation_unclaimed, {{"call", message.call}, {"released", released}});
            done(self->own_result(reserve_status::unavailable, self->current_incarnation, {}));
            return;
        }
        if (is_reserved) {
            self->calls.reserved(message.call, name_of(reservation), steady_now());
        } else {
            self->calls.refused(message.call, steady_now());
        }
        done(self->judged_by_newest(message, result));
    });
}

reserve_result budget_service::impl::judged_by_newest(const reserve_message& message,
                                                      const reserve_result& result) const
{
    const auto snapshot = environment.configuration.current();
    const std::uint64_t generation = snapshot == nullptr ? 0 : snapshot->generation();
    if (result.status != reserve_status::exhausted || generation >= message.generation) {
        return result;
    }
    log(events::verdict_outdated, {{"budget", message.request.budget},
                                   {"generation", generation},
                                   {"in_force", message.generation}});
    return own_result(reserve_status::unavailable, current_incarnation, {});
}

void budget_service::impl::serve_cancel(const cancel_message& message)
{
    // A call that is in progress releases its reservation when it ends.
    if (calls.cancel(message.call, steady_now()) == reserve_calls::state::reserved) {
        log(events::reservation_unclaimed,
            {{"call", message.call}, {"released", release_here(message.reservation)}});
    }
}

void budget_service::impl::reserve_here(const reserve_message& message,
                                        std::function<void(const reserve_result&)> done)
{
    const auto snapshot = environment.configuration.current();
    const bool declared =
        snapshot != nullptr && snapshot->find_budget(message.request.budget) != nullptr;
    const auto owner = owner_of(shard_of(message.request.key.workspace));
    if (owner == nullptr || !declared) {
        const bool removed = snapshot != nullptr && !declared;
        done(own_result(removed ? reserve_status::exhausted : reserve_status::unavailable,
                        current_incarnation, {}));
        return;
    }
    if (owner->generation() < snapshot->generation()) {
        owner->configure(declaration_of(*snapshot, shard_of(message.request.key.workspace)));
    }
    std::make_shared<reservation_flow>(*this, owner, message, std::move(done))->start();
}

bool budget_service::impl::release_here(const release_request& request)
{
    const auto owner = existing_owner(shard_of(request.key.workspace));
    return owner != nullptr &&
           owner->session().holder().release_at(request.key, request.agent, request.attempt);
}

void budget_service::impl::release_at_owner(const release_request& request)
{
    if (release_here(request)) {
        return;
    }
    // The holder is the owner in this failure domain or a peer that lent the tokens.
    const auto shard = shard_of(request.key.workspace);
    const auto& self = environment.nodes.self();
    auto others = peers(shard);
    const auto record = environment.nodes.shard_owner(shard, self.failure_domain);
    if (!record.has_value() || record->id == self.id) {
        for (const auto& peer : others) {
            call(peer, "release", to_json(request), release_timeout, [](const net::rpc_result&) {});
        }
        return;
    }
    call(*record, "release", to_json(request), release_timeout,
         [self = shared_from_this(), request,
          others = std::move(others)](const net::rpc_result& result) {
             if (result.ok() && result.value.value("released", false)) {
                 return;
             }
             for (const auto& peer : others) {
                 self->call(peer, "release", to_json(request), release_timeout,
                            [](const net::rpc_result&) {});
             }
         });
}

json budget_service::impl::lookup_here(const request_key& key) const
{
    const auto owner = existing_owner(shard_of(key.workspace));
    const auto* known = owner == nullptr ? nullptr : owner->session().holder().find(key);
    if (known == nullptr) {
        return {{"state", "unknown"}, {"holder", ""}, {"holder_address", ""}, {"agent", ""}};
    }
    json result =
        to_json(own_result(reserve_status::key_in_use, owner->session().self(), known->agent));
    result.erase("result");
    result["state"] = "reserved";
    return result;
}

} // namespace dotterelport::router
