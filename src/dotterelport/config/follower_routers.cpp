#include <algorithm>
#include <utility>

#include "dotterelport/base/error.hpp"
#include "dotterelport/config/events.hpp"
#include "dotterelport/config/follower_impl.hpp"

namespace dotterelport::config {
namespace {

constexpr milliseconds answer_timeout{700};

constexpr std::size_t max_routers_asked = 3;

/// Number of routers that polls alternate between: the first ones of the list whose last
/// confirmation is recent.
constexpr std::size_t max_rotated_routers = 2;

/// Oldest confirmation that counts as recent. Confirmations of watchers are at most 2 s old,
/// because a waiting watch confirms the generation as of the time at which the watch was sent.
constexpr milliseconds max_recent_age{2'500};

/// Age assumed for the confirmation of a router that did not answer or reported none.
constexpr milliseconds unknown_age{3'600'000};

/// Number of polls after which routers with old confirmations are tried again.
constexpr std::size_t polls_until_retry = 10;

/// @throws json::exception or format_error if the answer has another form
manifest manifest_of(const json& answer)
{
    manifest value{answer.at("generation").get<std::uint64_t>(),
                   answer.at("parts").get<std::vector<std::string>>(),
                   {}};
    if (value.parts.size() != workspace_bucket_count + 1) {
        throw format_error("router", "/parts", "expected one hash for each part");
    }
    return value;
}

} // namespace

void follower::impl::poll()
{
    if (polling) {
        return;
    }
    polling = true;
    if (++poll_count % polls_until_retry == 0) {
        router_ages.clear();
    }
    ask_router(routers_in_order(), 0);
}

std::vector<net::endpoint> follower::impl::routers_in_order()
{
    auto routers = settings.routers ? settings.routers() : std::vector<net::endpoint>{};
    const auto first_stale =
        std::stable_partition(routers.begin(), routers.end(), [&](const auto& router) {
            const auto found = router_ages.find(router);
            return found == router_ages.end() || found->second <= max_recent_age;
        });
    const auto recent_count = static_cast<std::size_t>(first_stale - routers.begin());
    if (const std::size_t rotated_count = std::min(recent_count, max_rotated_routers);
        rotated_count > 0) {
        const auto first = routers.begin();
        std::rotate(first, first + static_cast<std::ptrdiff_t>(poll_count % rotated_count),
                    first + static_cast<std::ptrdiff_t>(rotated_count));
    }
    return routers;
}

void follower::impl::ask_router(const std::vector<net::endpoint>& routers, std::size_t index)
{
    if (index >= std::min(routers.size(), max_routers_asked)) {
        end_poll();
        return;
    }
    rpc.call(routers[index], "config_manifest", {{"generation", generation()}}, answer_timeout,
             [weak = weak_from_this(), routers, index,
              asked_at = steady_now()](const net::rpc_result& result) {
                 const auto self = weak.lock();
                 if (!self) {
                     return;
                 }
                 const bool done =
                     result.ok() && self->handle_answer(routers[index], result.value, asked_at);
                 if (!result.ok()) {
                     self->router_ages[routers[index]] = unknown_age;
                 }
                 if (done) {
                     self->polling = false;
                 } else {
                     self->ask_router(routers, index + 1);
                 }
             });
}

bool follower::impl::handle_answer(const net::endpoint& router, const json& answer,
                                   milliseconds asked_at)
{
    try {
        const auto found = answer.at("generation").get<std::uint64_t>();
        const milliseconds answer_age = answer.contains("age_ms")
                                            ? milliseconds{answer["age_ms"].get<std::int64_t>()}
                                            : unknown_age;
        router_ages[router] = answer_age;
        // The router computed the age after the request was sent, so the confirmation is not older
        // than this time.
        const milliseconds confirmed_at = asked_at - answer_age;
        if (found > generation()) {
            consider(manifest_of(answer), router, confirmed_at);
        } else if (current && found == generation()) {
            last_confirmed = std::max(last_confirmed.value_or(confirmed_at), confirmed_at);
        }
        return answer_age <= max_recent_age && found >= reported_generation &&
               found >= generation();
    } catch (const std::exception& failure) {
        log(event_manifest_unreadable, {{"router", to_string(router)}, {"reason", failure.what()}});
        return false;
    }
}

void follower::impl::end_poll()
{
    polling = false;
    if (!is_fresh() || reported_generation > generation()) {
        read_platform();
    }
}

json follower::impl::answer_manifest(const json& parameters) const
{
    json result = {{"generation", generation()}};
    if (generation() > parameters.value("generation", std::uint64_t{0})) {
        result["parts"] = current_manifest.parts;
    }
    if (const auto current_age = confirmation_age()) {
        result["age_ms"] = current_age->count();
    }
    return result;
}

json follower::impl::answer_part(const json& parameters) const
{
    const auto* content = cache.find(parameters.at("hash").get<std::string>());
    if (content == nullptr) {
        throw net::rpc_error("unknown_part");
    }
    return {{"content", *content}};
}

part_source follower::impl::router_source(const net::endpoint& router) const
{
    // After one failure the router is not called for the remaining parts, so that they are fetched
    // from the platform without waiting for a timeout each.
    const auto failed = std::make_shared<bool>(false);
    return [&client = rpc, router, failed](const std::string& hash, auto done) {
        if (*failed) {
            done(std::nullopt);
            return;
        }
        client.call(router, "config_part", {{"hash", hash}}, answer_timeout,
                    [failed, done = std::move(done)](const net::rpc_result& result) {
                        if (!result.ok() || !result.value.contains("content")) {
                            *failed = true;
                            done(std::nullopt);
                            return;
                        }
                        done(result.value["content"].get<std::string>());
                    });
    };
}

} // namespace dotterelport::config
