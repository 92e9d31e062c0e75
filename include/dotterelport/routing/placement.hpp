#ifndef DOTTERELPORT_ROUTING_PLACEMENT_HPP
#define DOTTERELPORT_ROUTING_PLACEMENT_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/json.hpp"
#include "dotterelport/base/tokens.hpp"
#include "dotterelport/routing/load_view.hpp"
#include "dotterelport/routing/prompt_cache_view.hpp"

namespace dotterelport::routing {

/// A backend server that a request could be sent to.
struct placement_candidate {
    std::string server;
    std::string failure_domain;
    std::size_t capacity = 1;
    /// The server limits how many requests it accepts, whatever their size.
    bool rate_limited = false;
    /// Model engines only: tokens that its requests may hold together; it crashes beyond. 0 if this
    /// is not limited.
    tokens memory = 0;
};

/// Properties of a request that decide which backend server suits it.
struct placement_request {
    /// Parts of the prompt; empty for requests without one.
    std::span<const prompt_part> parts = {};
    tokens prompt_tokens = 0;
    tokens max_output_tokens = 0;
    /// Failure domain of the router.
    std::string_view failure_domain = {};
    /// Longest acceptable pause between two events of the streams that run on the same server; 0 if
    /// any pause is acceptable.
    milliseconds pause_limit{0};
    /// Servers to which the request was sent before.
    std::span<const std::string> excluded = {};

