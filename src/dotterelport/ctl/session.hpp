#ifndef DOTTERELPORT_CTL_SESSION_HPP
#define DOTTERELPORT_CTL_SESSION_HPP

#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <utility>

#include "dotterelport/base/error.hpp"
#include "dotterelport/config/reader.hpp"
#include "dotterelport/ctl/options.hpp"
#include "dotterelport/net/http_client.hpp"
#include "dotterelport/net/rpc.hpp"
#include "dotterelport/object_store/client.hpp"

namespace dotterelport::ctl {

/// Thrown when the platform does not answer.
class platform_unavailable : public error {
public:
    using error::error;
};

/// Thrown for a wrong number of arguments or an unknown command.
class usage_error : public error {
public:
    using error::error;
};

/// Execution context of one command. Wraps asynchronous calls as blocking calls that run the
/// caller's event loop.
class session {
public:
    session(net::event_loop& loop, const options& settings, std::ostream& out)
        : loop_(loop), options_(settings), http_(loop), rpc_(http_),
          platform_(http_, settings.platform), out_(out)
    {}

    [[nodiscard]] const options& settings() const { return options_; }
    net::event_loop& loop() { return loop_; }
    net::http_client& http() { return http_; }
    net::rpc_client& rpc() { return rpc_; }
    object_store::client& platform() { return platform_; }
    std::ostream& out() { return out_; }

    /// @brief Returns the only argument of the command.
    /// @param description description of the argument for the error message
    /// @throws usage_error if the command does not have exactly one argument
    [[nodiscard]] const std::string& only_argument(const std::string& description) const;

    /// @throws usage_error if there are arguments
    void require_no_arguments() const;

    /// @brief Runs the event loop until an asynchronous call completes.
    /// @param call starts the asynchronous call; its argument is the completion callback
    template<typename Result>
    Result wait(const std::function<void(std::function<void(const Result&)>)>& call)
    {
        // Shared, because the callback may be called after this function has exited with an
        // exception.
        auto answer = std::make_shared<std::optional<Result>>();
        call([this, answer](const Result& received) {
            *answer = received;
            loop_.stop();
        });
        while (!*answer) {
            loop_.run();
        }
        return std::move(**answer);
    }

    /// @brief Retries a read until it succeeds.
    /// @throws platform_unavailable if it does not succeed before the timeout
    template<typename Result>
    Result read(const std::function<void(std::function<void(const Result&)>)>& call,
                const std::function<bool(const Result&)>& succeeded)
    {
        const milliseconds deadline = steady_now() + options_.platform_timeout;
        while (true) {
            Result result = wait<Result>(call);
            if (succeeded(result)) {
                return result;
            }
            pause_before_retry(deadline);
        }
    }

    /// @brief Lists the objects under a prefix.
    object_store::listing list(const std::string& prefix);

    /// @brief Reads the accepted configuration.
    config::accepted_configuration read_configuration();

    /// @brief Calls an RPC method of several processes in parallel.
    /// @return the results in the order of the processes
    std::vector<net::rpc_result> call_all(const std::vector<net::endpoint>& processes,
                                          const std::string& method);

private:
    /// @brief Waits for the retry delay.
    /// @throws platform_unavailable if the deadline has passed
    void pause_before_retry(milliseconds deadline);

    net::event_loop& loop_;
    const options& options_;
    net::http_client http_;
    net::rpc_client rpc_;
    object_store::client platform_;
    std::ostream& out_;
};

} // namespace dotterelport::ctl

#endif
