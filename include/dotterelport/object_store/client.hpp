#ifndef DOTTERELPORT_OBJECT_STORE_CLIENT_HPP
#define DOTTERELPORT_OBJECT_STORE_CLIENT_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/net/endpoint.hpp"
#include "dotterelport/net/http_client.hpp"
#include "dotterelport/object_store/conditional_objects.hpp"

namespace dotterelport::object_store {

/// Objects under a prefix that changed after a revision.
struct listing {
    bool available = false;
    version revision = 0;
    std::vector<object> objects;
    std::vector<std::string> deleted;
};

/// State of a VM in the platform's list, which may be out of date.
enum class vm_state {
    live,
    leaving,
};

struct vm_listing {
    bool available = false;
    std::map<std::string, vm_state> vms;
};

/// Client of the platform's object API. Every function calls its callback exactly once, from the
/// event loop.
class client : public conditional_objects {
public:
    client(net::http_client& http, const net::endpoint& address);

    void read(const std::string& key, std::function<void(const read_result&)> done) override;

    /// @param if_version 0 to create only if absent; nullopt to write unconditionally
    void write(const std::string& key, const std::string& value, std::optional<version> if_version,
               std::function<void(const write_result&)> done) override;

    void remove(const std::string& key, version if_version,
                std::function<void(const write_result&)> done);

    /// @param since 0 for all objects, otherwise only those changed after that revision
    void list(const std::string& prefix, version since, std::function<void(const listing&)> done);

    /// @brief Waits for a change under a prefix. Passes an empty listing to the callback after the
    /// timeout.
    void watch(const std::string& prefix, version since, milliseconds timeout,
               std::function<void(const listing&)> done);

    void vms(std::function<void(const vm_listing&)> done);

    /// @brief Time for which calls have failed or been slow; 0 while the platform works normally.
    [[nodiscard]] milliseconds trouble_duration() const;

    /// @brief Number of calls made so far; a watch counts as one.
    [[nodiscard]] std::uint64_t calls() const;

private:
    struct state;

    void send(net::client_request request, milliseconds wait_time,
              std::function<void(const net::client_answer&)> done);

    std::shared_ptr<state> state_;
};

} // namespace dotterelport::object_store

#endif
