#ifndef DOTTERELPORT_STANDIN_LOAD_GENERATOR_HPP
#define DOTTERELPORT_STANDIN_LOAD_GENERATOR_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "dotterelport/net/http_client.hpp"
#include "dotterelport/net/line_splitter.hpp"
#include "dotterelport/standin/latency_summary.hpp"

namespace dotterelport::standin {

/// Load to generate on routers or on an engine.
struct load_options {
    std::vector<net::endpoint> targets;
    /// Bearer keys, one of which is chosen at random for each request. If empty, requests have an
    /// X-Request-Key header instead, as engines expect.
    std::vector<std::string> keys;
    std::string model;
    /// Mean arrivals per second of a Poisson process that does not wait for answers.
    double requests_per_second = 10;
    /// Limit on requests in progress; arrivals beyond it are counted as skipped.
    std::size_t max_in_progress = 2'000;
    milliseconds duration{10'000};
    std::uint32_t prompt_words = 20;
    std::uint32_t max_tokens = 32;
    std::uint64_t seed = 1;
};

/// Sends streaming chat-completion requests at a given rate and measures their latencies.
class load_generator {
public:
    load_generator(net::event_loop& loop, net::http_client& client, load_options options);

    /// @brief Starts the load.
    /// @param done called when the duration is over and all requests have ended
    void start(std::function<void()> done);

    /// @brief Number of requests by result, and latencies: to the first token, between tokens and
    /// in total.
    [[nodiscard]] json report() const;

private:
    using clock = std::chrono::steady_clock;

    struct call_state {
        clock::time_point started;
        clock::time_point last_event;
        int status = 0;
        std::uint64_t events = 0;
        bool received_end = false;
    };

    void schedule_next();
    void send();
    void handle_event(call_state& state, std::string_view data);
    void finish(const call_state& state, const std::string& result);
    net::client_request make_request();

    net::event_loop& loop_;
    net::http_client& client_;
    load_options options_;
    std::function<void()> on_done_;
    std::mt19937_64 random_;
    milliseconds end_time_{0};
    bool arrivals_over_ = false;
    std::size_t in_progress_ = 0;
    std::uint64_t sent_ = 0;
    std::uint64_t skipped_ = 0;
    std::uint64_t events_ = 0;
    std::map<std::string, std::uint64_t> results_;
    latency_summary first_token_;
    latency_summary between_tokens_;
    latency_summary total_;
};

} // namespace dotterelport::standin

#endif
