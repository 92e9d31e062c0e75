#include "dotterelport/budget/shared_budgets.hpp"

#include <memory>
#include <utility>

namespace dotterelport::budget {

round_outcome run_round(shard_session& session, const shard_objects& store,
                        const round_environment& environment)
{
    auto step = session.start(environment);
    while (step.has_value()) {
        step = step->operation == io_step::kind::read
                   ? session.resume(store.read(step->key))
                   : session.resume(store.write(step->key, step->value, step->if_version));
    }
    return session.last_outcome();
}

shared_budgets::shared_budgets(shard_objects store, std::uint32_t shard, incarnation self,
                               const sizing_policy& policy)
    : store_(std::move(store)), session_(shard, std::move(self), policy)
{}

void shared_budgets::declare(declaration value, milliseconds now)
{
    session_.set_declaration(std::make_shared<const declaration>(std::move(value)));
    flush(now);
}

reserve_outcome shared_budgets::reserve(const reservation& request)
{
    auto result = session_.holder().reserve(request);
    if (result == reserve_outcome::insufficient_tokens) {
        session_.holder().account(request.budget).waiting_tokens += request.upper_tokens;
        flush(request.now);
        session_.holder().account(request.budget).waiting_tokens -= request.upper_tokens;
        result = session_.holder().reserve(request);
    }
    return result;
}

round_outcome shared_budgets::flush(milliseconds now)
{
    return run_round(session_, store_, {.now = now});
}

round_outcome shared_budgets::drain(milliseconds now)
{
    session_.set_draining();
    return flush(now);
}

} // namespace dotterelport::budget
