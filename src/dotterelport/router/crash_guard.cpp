#include "crash_guard.hpp"

#include <utility>

#include "events.hpp"

namespace dotterelport::router {
namespace {

constexpr milliseconds report_timeout{300};
/// Reports about one agent within this time count as one crash: several routers may have joined the
/// request, and several keys with the same content may have run at the agent.
constexpr milliseconds same_crash_window{1'000};

constexpr const char* object_prefix = "quarantine/";

} // namespace

void crash_guard::serve(net::rpc_server& server)
{
    server.add("crash_report", [this](const json& parameters) {
        const auto& known = record_crash({parameters.at("digest").get<std::string>(),
                                          {parameters.at("workspace").get<std::string>(),
                                           parameters.at("key").get<std::string>()},
                                          parameters.value("attempt", 1U),
                                          parameters.at("agent").get<std::string>()});
        return json{{"crashes", known.crashes}};
    });
}

void crash_guard::load()
{
    context_.platform.list(object_prefix, revision_, [this](const object_store::listing& found) {
        if (!found.available) {
            return;
        }
        revision_ = found.revision;
        for (const auto& object : found.objects) {
            const json document = json::parse(object.value, nullptr, false);
            auto& known = records_[object.key.substr(std::string_view(object_prefix).size())];
            known.stored = true;
            if (!document.is_object() || !document.contains("keys")) {
                continue;
            }
            for (const auto& key : document["keys"]) {
                known.keys.insert({key.value("workspace", ""), key.value("key", "")});
            }
        }
    });
}

bool crash_guard::is_quarantined(const std::string& digest) const
{
    const auto found = records_.find(digest);
    return found != records_.end() &&
           (found->second.stored || found->second.crashes >= crash_limit);
}

bool crash_guard::had_attempt(const std::string& digest, const request_key& key) const
{
    const auto found = records_.find(digest);
    return found != records_.end() && found->second.keys.contains(key);
}

crash_guard::record& crash_guard::record_crash(const crash& seen)
{
    auto& known = records_[seen.digest];
    known.keys.insert(seen.key);
    const std::string identity =
        json::array({seen.agent, seen.key.workspace, seen.key.key, seen.attempt}).dump();
    if (!known.reports.insert(identity).second) {
        return known;
    }
    const auto now = steady_now();
    const auto last = known.last_crash.find(seen.agent);
    if (last == known.last_crash.end() || now - last->second > same_crash_window) {
        ++known.crashes;
        known.last_crash[seen.agent] = now;
    }
    if (known.crashes >= crash_limit) {
        store(seen.digest, known);
    }
    return known;
}

void crash_guard::store(const std::string& digest, record& quarantined)
{
    if (std::exchange(quarantined.stored, true)) {
        return;
    }
    log(events::request_quarantined, {{"digest", digest}, {"crashes", quarantined.crashes}});
    json keys = json::array();
    for (const auto& key : quarantined.keys) {
        keys.push_back({{"workspace", key.workspace}, {"key", key.key}});
    }
    const json content = {{"crashes", quarantined.crashes}, {"keys", keys}};
    context_.platform.write(object_prefix + digest, content.dump(), std::nullopt,
                            [](const object_store::write_result&) {});
}

void crash_guard::report(const crash& seen, const std::function<void()>& done)
{
    record_crash(seen);
    const auto routers = context_.other_routers();
    if (routers.empty()) {
        done();
        return;
    }
    auto waiting = std::make_shared<std::size_t>(routers.size());
    const json parameters = {{"digest", seen.digest},
                             {"workspace", seen.key.workspace},
                             {"key", seen.key.key},
                             {"attempt", seen.attempt},
                             {"agent", seen.agent}};
    for (const auto& router : routers) {
        context_.rpc.call(router, "crash_report", parameters, report_timeout,
                          [waiting, done](const net::rpc_result&) {
                              if (--*waiting == 0) {
                                  done();
                              }
                          });
    }
}

json crash_guard::dump() const
{
    json result = json::object();
    for (const auto& [digest, known] : records_) {
        result[digest] = {{"crashes", known.crashes}, {"quarantined", is_quarantined(digest)}};
    }
    return result;
}

} // namespace dotterelport::router
