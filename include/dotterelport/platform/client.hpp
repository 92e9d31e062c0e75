#ifndef DOTTERELPORT_PLATFORM_CLIENT_HPP
#define DOTTERELPORT_PLATFORM_CLIENT_HPP

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

namespace dotterelport::platform {

/// Version of an object: the revision of the whole store at its last change. 0 means "absent".
using version = std::uint64_t;

/// An object as the platform holds it.
struct object {
    std::string key;
    version at = 0;
    std::string value;
};

/// Outcome of a read.
enum class read_status {
    found,
    absent,
    /// The platform did not answer, or refused because of its rate limit.
    unavailable,
};

struct read_result {
    read_status status = read_status::unavailable;
    object value;
};

/// Outcome of a write or removal.
enum class write_status {
    applied,
    /// The object has another version than the one named.
    conflict,
    /// The platform refused it, or nothing was sent: the write has no effect.
    unavailable,
    /// The answer was lost: the write may have taken effect. Read before repeating it.
    unknown,
    /// The value is larger than the platform accepts.
    too_large,
};

struct write_result {
    write_status status = write_status::unavailable;
    /// New version if applied, present version if in conflict.
    version at = 0;
};

/// Objects under a prefix that changed after a revision.
struct listing {
    bool available = false;
    version revision = 0;
    std::vector<object> objects;
    std::vector<std::string> deleted;
};

/// State of a VM in the platform's list, which lags.
enum class vm_state {
    live,
    leaving,
};

struct vm_listing {
    bool available = false;
    std::map<std::string, vm_state> vms;
};

/// Calls the platform's object API. Every function answers exactly once, from the event loop.
class client {
public:
    client(net::http_client& http, const net::endpoint& address);

    void read(const std::string& key, std::function<void(const read_result&)> done);

    /// @param if_version 0 to create only if absent; nothing to write in any case
    void write(const std::string& key, const std::string& value, std::optional<version> if_version,
               std::function<void(const write_result&)> done);

    void remove(const std::string& key, version if_version,
                std::function<void(const write_result&)> done);

    /// @param since 0 for all objects, otherwise only those changed after that revision
    void list(const std::string& prefix, version since, std::function<void(const listing&)> done);

    /// @brief Waits for a change under a prefix. Answers an empty listing after the timeout.
    void watch(const std::string& prefix, version since, milliseconds timeout,
               std::function<void(const listing&)> done);

    void vms(std::function<void(const vm_listing&)> done);

    /// @brief Time for which calls have failed or been slow; 0 while the platform is well.
    [[nodiscard]] milliseconds trouble_duration() const;

    /// @brief Calls made so far, a watch counted as one.
    [[nodiscard]] std::uint64_t calls() const;

private:
    struct state;

    void send(net::client_request request, milliseconds waiting,
              std::function<void(const net::client_answer&)> done);

    std::shared_ptr<state> state_;
};

} // namespace dotterelport::platform

#endif
