#ifndef DOTTERELPORT_ROUTING_PLACEMENT_HPP
#define DOTTERELPORT_ROUTING_PLACEMENT_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
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
};

/// What a request needs of a backend server.
struct placement_request {
    /// Parts of the prompt; empty for requests without one.
    std::span<const prompt_part> parts = {};
    tokens prompt_tokens = 0;
    /// Failure domain of the router.
    std::string_view failure_domain = {};
    /// Longest pause between two events that streams beside the request should have; 0 if any
    /// pause is accepted.
    milliseconds pause_limit{0};
    /// Servers that the request was sent to before.
    std::span<const std::string> excluded = {};
};

struct placement_settings {
    /// Prompt tokens that an engine reads in a millisecond.
    double prefill_tokens_per_ms = 35.0;
    /// Delay that each running request of an engine adds.
    double ms_per_running = 3.0;
    /// Share of a request's duration that each running request of a plain service adds, for one
    /// place of the server.
    double queue_weight = 1.0;
    /// Probability that the home server of a prompt's shared parts holds them, although this router
    /// has not sent them there: other routers send to the same home.
    double home_trust = 0.6;
    /// Weight of shared parts that a server would have to read although another one holds them.
    /// Above 1, as each server that reads a part also pushes another part out of its cache.
    double shared_weight = 4.0;
    /// Part of each failure domain's engines that long prompts avoid, for the sake of streams.
    double quiet_share = 0.2;
    /// Prompts with more tokens than this are long: an engine reads them in several steps, each of
    /// which holds up every stream that it runs.
    tokens long_prompt = 4'096;
    /// Disadvantage of a quiet engine for a long prompt.
    double long_on_quiet_ms = 250.0;
    /// Disadvantage of the other engines for a short prompt.
    double short_on_busy_ms = 200.0;
    /// Share of the longest accepted pause up to which an engine may have prompts to read.
    double pause_margin = 0.7;
    /// Disadvantage, for each running request, of an engine whose unread prompts hold up the events
    /// of its streams for longer than that.
    double held_up_ms = 200.0;
    /// Disadvantage of a server in another failure domain.
    double other_domain_ms = 5.0;
    /// Disadvantage of a server all of whose requests fail.
    double failure_ms = 3'000.0;
    /// Time after which half of a server's failures is forgotten.
    milliseconds failure_half_life{2'500};
    /// Time after which other routers' requests in a load report have ended.
    milliseconds report_life{600};
    /// Time for which the shares that another router told are believed.
    milliseconds peer_life{400};
    load_settings load = default_load();

    /// @brief Load settings for servers that report only with their answers.
    static load_settings default_load();
};

/// What one router's requests are to a server.
struct server_share {
    std::string server;
    /// Prompt tokens that the server has yet to read.
    double unread = 0;
    double running = 0;
};

/// A chosen server and what the choice was based on.
struct placement_choice {
    std::string server;
    /// Expected milliseconds until the first part of the answer.
    double cost_ms = 0;
    tokens cached_tokens = 0;
};

/// Chooses backend servers by the expected time to the first part of the answer: prompt tokens that
/// the server has to read, tokens that wait there already, running requests, failures. Answers the
/// pattern of many prompts that share long parts: the server that has read a part before wins
/// unless it is busier than reading the part again takes elsewhere. Routers that know nothing of
/// each other's requests agree on a home server for each chain of shared parts, and on the engines
/// that long prompts leave to streams.
class placement {
public:
    explicit placement(const placement_settings& settings = {});

    /// @return nothing if there is no candidate that was not excluded
    [[nodiscard]] std::optional<placement_choice>
    choose(const placement_request& request, std::span<const placement_candidate> candidates,
           milliseconds now) const;

    /// @brief Records a request that is sent; followed by one of finished(), failed() and
    /// cancelled().
    /// @param id number that is unique among this router's requests
    /// @param cache_capacity tokens that the server's prompt cache holds
    void sent(const std::string& server, std::uint64_t id, const placement_request& request,
              tokens cache_capacity, milliseconds now);
    void answered(const std::string& server, std::uint64_t id, milliseconds now);
    /// @param units events of a stream, or 1 for another answer
    void finished(const std::string& server, std::uint64_t id, double units, milliseconds now);
    void failed(const std::string& server, std::uint64_t id, milliseconds now);
    /// @brief Records that no connection to a server could be opened, which ejects it at once.
    void unreachable(const std::string& server, std::uint64_t id, milliseconds now);
    void cancelled(const std::string& server, std::uint64_t id, milliseconds now);

    /// @brief Takes the load that a server tells with an answer.
    void take_report(const std::string& server, const load_report& report, milliseconds now);

    /// @brief What this router's own requests are to the servers that have any.
    [[nodiscard]] std::vector<server_share> own_shares(milliseconds now) const;

    /// @brief Takes what another router's requests are to the servers.
    void take_peer_shares(const std::string& peer, const std::vector<server_share>& shares,
                          milliseconds now);

    /// @brief Takes that another router sent a prompt to a server.
    void take_peer_prompt(const std::string& server, std::span<const prompt_part> parts,
                          tokens cache_capacity);

    /// @brief Forgets a server that left or started anew.
    void forget(const std::string& server);

    [[nodiscard]] const load_view& loads() const { return loads_; }
    [[nodiscard]] json dump(milliseconds now) const;

private:
    struct failure_record {
        /// Moving share of failed requests.
        double share = 0;
        milliseconds updated{0};
    };

    struct peer_shares {
        milliseconds received{0};
        std::map<std::string, server_share, std::less<>> shares;
    };

    /// @brief Sum of what other routers told lately of a server.
    [[nodiscard]] server_share peer_share(const std::string& server, milliseconds now) const;
    [[nodiscard]] double failure_share(const std::string& server, milliseconds now) const;
    void note_result(const std::string& server, bool failed, milliseconds now);
    [[nodiscard]] double held_up_cost(const placement_request& request, double missing,
                                      double unread, double running) const;
    [[nodiscard]] double separation_cost(bool is_quiet, tokens prompt) const;
    [[nodiscard]] double cost(const placement_request& request,
                              const placement_candidate& candidate, double missing,
                              double usual_pace, milliseconds now) const;
    [[nodiscard]] double usual_pace(std::span<const placement_candidate> candidates,
                                    milliseconds now) const;

    placement_settings settings_;
    load_view loads_;
    prompt_cache_view caches_;
    std::map<std::string, failure_record, std::less<>> failures_;
    std::map<std::string, peer_shares, std::less<>> peers_;
};

} // namespace dotterelport::routing

#endif
