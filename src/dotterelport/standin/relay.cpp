#include "dotterelport/standin/relay.hpp"

#include <cerrno>
#include <cstring>
#include <map>
#include <utility>

#include <arpa/inet.h>
#include <h2o.h>
#include <sys/socket.h>
#include <unistd.h>

#include "dotterelport/base/enum_names.hpp"
#include "dotterelport/base/error.hpp"
#include "dotterelport/base/settings.hpp"
#include "dotterelport/standin/relay_connection.hpp"

namespace dotterelport::standin {
namespace {

constexpr int listen_backlog = 1024;

constexpr enum_names<link_state, 4> state_names{{
    {link_state::open, "open"},
    {link_state::refuse, "refuse"},
    {link_state::swallow, "swallow"},
    {link_state::freeze, "freeze"},
}};

const json& settings_schema()
{
    static const json schema = json::parse(R"({
        "type": "object", "required": ["control", "links"], "additionalProperties": false,
        "properties": {
            "control": {"type": "string"},
            "links": {"type": "array", "items": {
                "type": "object", "required": ["name", "listen", "target"],
                "additionalProperties": false,
                "properties": {"name": {"type": "string", "minLength": 1},
                               "listen": {"type": "string"}, "target": {"type": "string"},
                               "delay_ms": {"type": "integer", "minimum": 0}}}}}})");
    return schema;
}

/// @brief Opens a listening socket.
/// @param address its port is replaced by the port that the listener is bound to
int open_listener(net::endpoint& address)
{
    sockaddr_in native_address{};
    native_address.sin_family = AF_INET;
    native_address.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &native_address.sin_addr);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int enabled = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    socklen_t length = sizeof(native_address);
    auto* generic = reinterpret_cast<sockaddr*>(&native_address);
    if (::bind(descriptor, generic, length) != 0 || ::listen(descriptor, listen_backlog) != 0 ||
        ::getsockname(descriptor, generic, &length) != 0) {
        const std::string message = std::strerror(errno);
        ::close(descriptor);
        throw error("cannot listen on " + to_string(address) + ": " + message);
    }
    address.port = ntohs(native_address.sin_port);
    return descriptor;
}

} // namespace

std::string_view to_string(link_state value)
{
    return name_of(state_names, value);
}

struct relay::impl {
    struct link_entry {
        impl* owner = nullptr;
        relay_link settings;
        link_state state = link_state::open;
        h2o_socket_t* listener = nullptr;
        std::uint64_t bytes = 0;
        std::uint64_t last_connection = 0;
        std::map<std::uint64_t, std::unique_ptr<relay_connection>> connections;
    };

    net::event_loop& loop;
    std::vector<std::unique_ptr<link_entry>> links;

    static void on_accept(h2o_socket_t* listener, const char* failure)
    {
        auto& link = *static_cast<link_entry*>(listener->data);
        if (failure != nullptr) {
            return;
        }
        while (h2o_socket_t* socket = h2o_evloop_socket_accept(listener)) {
            link.owner->open_connection(link, socket);
        }
    }

    void open_connection(link_entry& link, h2o_socket_t* socket)
    {
        if (link.state == link_state::refuse) {
            h2o_socket_close(socket);
            return;
        }
        const std::uint64_t id = ++link.last_connection;
        // The erasure is posted to the event loop, because it destroys the object that calls this
        // function.
        auto connection = std::make_unique<relay_connection>(
            loop, socket, link.settings.delay,
            [this, &link, id] { loop.post([&link, id] { link.connections.erase(id); }); },
            [&link](std::size_t count) { link.bytes += count; });
        auto& added = *connection;
        link.connections.emplace(id, std::move(connection));
        if (link.state == link_state::open) {
            added.connect(link.settings.target);
        } else {
            added.freeze();
        }
    }

    static void change_state(link_entry& link, link_state state)
    {
        if (state == link_state::freeze && link.state == link_state::open) {
            for (auto& [id, connection] : link.connections) {
                connection->freeze();
            }
        } else if (state != link.state) {
            link.connections.clear();
        }
        link.state = state;
    }
};

relay::relay(net::event_loop& loop) : impl_(new impl{loop, {}}) {}

relay::~relay()
{
    for (auto& link : impl_->links) {
        h2o_socket_read_stop(link->listener);
        h2o_socket_close(link->listener);
    }
}

net::endpoint relay::add(const relay_link& link)
{
    auto entry = std::make_unique<impl::link_entry>();
    entry->owner = impl_.get();
    entry->settings = link;
    const int descriptor = open_listener(entry->settings.listen);
    entry->listener =
        h2o_evloop_socket_create(impl_->loop.native(), descriptor, H2O_SOCKET_FLAG_DONT_READ);
    entry->listener->data = entry.get();
    h2o_socket_read_start(entry->listener, impl::on_accept);
    impl_->links.push_back(std::move(entry));
    return impl_->links.back()->settings.listen;
}

void relay::set_state(const std::string& name, link_state state)
{
    bool found = false;
    for (auto& link : impl_->links) {
        if (link->settings.name == name) {
            impl::change_state(*link, state);
            found = true;
        }
    }
    if (!found) {
        throw error("there is no link " + name);
    }
}

json relay::to_json() const
{
    json links = json::array();
    for (const auto& link : impl_->links) {
        links.push_back({{"name", link->settings.name},
                         {"listen", to_string(link->settings.listen)},
                         {"target", to_string(link->settings.target)},
                         {"state", to_string(link->state)},
                         {"connections", link->connections.size()},
                         {"bytes", link->bytes}});
    }
    return {{"links", std::move(links)}};
}

void relay::serve(net::http_server& server)
{
    server.route("GET", "/standin/links", [this](const auto&, const auto& response) {
        send_json(*response, 200, to_json().dump());
    });
    server.route("POST", "/standin/links", [this](const auto& request, const auto& response) {
        try {
            const json change = json::parse(request.body);
            const auto state = value_of(state_names, change.at("state").get<std::string>());
            if (!state) {
                throw error("state must be open, refuse, swallow or freeze");
            }
            set_state(change.at("link").get<std::string>(), *state);
            send_json(*response, 200, to_json().dump());
        } catch (const std::exception& failure) {
            send_json(*response, 400, json{{"error", {{"message", failure.what()}}}}.dump());
        }
    });
}

std::vector<relay_link> parse_relay_links(const json& settings, const std::string& source)
{
    check_schema(settings, settings_schema(), source);
    std::vector<relay_link> links;
    for (const auto& item : settings.at("links")) {
        links.push_back({item.at("name").get<std::string>(),
                         net::parse_endpoint(item.at("listen").get<std::string>()),
                         net::parse_endpoint(item.at("target").get<std::string>()),
                         milliseconds{item.value("delay_ms", 0)}});
    }
    return links;
}

} // namespace dotterelport::standin
