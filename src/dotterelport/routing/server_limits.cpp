#include "dotterelport/routing/server_limits.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "dotterelport/base/hash.hpp"

namespace dotterelport::routing {
namespace {

constexpr double ms_per_s = 1'000;

/// Relative difference of two rates that is not worth a message to other routers.
constexpr double noticeable_change = 0.1;

double in_ms(milliseconds time)
{
    return static_cast<double>(time.count());
}

} // namespace

double server_limits::ms_per_permit(double rate) const
{
    return ms_per_s * static_cast<double>(routers_) / std::max(rate, settings_.min_rate);
}

bool server_limits::set_rate(const std::string& server, std::optional<double> rate,
                             milliseconds now)
{
    const auto found = limits_.find(server);
    const std::optional<double> before = this->rate(server);
    if (!rate) {
        if (before) {
            found->second.rate.reset();
            if (found->second.wait_until <= now && found->second.temporary_until <= now) {
                limits_.erase(found);
            }
        }
        return before.has_value();
    }
    auto& item = limits_[server];
    item.rate = rate;
    const double period = ms_per_permit(*rate);
    if (!before) {
        // Routers that learn of a limit at the same time must not use it at the same time.
        item.next_permit_ms =
            in_ms(now) + std::uniform_real_distribution<double>(0, period)(random_);
        return true;
    }
    item.next_permit_ms = std::min(item.next_permit_ms, in_ms(now) + period);
    return std::abs(*rate - *before) > noticeable_change * *before;
}

void server_limits::set_fleet(const std::string& self, std::vector<std::string> routers)
{
    self_ = self;
    fleet_ = std::move(routers);
}

bool server_limits::set_temporary_rate(const std::string& server, double rate, milliseconds until,
                                       milliseconds now)
{
    auto& item = limits_[server];
    const bool is_new = item.temporary_until <= now;
    item.temporary_rate = rate;
    item.temporary_until = std::max(item.temporary_until, until);
    return is_new;
}

bool server_limits::has_temporary_rate(const std::string& server, milliseconds now) const
{
    const auto found = limits_.find(server);
    return found != limits_.end() && found->second.temporary_until > now;
}

std::optional<milliseconds> server_limits::temporary_spacing(const std::string& server,
                                                             double rate) const
{
    const auto users =
        std::min(fleet_.size(), static_cast<std::size_t>(std::max(1.0, std::floor(rate))));
    const std::uint64_t seed = hash64(server);
    const std::uint64_t own_weight = hash64(self_, seed);
    const auto higher = std::count_if(fleet_.begin(), fleet_.end(), [&](const std::string& router) {
        return hash64(router, seed) > own_weight;
    });
    if (static_cast<std::size_t>(higher) >= users) {
        return std::nullopt;
    }
    // A whole number of requests in each second, as the part of a request is sent early or late.
    const double each = rate / static_cast<double>(users);
    const double per_second = each < 1 ? each : std::floor(each);
    return milliseconds{static_cast<std::int64_t>(std::ceil(ms_per_s / per_second))};
}

milliseconds server_limits::time_until_temporarily_permitted(const std::string& server,
                                                             const limit& item,
                                                             milliseconds now) const
{
    const auto spacing = temporary_spacing(server, item.temporary_rate);
    if (!spacing) {
        return item.temporary_until - now;
    }
    const milliseconds next = item.last_sent ? *item.last_sent + *spacing : now;
    return std::clamp(next - now, milliseconds{0}, item.temporary_until - now);
}

void server_limits::set_wait(const std::string& server, milliseconds wait, milliseconds now)
{
    auto& until = limits_[server].wait_until;
    until = std::max(until, now + std::min(wait, settings_.max_wait));
}

double server_limits::next_permit_ms(const limit& item, milliseconds now) const
{
    const double period = ms_per_permit(*item.rate);
    const double lapsed_ms = in_ms(now) - in_ms(settings_.permit_lifetime) - item.next_permit_ms;
    return item.next_permit_ms + std::max(0.0, std::ceil(lapsed_ms / period)) * period;
}

milliseconds server_limits::time_until_permitted(const std::string& server, milliseconds now) const
{
    const auto found = limits_.find(server);
    if (found == limits_.end()) {
        return milliseconds{0};
    }
    const auto& item = found->second;
    milliseconds result = std::max(milliseconds{0}, item.wait_until - now);
    if (item.rate) {
        const double remaining_ms = std::ceil(next_permit_ms(item, now) - in_ms(now));
        result = std::max(result, milliseconds{static_cast<std::int64_t>(remaining_ms)});
    }
    if (item.temporary_until > now) {
        result = std::max(result, time_until_temporarily_permitted(server, item, now));
    }
    return result;
}

std::optional<double> server_limits::rate(const std::string& server) const
{
    const auto found = limits_.find(server);
    return found == limits_.end() ? std::nullopt : found->second.rate;
}

void server_limits::sent(const std::string& server, milliseconds now)
{
    const auto found = limits_.find(server);
    if (found == limits_.end()) {
        return;
    }
    auto& item = found->second;
    item.last_sent = now;
    if (item.rate) {
        item.next_permit_ms = next_permit_ms(item, now) + ms_per_permit(*item.rate);
    }
}

std::size_t server_limits::temporary_count(milliseconds now) const
{
    return static_cast<std::size_t>(
        std::count_if(limits_.begin(), limits_.end(),
                      [now](const auto& item) { return item.second.temporary_until > now; }));
}

json server_limits::dump(milliseconds now) const
{
    json result = json::object();
    for (const auto& [server, item] : limits_) {
        result[server] = {
            {"rate", item.rate ? json(*item.rate) : json()},
            {"temporary_rate", item.temporary_until > now ? json(item.temporary_rate) : json()},
            {"permitted_in_ms", time_until_permitted(server, now).count()}};
    }
    return result;
}

} // namespace dotterelport::routing
