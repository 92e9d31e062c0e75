#include "dotterelport/membership/directory.hpp"

#include <algorithm>
#include <utility>

#include "dotterelport/membership/node_view.hpp"
#include "events.hpp"
#include "incarnation_closer.hpp"
#include "own_record.hpp"

namespace dotterelport::membership {
namespace {

constexpr milliseconds record_poll_interval{1'000};
constexpr milliseconds vm_poll_interval{2'000};
/// Interval at which one router of each failure domain rewrites its record, so that other domains
/// can distinguish a domain that is cut off from them from one that is down.
constexpr milliseconds domain_heartbeat_interval{10'000};

} // namespace

struct directory::impl {
    impl(net::event_loop& event_loop, object_store::client& client, const node_record& self)
        : loop(event_loop), platform(client), view(self), own(event_loop, client, self),
          closer(client)
    {}

    void poll_records();
    void poll_vms();
    void write_domain_heartbeat();
    void apply_listing(const object_store::listing& changes);
    void notify_change() const;
    void post_change_notification();

    template<typename Function> auto guarded(Function function)
    {
        return [guard = std::weak_ptr(alive), function = std::move(function)](const auto& result) {
            if (!guard.expired()) {
                function(result);
            }
        };
    }

    net::event_loop& loop;
    object_store::client& platform;
    node_view view;
    own_record own;
    incarnation_closer closer;
    std::function<void()> on_change;
    bool listing_records = false;
    bool listing_vms = false;
    std::unique_ptr<net::periodic_timer> record_timer;
    std::unique_ptr<net::periodic_timer> vm_timer;
    std::unique_ptr<net::periodic_timer> heartbeat_timer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

void directory::impl::notify_change() const
{
    if (on_change) {
        on_change();
    }
}

void directory::impl::post_change_notification()
{
    loop.post([guard = std::weak_ptr(alive), this] {
        if (!guard.expired()) {
            notify_change();
        }
    });
}

void directory::impl::poll_records()
{
    if (std::exchange(listing_records, true)) {
        return;
    }
    platform.list(std::string(node_prefix), view.revision(),
                  guarded([this](const object_store::listing& changes) {
                      listing_records = false;
                      apply_listing(changes);
                  }));
}

void directory::impl::apply_listing(const object_store::listing& changes)
{
    if (const int unreadable = view.apply(changes, steady_now()); unreadable > 0) {
        log(event_records_unreadable, {{"objects", unreadable}});
    }
    const std::string key = node_key(own.record().id.node);
    for (const auto& object : changes.objects) {
        if (object.key == key) {
            if (const auto seen = view.find(own.record().id.node)) {
                own.observe(*seen, object.object_version);
            }
        }
    }
    if (changes.available && (!changes.objects.empty() || !changes.deleted.empty())) {
        notify_change();
    }
}

void directory::impl::poll_vms()
{
    if (std::exchange(listing_vms, true)) {
        return;
    }
    platform.vms(guarded([this](const object_store::vm_listing& list) {
        listing_vms = false;
        view.apply(list, steady_now());
        if (list.available) {
            // A VM counts as gone only after several lists without it, so every list may change the
            // view.
            notify_change();
        }
    }));
}

void directory::impl::write_domain_heartbeat()
{
    if (own.is_registered() && own.record().role == node_role::router &&
        view.is_domain_representative(steady_now())) {
        own.change([](node_record&) {}, true, [](bool) {});
    }
}

directory::directory(net::event_loop& loop, object_store::client& platform, const node_record& self)
    : impl_(std::make_unique<impl>(loop, platform, self))
{}

directory::~directory() = default;

void directory::start(std::function<void()> on_registered, std::function<void()> on_change)
{
    impl& state = *impl_;
    state.on_change = std::move(on_change);
    state.own.start({
        .on_registered = std::move(on_registered),
        .on_written =
            [&state] {
                state.view.update_self(state.own.record(), state.own.version(), steady_now());
                state.notify_change();
            },
        .on_lost = [&state] { state.notify_change(); },
    });
    state.record_timer = std::make_unique<net::periodic_timer>(state.loop, record_poll_interval,
                                                               [&state] { state.poll_records(); });
    state.vm_timer = std::make_unique<net::periodic_timer>(state.loop, vm_poll_interval,
                                                           [&state] { state.poll_vms(); });
    state.heartbeat_timer = std::make_unique<net::periodic_timer>(
        state.loop, domain_heartbeat_interval, [&state] { state.write_domain_heartbeat(); });
    state.poll_records();
    state.poll_vms();
}

bool directory::is_registered() const
{
    return impl_->own.is_registered();
}

const node_record& directory::self() const
{
    return impl_->own.record();
}

void directory::rejoin()
{
    impl_->own.rejoin();
}

void directory::add_agents(const std::vector<incarnation>& agents, std::function<void(bool)> done)
{
    impl_->own.change(
        [agents](node_record& record) { record.agents.insert(agents.begin(), agents.end()); },
        false, std::move(done));
}

void directory::remove_agents(const std::vector<incarnation>& agents,
                              std::function<void(bool)> done)
{
    impl_->own.change(
        [agents](node_record& record) {
            for (const auto& agent : agents) {
                record.agents.erase(agent);
            }
        },
        false, std::move(done));
}

void directory::set_state(node_state state, std::function<void(bool)> done)
{
    impl_->own.change(
        [state](node_record& record) { record.state = std::max(record.state, state); }, false,
        std::move(done));
}

void directory::begin_closing(const incarnation& other,
                              std::function<void(const std::optional<node_record>&)> done)
{
    impl_->closer.begin(other, std::move(done));
}

void directory::finish_closing(const incarnation& other, std::function<void(bool)> done)
{
    impl_->closer.finish(other, std::move(done));
}

void directory::report_contact(const std::string& node, bool answered)
{
    impl& state = *impl_;
    const milliseconds now = steady_now();
    const bool was_silent = state.view.is_silent(node, now);
    state.view.report_contact(node, answered, now);
    const bool silent = state.view.is_silent(node, now);
    if (silent != was_silent) {
        log(silent ? event_node_silent : event_node_answering, {{"node", node}});
        state.post_change_notification();
    }
}

void directory::report_leaving(const std::string& node)
{
    impl& state = *impl_;
    state.view.report_leaving(node);
    state.post_change_notification();
}

std::vector<node_record> directory::nodes() const
{
    return impl_->view.nodes();
}

std::vector<node_record> directory::live_nodes(node_role role) const
{
    return impl_->view.live_nodes(role, steady_now());
}

std::optional<node_record> directory::find(const std::string& node) const
{
    return impl_->view.find(node);
}

bool directory::is_gone(const incarnation& other) const
{
    return impl_->view.is_gone(other, steady_now());
}

std::vector<incarnation> directory::routers_to_close() const
{
    return is_registered() ? impl_->view.routers_to_close(steady_now())
                           : std::vector<incarnation>{};
}

std::vector<node_record> directory::routers_to_probe() const
{
    return impl_->view.routers_to_probe(steady_now());
}

std::optional<node_record> directory::shard_owner(std::uint32_t shard,
                                                  const std::string& failure_domain) const
{
    return impl_->view.shard_owner(shard, failure_domain, steady_now());
}

std::vector<std::string> directory::failure_domains() const
{
    return impl_->view.failure_domains(steady_now());
}

json directory::dump() const
{
    json result = impl_->view.dump(steady_now());
    result["registered"] = is_registered();
    result["self"] = to_string(self().id);
    return result;
}

} // namespace dotterelport::membership