    /// @brief Maximum number of tokens that the request holds at an engine.
    [[nodiscard]] tokens max_tokens() const { return prompt_tokens + max_output_tokens; }
};

struct placement_settings {
    /// Prompt tokens that an engine prefills per millisecond.
    double prefill_tokens_per_ms = 35.0;
    /// Delay that each running request on an engine adds.
    double ms_per_running = 3.0;
    /// Share of the mean request duration that each running request of a plain service adds,
    /// divided by the server's capacity.
    double queue_weight = 1.0;
    /// Probability that the preferred server of a prompt's shared parts has them cached although
    /// this router has not sent them there: other routers prefer the same server.
    double preferred_cache_probability = 0.6;
    /// Weight of uncached shared parts, which another server may have cached. Above 1, because each
    /// server that prefills a part also evicts another part from its cache.
    double shared_weight = 4.0;
    /// Share of its time that each engine preferred for a chain of shared parts may spend on the
    /// prompts with it. A chain with more load is preferred at further engines.
    double chain_utilisation = 0.25;
    /// Time constant of the average load of each chain of shared parts.
    milliseconds chain_load_time{2'000};
    /// Share of each failure domain's engines that are reserved for short prompts: long prompts
    /// avoid them, so that they do not delay the streams there.
    double reserved_share = 0.2;
    /// Prompts with more tokens than this are long: an engine prefills them in several steps, each
    /// of which delays all streams that it runs.
    tokens long_prompt_tokens = 4'096;
    /// Penalty for a long prompt on a reserved engine.
    double long_on_reserved_ms = 250.0;
    /// Penalty for a short prompt on an engine that is not reserved.
    double short_on_unreserved_ms = 200.0;
    /// Penalty for a short prompt on a server that limits its requests: what it accepts relieves
    /// the other servers most if it is spent on long prompts.
    double short_on_limited_ms = 10'000.0;
    /// Share of the pause limit that an engine's pending prefill may take without a penalty.
    double pause_margin = 0.7;
    /// Penalty per running request on an engine whose pending prefill takes longer than that and
    /// so delays the events of its streams.
    double stream_delay_ms = 200.0;
    /// Penalty for a server in another failure domain.
    double other_domain_ms = 5.0;
    /// Penalty for a server whose requests all fail; scaled by the share of failed requests.
    double failure_ms = 3'000.0;
    /// Time after which a server's share of failed requests is halved.
    milliseconds failure_half_life{2'500};
    /// Age at which other routers' requests in a load report are assumed to have decreased to 1/e,
    /// because they end in the meantime.
    milliseconds report_decay_time{600};
    /// Time after which the shares received from another router are ignored.
    milliseconds peer_load_timeout{400};
    /// Time after which also the memory is ignored that another router's requests hold. Longer,
    /// because streams run for seconds, and an engine that is believed empty by mistake crashes.
    milliseconds peer_memory_timeout{2'000};
    /// Share of an engine's memory beyond which it is avoided. The remainder is for the output of
    /// the requests that run and for those that other routers have sent since their last message.
    double safe_memory_share = 0.8;
    /// Requests that each other router may have sent to one engine since its last message. With
    /// 0.5, a replay of 25 routers exceeded the memory of an engine by 3 %.
    double unseen_sends = 1.0;
    /// Name of this router. Routers that have the same view of the servers differ in it.
    std::string router;
    /// Requests of other routers that may be on their way to a server, unseen. 2 gave the shortest
    /// times in a replay of 25 routers, but moved prompts away from the engines that have their
    /// shared parts cached: on a whole day of 31 routers, 2.8 instead of 1.9 million tokens of
    /// shared parts were read again.
    double unseen_requests = 1.0;
    load_settings load = default_load();

    /// @brief Load settings for servers that report only with their answers.
    static load_settings default_load();
};

/// Load that one router's requests cause on a server.
struct load_share {
    std::string server;
    /// Prompt tokens that the server has yet to prefill.
    double pending_prefill_tokens = 0;
    double running = 0;
    /// Prompts and output so far of the requests that run or wait.
    double held_tokens = 0;
};

/// A chosen server and what the choice was based on.
struct placement_choice {
    std::string server;
    /// Expected milliseconds until the first part of the answer, with penalties for servers that
    /// suit other requests better.
    double cost_ms = 0;
    /// The same without these penalties.
    double expected_start_ms = 0;
    tokens cached_tokens = 0;
};

/// Parts of the expected time to the first part of the answer, in ms. Their sum is the expected
/// start, except for the rounding of the additions.
struct placement_terms {
    /// Model engines: prompts that wait at the server, and the uncached part of this one.
    double prefill = 0;
    /// Model engines: delay by the requests that run.
    double running = 0;
    /// Model engines: penalty for delaying the events of other streams.
    double stream_delay = 0;
    /// Other servers: requests that run or wait.
    double queue = 0;
    /// The server's requests take much longer than those of most servers.
    double slow_server = 0;
    /// The server states that work takes longer than usual, or is expected to.
    double slowdown = 0;
    /// A request has waited for its answer longer than all of this.
    double unresponsive = 0;
    double failures = 0;
    double other_domain = 0;
};

/// What is known of a candidate for a request.
struct placement_assessment {
    const placement_candidate* candidate = nullptr;
    /// The request must not be sent to it.
    bool is_excluded = false;
    /// Its requests and the prompt together exceed its memory.
    bool is_out_of_memory = false;
    /// It fails, and is used only if all others do.
    bool is_ejected = false;
    /// Share of the memory that is in use with the request and its whole output; 0 if the memory is
    /// not limited.
    double memory_share = 0;
    /// The memory suffices for the request and for those that other routers may have sent. Servers
    /// without enough are used only if all are.
    bool is_memory_safe = true;
    placement_terms terms;
    double expected_start_ms = 0;
    /// Penalties for a server that suits other requests better, beside the expected start.
    double shared_parts_ms = 0;
    double separation_ms = 0;
    double cost_ms = 0;
    /// Cost with this router's share of the uncertainty about what other routers have sent; the
    /// server with the smallest is chosen.
    double compared_ms = 0;
    std::optional<milliseconds> last_sent;
    tokens cached_tokens = 0;

    [[nodiscard]] bool is_usable() const { return !is_excluded && !is_out_of_memory; }
};

/// Chooses backend servers by the expected time to the first part of the answer. The estimate
/// counts uncached prompt tokens, tokens that already wait for prefill at the server, running
/// requests and failures. It suits workloads in which many prompts share long parts: a server that
/// has a part cached is chosen unless its load costs more time than prefilling the part on another
/// server. Routers without information on each other's requests agree on a preferred server for
/// each chain of shared parts, and on the engines that long prompts avoid to spare the streams
/// there.
class placement {
public:
    explicit placement(const placement_settings& settings = {});

    /// @param assessments if given, receives an entry for each candidate; they refer to the
    /// candidates
    /// @return nothing if there are no candidates, or if all are excluded or have too little memory
    /// left for the request
    [[nodiscard]] std::optional<placement_choice>
    choose(const placement_request& request, std::span<const placement_candidate> candidates,
           milliseconds now, std::vector<placement_assessment>* assessments = nullptr) const;

    /// @brief Records that a request is sent. Must be followed by one of finished(), failed(),
    /// unreachable() and cancelled().
    /// @param id number that is unique among this router's requests
    /// @param cache_capacity tokens that the server's prompt cache holds
    void sent(const std::string& server, std::uint64_t id, const placement_request& request,
              tokens cache_capacity, milliseconds now);
    void answered(const std::string& server, std::uint64_t id, milliseconds now);
    /// @brief Records how much output a request has received so far.
    void produced(const std::string& server, std::uint64_t id, tokens output);
    /// @param units events of a stream, or 1 for another answer
    void finished(const std::string& server, std::uint64_t id, double units, milliseconds now);
    void failed(const std::string& server, std::uint64_t id, milliseconds now);
    /// @brief Records that no connection to a server could be opened, and ejects it at once.
    void unreachable(const std::string& server, std::uint64_t id, milliseconds now);
    void cancelled(const std::string& server, std::uint64_t id, milliseconds now);

    /// @brief Records the load that a server reports with an answer.
    void record_report(const std::string& server, const load_report& report, milliseconds now);

    /// @brief Load that this router's own requests cause on each server that runs any.
    [[nodiscard]] std::vector<load_share> own_load_shares(milliseconds now) const;

    /// @brief Replaces the recorded load that another router's requests cause on the servers.
    void record_peer_load_shares(const std::string& peer, const std::vector<load_share>& shares,
                                 milliseconds now);

    /// @brief Records that another router sent a prompt to a server.
    void record_peer_prompt(const std::string& server, std::span<const prompt_part> parts,
                            tokens cache_capacity, milliseconds now);

    /// @brief Deletes the state of a server that left or restarted.
    void forget(const std::string& server);

    [[nodiscard]] const load_view& loads() const { return loads_; }
    [[nodiscard]] json dump(milliseconds now) const;

private:
    struct failure_record {
        /// Moving average of the share of failed requests.
        double share = 0;
        milliseconds updated{0};
    };

    /// Work that prompts with a chain of shared parts cause in all routers.
    struct chain_load {
        /// Milliseconds of prefill of what the prompts do not share; decays with time.
        double prefill_ms = 0;
        milliseconds updated{0};
    };

    /// What is computed once for all candidates.
    struct choice_basis;

    struct peer_load_shares {
        milliseconds received{0};
        std::vector<load_share> shares;
    };

    void record_chain(std::span<const prompt_part> parts, tokens own_tokens, milliseconds now);
    [[nodiscard]] double decayed_prefill_ms(const chain_load& load, milliseconds now) const;
    /// @brief Number of engines that the load of a chain of shared parts needs.
    [[nodiscard]] std::size_t engines_for(std::span<const prompt_part> shared,
                                          milliseconds now) const;
    /// @brief Adds up the recent loads that other routers reported, for each server.
    void add_up_peer_loads(milliseconds now) const;
    /// @brief Result of the last add_up_peer_loads() for a server.
    [[nodiscard]] load_share peer_load_share(const std::string& server) const;
    /// @brief Share of the candidate's memory that would be in use with the request's prompt and an
    /// output of the given size; 0 if its memory is not limited or it states no slowdown.
    [[nodiscard]] double memory_share(const placement_request& request,
                                      const placement_candidate& candidate,
                                      const load_estimate& load, tokens output) const;
    /// @brief Milliseconds by which the expected time at a server may be wrong because of requests
    /// that other routers have sent since their last messages; 0 if it states no slowdown.
    [[nodiscard]] double uncertainty(const placement_request& request,
                                     const placement_candidate& candidate,
                                     const load_estimate& load) const;
    /// @brief Returns whether an engine has enough memory for a request and for those that other
    /// routers may have sent since their last messages.
    /// @param order place of this router among those that use the server first, from 0 to 1
    [[nodiscard]] bool is_safe(const placement_request& request,
                               const placement_candidate& candidate, double used_memory,
                               double order) const;
    [[nodiscard]] double failure_share(const std::string& server, milliseconds now) const;
    void record_result(const std::string& server, bool failed, milliseconds now);
    [[nodiscard]] double stream_delay_cost(const placement_request& request, double uncached,
                                           double prefill_tokens, double running) const;
    [[nodiscard]] double separation_cost(const placement_candidate& candidate, bool is_reserved,
                                         tokens prompt) const;
    /// @param terms set to the parts of the result
    [[nodiscard]] double cost(const placement_request& request,
                              const placement_candidate& candidate, const load_estimate& load,
                              double uncached, double median_ms_per_unit, milliseconds now,
                              placement_terms& terms) const;
    [[nodiscard]] placement_assessment assess(const placement_request& request,
                                              const placement_candidate& candidate,
                                              const load_estimate& load, std::size_t index,
                                              const choice_basis& basis, milliseconds now) const;
    [[nodiscard]] static double median_ms_per_unit(std::span<const load_estimate> loads);

    placement_settings settings_;
    load_view loads_;
    prompt_cache_view caches_;
    std::map<std::string, failure_record, std::less<>> failures_;
    std::map<std::string, peer_load_shares, std::less<>> peers_;
    std::unordered_map<std::uint64_t, chain_load> chains_;
    /// Kept between calls of choose() to reuse its memory.
    mutable std::unordered_map<std::string, load_share> peer_loads_;
    /// Other routers whose loads were counted by the last add_up_peer_loads().
    mutable double active_peers_ = 0;
};

} // namespace dotterelport::routing

#endif
