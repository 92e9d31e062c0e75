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
    /// Open connections stay open too, and nothing is relayed on them any more.
    freeze,
};

std::string_view to_string(link_state value);

/// A TCP port whose connections are relayed to a target.
struct relay_link {
    /// Links may share a name; they are then cut and restored together.
    std::string name;
    net::endpoint listen;
    net::endpoint target;
    /// Added to each direction.
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
    /// @return the endpoint, with the port that was chosen if port 0 was asked for
    net::endpoint add(const relay_link& link);

    /// @brief Cuts or restores all links of a name. Restoring closes the connections that were
    /// accepted or frozen during the cut, since bytes of theirs are lost.
    /// @throws error if there is no such link
    void set_state(const std::string& name, link_state state);

    /// @brief Links with their state, open connections and bytes relayed.
    [[nodiscard]] json to_json() const;

    /// @brief Adds GET /standin/links and POST /standin/links {"link", "state"}.
    void serve(net::http_server& server);

    struct native;

private:
    std::unique_ptr<native> native_;
};

/// @brief Reads the links from settings of the form {"control": "ip:port", "links": [{"name",
/// "listen", "target", "delay_ms"}]}.
/// @throws format_error with the JSON path and what was expected
std::vector<relay_link> parse_relay_links(const json& settings, const std::string& source);

} // namespace dotterelport::standin

#endif
