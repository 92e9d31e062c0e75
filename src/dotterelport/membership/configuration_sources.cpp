#include "dotterelport/membership/configuration_sources.hpp"

#include <algorithm>
#include <set>
#include <string_view>

#include "dotterelport/membership/rendezvous.hpp"

namespace dotterelport::membership {
namespace {

constexpr std::size_t watchers_per_domain = 2;
constexpr std::string_view watcher_rendezvous_key = "config/manifest";

} // namespace

std::vector<node_record> configuration_watchers(const std::vector<node_record>& routers,
                                                const std::string& failure_domain)
{
    std::vector<node_record> candidates;
    std::copy_if(routers.begin(), routers.end(), std::back_inserter(candidates),
                 [&](const auto& router) { return router.failure_domain == failure_domain; });
    std::sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
        const auto left_weight = rendezvous_weight(left.id.node, watcher_rendezvous_key);
        const auto right_weight = rendezvous_weight(right.id.node, watcher_rendezvous_key);
        return left_weight != right_weight ? left_weight > right_weight
                                           : left.id.node > right.id.node;
    });
    if (candidates.size() > watchers_per_domain) {
        candidates.erase(candidates.begin() + watchers_per_domain, candidates.end());
    }
    return candidates;
}

std::vector<net::endpoint> configuration_sources(const std::vector<node_record>& routers,
                                                 const std::string& failure_domain,
                                                 const std::string& self)
{
    std::vector<net::endpoint> result;
    std::set<std::string> added{self};
    const auto add = [&](const node_record& router) {
        if (added.insert(router.id.node).second) {
            result.push_back(router.peer_address);
        }
    };
    for (const auto& watcher : configuration_watchers(routers, failure_domain)) {
        add(watcher);
    }
    std::set<std::string> other_domains;
    for (const auto& router : routers) {
        if (router.failure_domain != failure_domain) {
            other_domains.insert(router.failure_domain);
        }
    }
    for (const auto& domain : other_domains) {
        add(configuration_watchers(routers, domain).front());
    }
    for (const auto& router : routers) {
        if (router.failure_domain == failure_domain) {
            add(router);
        }
    }
    return result;
}

} // namespace dotterelport::membership
