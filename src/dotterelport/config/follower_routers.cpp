#include <algorithm>
#include <utility>

#include "dotterelport/base/error.hpp"
#include "dotterelport/config/events.hpp"
#include "dotterelport/config/follower_native.hpp"

namespace dotterelport::config {
namespace {

constexpr milliseconds answer_timeout{700};

constexpr std::size_t max_routers_asked = 3;

/// Polls go to the first routers of the list that give recent information, in turn.
constexpr std::size_t routers_in_turn = 2;

/// Watchers of the platform confirm at most 2 s late: a waiting watch counts from the time at which
/// it was sent.
constexpr milliseconds recent_age{2'500};

/// Age of the information of a router that did not answer.
constexpr milliseconds unknown_age{3'600'000};

/// Routers whose information was old are tried again after this number of polls.
constexpr std::size_t polls_until_retry = 10;

/// @throws json::exception or format_error if the answer has another form
manifest manifest_of(const json& answer)
{
    manifest value{answer.at("generation").get<std::uint64_t>(),
                   answer.at("parts").get<std::vector<std::string>>(),
                   {}};
    if (value.parts.size() != workspace_buckets + 1) {
        throw format_error("router", "/parts", "expected one hash for each part");
    }
    return value;
}

} // namespace

void follower::native::poll()
{
    if (polling) {
        return;
    }
    polling = true;
    if (++polls % polls_until_retry == 0) {
        router_ages.clear();
    }
    ask(routers_in_order(), 0);
}

std::vector<net::endpoint> follower::native::routers_in_order()
{
    auto routers = settings.routers ? settings.routers() : std::vector<net::endpoint>{};
    const auto old_ones =
        std::stable_partition(routers.begin(), routers.end(), [&](const auto& router) {
            const auto found = router_ages.find(router);
            return found == router_ages.end() || found->second <= recent_age;
        });
    const auto recent = static_cast<std::size_t>(old_ones - routers.begin());
    if (const std::size_t taking_turns = std::min(recent, routers_in_turn); taking_turns > 0) {
        const auto first = routers.begin();
        std::rotate(first, first + static_cast<std::ptrdiff_t>(polls % taking_turns),
                    first + static_cast<std::ptrdiff_t>(taking_turns));
    }
    return routers;
}

void follower::native::ask(const std::vector<net::endpoint>& routers, std::size_t index)
{
    if (index >= std::min(routers.size(), max_routers_asked)) {
        end_poll();
        return;
    }
    rpc.call(routers[index], "config_manifest", {{"generation", generation()}}, answer_timeout,
             [weak = weak_from_this(), routers, index,
              asked = steady_now()](const net::rpc_result& result) {
                 const auto self = weak.lock();
                 if (!self) {
                     return;
                 }
                 const bool done =
                     result.ok() && self->take_answer(routers[index], result.value, asked);
                 if (!result.ok()) {
                     self->router_ages[routers[index]] = unknown_age;
                 }
                 if (done) {
                     self->polling = false;
                 } else {
                     self->ask(routers, index + 1);
                 }
             });
}

bool follower::native::take_answer(const net::endpoint& router, const json& answer,
                                   milliseconds asked)
{
    try {
        const auto found = answer.at("generation").get<std::uint64_t>();
        const milliseconds age = answer.contains("age_ms")
                                     ? milliseconds{answer["age_ms"].get<std::int64_t>()}
                                     : unknown_age;
        router_ages[router] = age;
        // The router computed the age after it was asked.
        const milliseconds confirmed_at = asked - age;
        if (found > generation()) {
            consider(manifest_of(answer), router, confirmed_at);
        } else if (current && found == generation()) {
            confirmed = std::max(confirmed.value_or(confirmed_at), confirmed_at);
        }
        return age <= recent_age && found >= hinted && found >= generation();
    } catch (const std::exception& failure) {
        log(event_manifest_unreadable, {{"router", to_string(router)}, {"reason", failure.what()}});
        return false;
    }
}

void follower::native::end_poll()
{
    polling = false;
    if (!is_fresh() || hinted > generation()) {
        read_platform();
    }
}

json follower::native::answer_manifest(const json& parameters) const
{
    json result = {{"generation", generation()}};
    if (generation() > parameters.value("generation", std::uint64_t{0})) {
        result["parts"] = current_manifest.parts;
    }
    if (const auto present = age()) {
        result["age_ms"] = present->count();
    }
    return result;
}

json follower::native::answer_part(const json& parameters) const
{
    const auto* content = cache.find(parameters.at("hash").get<std::string>());
    if (content == nullptr) {
        throw net::rpc_error("unknown_part");
    }
    return {{"content", *content}};
}

part_source follower::native::router_source(const net::endpoint& router) const
{
    // After one failure the rest is fetched from the platform at once, not after as many timeouts.
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
