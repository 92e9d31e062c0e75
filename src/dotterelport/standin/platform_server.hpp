#ifndef DOTTERELPORT_STANDIN_PLATFORM_SERVER_HPP
#define DOTTERELPORT_STANDIN_PLATFORM_SERVER_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "dotterelport/net/http_server.hpp"
#include "dotterelport/object_store/store.hpp"
#include "dotterelport/standin/call_counters.hpp"
#include "dotterelport/standin/token_bucket.hpp"
#include "dotterelport/standin/vm_list.hpp"

namespace dotterelport::standin {

/// Faults that the stand-in for the platform simulates.
struct platform_faults {
    /// Every call is answered with 503.
    bool outage = false;
    /// Delay before each call takes effect.
    milliseconds call_delay{0};
    /// Number of upcoming writes and removals that take effect but are not answered: the stand-in
    /// closes the connection instead.
    std::uint64_t answers_to_lose = 0;
};

/// Stand-in for the platform: object API with rate limits, faults and counters, and a VM list.
class platform_server {
public:
    struct options {
        net::endpoint address{"127.0.0.1", 0};
        double writes_per_second = 500;
        double reads_per_second = 2'000;
        /// Delay until a change becomes visible in the VM list.
        milliseconds vm_lag{0};
    };

    platform_server(net::event_loop& loop, const options& settings);

    /// @brief Address that the server listens on.
    [[nodiscard]] const net::endpoint& address() const { return address_; }

    /// @brief Sets the faults. An outage also ends the waiting watches with 503.
    void set_faults(const platform_faults& faults);

    [[nodiscard]] object_store::store& objects() { return objects_; }
    [[nodiscard]] vm_list& vms() { return vms_; }
    [[nodiscard]] const call_counters& counters() const { return counters_; }

private:
    using response_ptr = std::shared_ptr<net::http_response>;

    /// One call to the API.
    struct api_call {
        call_kind kind;
        /// Key, or prefix of a listing or watch.
        std::string key;
        net::http_request request;
        response_ptr response;
    };

    struct waiting_watch {
        api_call call;
        object_store::watch_id watch;
        net::timer_id timer;
    };

    void add_api_routes();
    void add_control_routes();
    void add_call(const std::string& method, const std::string& path, call_kind kind);
    void handle_call(const api_call& call);
    void execute(const api_call& call);
    void answer(const api_call& call, int status, const json& body);
    void answer_write(const api_call& call, const object_store::write_result& result);
    void read(const api_call& call);
    void write(const api_call& call);
    void remove(const api_call& call);
    void list(const api_call& call);
    void watch(const api_call& call);
    void finish_watch(std::uint64_t id, int status, const json& body);
    json change_faults(const json& changes);
    json change_vm(const json& change);

    net::event_loop& loop_;
    net::http_server server_;
    object_store::store objects_;
    vm_list vms_;
    token_bucket write_limiter_;
    token_bucket read_limiter_;
    platform_faults faults_;
    call_counters counters_;
    std::uint64_t last_watch_id_ = 0;
    std::map<std::uint64_t, waiting_watch> watches_;
    net::endpoint address_;
};

} // namespace dotterelport::standin

#endif
