#include "dotterelport/gateway/domain_evacuations.hpp"

namespace dotterelport::gateway {

std::vector<std::string> domain_evacuations::replace(const std::set<std::string>& domains,
                                                     milliseconds now)
{
    has_list_ = true;
    std::vector<std::string> ended;
    for (const auto& domain : domains_) {
        if (domains.contains(domain)) {
            missing_.erase(domain);
        } else if (now < suspect_until_) {
            missing_.try_emplace(domain, now + options_.confirmation_time);
        } else {
            ended.push_back(domain);
        }
    }
    for (const auto& domain : ended) {
        end(domain);
    }
    domains_.insert(domains.begin(), domains.end());
    return ended;
}

bool domain_evacuations::begin(const std::string& domain)
{
    missing_.erase(domain);
    return domains_.insert(domain).second;
}

bool domain_evacuations::end(const std::string& domain)
{
    missing_.erase(domain);
    return domains_.erase(domain) > 0;
}

std::vector<std::string> domain_evacuations::expire(milliseconds now)
{
    std::vector<std::string> ended;
    for (const auto& [domain, until] : missing_) {
        if (now >= until) {
            ended.push_back(domain);
        }
    }
    for (const auto& domain : ended) {
        end(domain);
    }
    return ended;
}

json domain_evacuations::dump() const
{
    return {{"known", is_known()}, {"domains", domains_}};
}

} // namespace dotterelport::gateway
