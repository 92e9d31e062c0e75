#include "shard_owner.hpp"

#include <utility>

#include "budget_events.hpp"
#include "dotterelport/base/error.hpp"

namespace dotterelport::router {
namespace {

/// Time limit for a request to wait for a larger grant. A healthy platform answers in milliseconds;
/// after this time the request goes to the peers instead.
constexpr milliseconds ledger_timeout{1'000};

/// Requests do not wait for a platform that has had trouble for longer than this.
constexpr milliseconds outage_threshold{1'500};

} // namespace

std::shared_ptr<const budget::declaration> declaration_of(const config::snapshot& snapshot,
                                                          std::uint32_t shard)
{
    auto result = std::make_shared<budget::declaration>();
    result->generation = snapshot.generation();
    for (const auto& workspace : snapshot.content().workspaces) {
        if (config::shard_of(workspace.name, snapshot.settings()) != shard) {
            continue;
        }
        for (const auto& item : workspace.budgets) {
            result->budgets.push_back({workspace.name, item.name, item.prepaid});
        }
    }
    return result;
}

shard_owner::shard_owner(const budget_service::context& environment, std::uint32_t shard,
                         const incarnation& self)
    : context_(environment), session_(shard, self, environment.sizing)
{}

void shard_owner::configure(std::shared_ptr<const budget::declaration> declaration)
{
    generation_ = declaration->generation;
    session_.set_declaration(std::move(declaration));
    run_round([](budget::round_outcome) {});
}

owner_answer shard_owner::try_reserve(const reserve_message& message)
{
    auto& holder = session_.holder();
    const auto& request = message.request;
    const budget::reservation wanted{.key = request.key,
                                     .budget = request.budget,
                                     .upper_tokens = request.upper_tokens,
                                     .agent = request.agent,
                                     .digest = request.digest,
                                     .router = message.router,
                                     .now = steady_now(),
                                     .attempt = request.attempt};
    const auto* known = holder.find(request.key);
    // The router that made the reservation retries at another agent or at the same one. Its earlier
    // attempt may have run: otherwise the router would have released the reservation.
    const bool is_move = known != nullptr && !known->finished && known->router == message.router &&
                         (known->agent != request.agent || request.attempt > known->attempt);
    const auto outcome = is_move ? holder.move(wanted, false) : holder.reserve(wanted);
    switch (outcome) {
    case budget::reserve_outcome::reserved:
        return owner_answer::reserved;
    case budget::reserve_outcome::known:
        return owner_answer::known;
    case budget::reserve_outcome::insufficient_tokens:
        break;
    }
    return owner_answer::insufficient_tokens;
}

void shard_owner::reserve(const reserve_message& message, std::function<void(owner_answer)> done)
{
    if (session_.is_closed()) {
        done(owner_answer::closed);
        return;
    }
    const auto answer = try_reserve(message);
    if (answer != owner_answer::insufficient_tokens) {
        done(answer);
        return;
    }
    if (context_.platform.trouble_duration() > outage_threshold) {
        tick();
        done(owner_answer::unreachable);
        return;
    }
    session_.holder().account(message.request.budget).waiting_tokens +=
        message.request.upper_tokens;
    // The request is answered at the end of the round or by the timer, whichever comes first.
    auto answered = std::make_shared<bool>(false);
    auto answer_once = [self = shared_from_this(), message, answered,
                        done = std::move(done)](budget::round_outcome outcome) {
        if (!std::exchange(*answered, true)) {
            self->complete_waiting_request(message, outcome, done);
        }
    };
    const auto timer = context_.loop.schedule(
        ledger_timeout, [answer_once] { answer_once(budget::round_outcome::unavailable); });
    run_round([self = shared_from_this(), timer, answer_once](budget::round_outcome outcome) {
        self->context_.loop.cancel(timer);
        answer_once(outcome);
    });
}

void shard_owner::complete_waiting_request(const reserve_message& message,
                                           budget::round_outcome outcome,
                                           const std::function<void(owner_answer)>& done)
{
    session_.holder().account(message.request.budget).waiting_tokens -=
        message.request.upper_tokens;
    if (session_.is_closed()) {
        done(owner_answer::closed);
        return;
    }
    const auto answer = try_reserve(message);
    const bool ledger_reached = outcome == budget::round_outcome::complete;
    done(answer == owner_answer::insufficient_tokens && !ledger_reached ? owner_answer::unreachable
                                                                        : answer);
}

void shard_owner::recall(const std::vector<std::string>& budgets,
                         std::function<void(const std::map<std::string, tokens>&)> done)
{
    std::map<std::string, tokens> amounts_before;
    for (const auto& name : budgets) {
        auto& account = session_.holder().account(name);
        account.recalled = true;
        amounts_before[name] = account.amount;
    }
    run_round([self = shared_from_this(), amounts_before = std::move(amounts_before),
               done = std::move(done)](budget::round_outcome) {
        std::map<std::string, tokens> returned;
        for (const auto& [name, amount] : amounts_before) {
            const tokens amount_now = self->session_.holder().account(name).amount;
            if (amount_now < amount) {
                returned[name] = amount - amount_now;
            }
        }
        log(events::grants_recalled, {{"shard", self->session_.shard()}, {"returned", returned}});
        done(returned);
    });
}

void shard_owner::run_round(round_callback done)
{
    next_callbacks_.push_back(std::move(done));
    start();
}

void shard_owner::tick()
{
    start();
}

void shard_owner::start()
{
    if (std::exchange(running_, true)) {
        return;
    }
    current_callbacks_ = std::exchange(next_callbacks_, {});
    continue_round(session_.start({.now = steady_now(),
                                   .platform_trouble = context_.platform.trouble_duration(),
                                   .failure_domains = context_.nodes.failure_domains().size(),
                                   .flush = true}));
}

void shard_owner::continue_round(std::optional<budget::io_step> step)
{
    if (step.has_value()) {
        perform(*step);
        return;
    }
    running_ = false;
    const auto done = std::exchange(current_callbacks_, {});
    for (const auto& callback : done) {
        callback(session_.last_outcome());
    }
    if (!next_callbacks_.empty()) {
        context_.loop.post([self = shared_from_this()] { self->start(); });
    }
}

template<typename Result> void shard_owner::resume(const Result& result)
{
    std::optional<budget::io_step> step;
    try {
        step = session_.resume(result);
    } catch (const format_error& failure) {
        log(events::object_unreadable, {{"shard", session_.shard()}, {"message", failure.what()}});
        step = session_.resume(object_store::read_result{});
    }
    continue_round(std::move(step));
}

void shard_owner::perform(const budget::io_step& step)
{
    if (step.operation == budget::io_step::kind::read) {
        context_.platform.read(
            step.key, [self = shared_from_this()](const object_store::read_result& result) {
                self->resume(result);
            });
        return;
    }
    context_.platform.write(step.key, step.value, step.if_version,
                            [self = shared_from_this()](const object_store::write_result& result) {
                                self->resume(result);
                            });
}

} // namespace dotterelport::router
