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
        const auto& history = record_crash({parameters.at("digest").get<std::string>(),
                                            {parameters.at("workspace").get<std::string>(),
                                             parameters.at("key").get<std::string>()},
                                            parameters.value("attempt", 1U),
                                            parameters.at("agent").get<std::string>()});
        return json{{"crashes", history.crashes}};
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
            auto& history = records_[object.key.substr(std::string_view(object_prefix).size())];
            history.stored = true;
            if (!document.is_object() || !document.contains("keys")) {
                continue;
            }
            for (const auto& key : document["keys"]) {
                history.keys.insert({key.value("workspace", ""), key.value("key", "")});
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

crash_guard::record& crash_guard::record_crash(const crash& observed_crash)
{
    auto& history = records_[observed_crash.digest];
    history.keys.insert(observed_crash.key);
    const std::string identity = json::array({observed_crash.agent, observed_crash.key.workspace,
                                              observed_crash.key.key, observed_crash.attempt})
                                     .dump();
    if (!history.reports.insert(identity).second) {
        return history;
    }
    const auto now = steady_now();
    const auto last = history.last_crash.find(observed_crash.agent);
    if (last == history.last_crash.end() || now - last->second > same_crash_window) {
        ++history.crashes;
        history.last_crash[observed_crash.agent] = now;
    }
    if (history.crashes >= crash_limit) {
        store(observed_crash.digest, history);
    }
    return history;
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

void crash_guard::report(const crash& observed_crash, const std::function<void()>& done)
{
    record_crash(observed_crash);
    const auto routers = context_.other_routers();
    if (routers.empty()) {
        done();
        return;
    }
    auto waiting = std::make_shared<std::size_t>(routers.size());
    const json parameters = {{"digest", observed_crash.digest},
                             {"workspace", observed_crash.key.workspace},
                             {"key", observed_crash.key.key},
                             {"attempt", observed_crash.attempt},
                             {"agent", observed_crash.agent}};
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
    for (const auto& [digest, history] : records_) {
        result[digest] = {{"crashes", history.crashes}, {"quarantined", is_quarantined(digest)}};
    }
    return result;
}

} // namespace dotterelport::router
