#include "dotterelport/gateway/grant_wait.hpp"

#include <algorithm>

namespace dotterelport::gateway {
namespace {

/// A retry reaches another gateway, whose grant may cover the request immediately. Also the
/// shortest time that is stated, because the call of the store takes time too.
constexpr milliseconds other_gateway{50};

/// Other holders return idle tokens in this time after the ledger was found empty.
constexpr milliseconds tokens_returned{1'000};

} // namespace

milliseconds grant_retry_after(const grant_refusal& refusal)
{
    if (!refusal.is_large_fleet) {
        return other_gateway;
    }
    if (refusal.stated_by_owner) {
        return std::clamp(*refusal.stated_by_owner, other_gateway, tokens_returned);
    }
    const auto& own = refusal.own;
    if (refusal.is_isolated && !own.is_store_away) {
        return other_gateway;
    }
    if (own.is_ledger_short && !own.is_store_away) {
        return tokens_returned;
    }
    return std::clamp(own.until_attempt, other_gateway, tokens_returned);
}

} // namespace dotterelport::gateway
