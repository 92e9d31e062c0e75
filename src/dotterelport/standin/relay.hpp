#ifndef DOTTERELPORT_STANDIN_RELAY_HPP
#define DOTTERELPORT_STANDIN_RELAY_HPP

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelport/base/json.hpp"
#include "dotterelport/net/endpoint.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/net/http_server.hpp"

namespace dotterelport::standin {

/// State of a link between failure domains.
enum class link_state {
    open,
    /// Open connections are closed; new ones are closed at once.
    refuse,
    /// Open connections are closed; new ones stay open, and nothing is relayed on them.
    swallow,
    /// Open and new connections stay open, and nothing is relayed on them.
    freeze,
};

std::string_view to_string(link_state value);

/// A TCP port whose connections are relayed to a target.
struct relay_link {
    /// Links with the same name are cut and restored together.
    std::string name;
    net::endpoint listen;
    net::endpoint target;
    /// Delay added in each direction.
    milliseconds delay{0};
};

/// Relays TCP connections between processes and cuts the links between them on request.
class relay {
public:
    explicit relay(net::event_loop& loop);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// @brief Starts to listen for the connections of a link.
    /// @return the listening endpoint; if port 0 was requested, with the port that was assigned
    net::endpoint add(const relay_link& link);

    /// @brief Cuts or restores all links with a name. Restoring closes the connections that were
    /// accepted or frozen during the cut, because some of their bytes were discarded.
    /// @throws error if there is no such link
    void set_state(const std::string& name, link_state state);

    /// @brief Links with their states, numbers of open connections and relayed bytes.
    [[nodiscard]] json to_json() const;

    /// @brief Adds GET /standin/links and POST /standin/links {"link", "state"}.
    void serve(net::http_server& server);

    struct impl;

private:
    std::unique_ptr<impl> impl_;
};

/// @brief Reads the links from settings of the form {"control": "ip:port", "links": [{"name",
/// "listen", "target", "delay_ms"}]}.
/// @throws format_error with the JSON path and what was expected
std::vector<relay_link> parse_relay_links(const json& settings, const std::string& source);

} // namespace dotterelport::standin

#endif
