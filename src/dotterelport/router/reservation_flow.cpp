#include "reservation_flow.hpp"

#include <algorithm>
#include <utility>

#include "budget_events.hpp"

namespace dotterelport::router {
namespace {

constexpr milliseconds lookup_timeout{300};
constexpr milliseconds borrow_timeout{500};
constexpr milliseconds recall_timeout{1'000};

} // namespace

reservation_flow::reservation_flow(budget_service::impl& service,
                                   std::shared_ptr<shard_owner> owner, reserve_message message,
                                   std::function<void(const reserve_result&)> done)
    : service_(service.shared_from_this()), owner_(std::move(owner)), message_(std::move(message)),
      done_(std::move(done)), peers_(service.peers(owner_->session().shard()))
{
    consulted_holders_.insert(owner_->session().self());
}

void reservation_flow::start()
{
    const bool is_new = owner_->session().holder().find(message_.request.key) == nullptr;
    if (is_new && message_.request.has_caller_key && !message_.lend && !peers_.empty()) {
        look_up_at_peers();
        return;
    }
    ensure_agent();
}

reserve_result reservation_flow::own_result(reserve_status status, const incarnation& agent) const
{
    return service_->own_result(status, owner_->session().self(), agent);
}

void reservation_flow::look_up_at_peers()
{
    auto answers = std::make_shared<peer_answers>();
    answers->pending = peers_.size();
    for (const auto& peer : peers_) {
        service_->call(peer, "lookup", to_json(message_.request.key), lookup_timeout,
                       [self = shared_from_this(), answers](const net::rpc_result& result) {
                           --answers->pending;
                           if (answers->completed) {
                               return;
                           }
                           if (result.ok() && result.value.value("state", "") == "reserved") {
                               answers->completed = true;
                               json known = result.value;
                               known["result"] = "known";
                               self->finish(read_reserve_answer(known));
                           } else if (answers->pending == 0) {
                               answers->completed = true;
                               self->ensure_agent();
                           }
                       });
    }
}

void reservation_flow::ensure_agent()
{
    const auto* known = owner_->session().holder().find(message_.request.key);
    if (known != nullptr && known->finished) {
        finish_known();
        return;
    }
    service_->agents->ensure_listed(
        message_.request.agent, [self = shared_from_this()](bool listed) {
            if (!listed) {
                self->finish(self->own_result(reserve_status::unavailable, {}));
            } else if (self->message_.lend) {
                self->lend_from_own_grant();
            } else {
                self->ask_ledger(false);
            }
        });
}

void reservation_flow::lend_from_own_grant()
{
    const auto answer =
        owner_->session().is_closed() ? owner_answer::closed : owner_->try_reserve(message_);
    if (answer == owner_answer::reserved) {
        log(events::tokens_lent, {{"budget", message_.request.budget},
                                  {"tokens", message_.request.upper_tokens},
                                  {"router", message_.router}});
        finish(own_result(reserve_status::reserved, message_.request.agent));
    } else if (answer == owner_answer::known) {
        finish_known();
    } else {
        finish(own_result(reserve_status::exhausted, {}));
    }
}

void reservation_flow::ask_ledger(bool after_recall)
{
    owner_->reserve(message_, [self = shared_from_this(), after_recall](owner_answer answer) {
        self->handle_ledger_answer(answer, after_recall);
    });
}

void reservation_flow::handle_ledger_answer(owner_answer answer, bool after_recall)
{
    const auto& request = message_.request;
    switch (answer) {
    case owner_answer::reserved:
        if (service_->environment.nodes.is_gone(request.agent)) {
            owner_->session().holder().release_at(request.key, request.agent, request.attempt);
            finish(own_result(reserve_status::unavailable, {}));
            return;
        }
        finish(own_result(reserve_status::reserved, request.agent));
        return;
    case owner_answer::known:
        finish_known();
        return;
    case owner_answer::closed:
        finish(own_result(reserve_status::unavailable, {}));
        return;
    case owner_answer::insufficient_tokens:
        ledger_reached_ = true;
        break;
    case owner_answer::unreachable:
        ledger_reached_ = false;
        break;
    }
    if (after_recall) {
        refuse();
    } else {
        borrow(0);
    }
}

void reservation_flow::borrow(std::size_t next_peer)
{
    if (!budget::allows_lending(service_->environment.sizing)) {
        refuse();
        return;
    }
    if (next_peer >= peers_.size()) {
        if (ledger_reached_) {
            recall();
        } else {
            refuse();
        }
        return;
    }
    reserve_message message = message_;
    message.lend = true;
    const auto& peer = peers_[next_peer];
    service_->call_reserve(peer, std::move(message), borrow_timeout,
                           [self = shared_from_this(), next_peer](const net::rpc_result& result) {
                               reserve_result answer;
                               if (result.ok()) {
                                   answer = read_reserve_answer(result.value);
                               }
                               if (answer.status == reserve_status::reserved ||
                                   answer.status == reserve_status::key_in_use) {
                                   self->finish(answer);
                               } else {
                                   self->borrow(next_peer + 1);
                               }
                           });
}

void reservation_flow::recall()
{
    if (peers_.empty()) {
        refuse();
        return;
    }
    auto answers = std::make_shared<peer_answers>();
    answers->pending = peers_.size();
    for (const auto& peer : peers_) {
        service_->call(
            peer, "recall",
            {{"budgets", {message_.request.budget}}, {"workspace", message_.request.key.workspace}},
            recall_timeout,
            [self = shared_from_this(), answers, peer](const net::rpc_result& result) {
                if (result.ok()) {
                    self->consulted_holders_.insert(peer.id);
                }
                if (--answers->pending == 0) {
                    self->ask_ledger(true);
                }
            });
    }
}

void reservation_flow::refuse()
{
    // The budget is exhausted if the ledger has too few tokens and, where routers share grants,
    // every holder of an open grant has returned its unused tokens.
    bool proved = ledger_reached_;
    const auto* ledger = owner_->session().ledger();
    const auto* entry = ledger == nullptr ? nullptr : ledger->find(message_.request.budget);
    const auto* account = owner_->session().holder().find_account(message_.request.budget);
    const tokens available = account == nullptr ? 0 : std::max<tokens>(0, account->available());
    // Tokens of runs without an outcome may not have been used.
    if (entry == nullptr ||
        entry->grantable() + available + entry->unproved >= message_.request.upper_tokens) {
        proved = false;
    } else if (budget::allows_lending(service_->environment.sizing)) {
        proved = proved &&
                 std::all_of(entry->grants.begin(), entry->grants.end(), [&](const auto& item) {
                     return item.second.open() == 0 || consulted_holders_.contains(item.first);
                 });
    }
    finish(own_result(proved ? reserve_status::exhausted : reserve_status::unavailable, {}));
}

void reservation_flow::finish_known()
{
    const auto* known = owner_->session().holder().find(message_.request.key);
    finish(own_result(reserve_status::key_in_use,
                      known == nullptr ? message_.request.agent : known->agent));
}

void reservation_flow::finish(const reserve_result& result)
{
    if (const auto done = std::exchange(done_, nullptr)) {
        done(result);
    }
}

} // namespace dotterelport::router
