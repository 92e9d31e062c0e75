#ifndef DOTTERELPORT_CTL_OPTIONS_HPP
#define DOTTERELPORT_CTL_OPTIONS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/net/endpoint.hpp"

/// Commands of dotterelctl, the command-line tool for operators.
namespace dotterelport::ctl {

/// Exit status of dotterelctl.
enum class exit_status {
    success = 0,
    /// The document was rejected, the requested item does not exist, or another error occurred.
    refused = 1,
    usage = 2,
    /// Another configuration was accepted in the meantime.
    conflict = 3,
    platform_unavailable = 4,
};

/// Parsed command line.
struct options {
    net::endpoint platform = {};
    std::string command = {};
    std::vector<std::string> arguments = {};
    /// apply: generation that the change is based on; another accepted generation is a conflict.
    std::optional<std::uint64_t> if_generation = {};
    /// show: print only the generation.
    bool generation_only = false;
    /// Print JSON instead of a table.
    bool as_json = false;
    /// budget, bill: workspace to show; empty for all. explain: workspace of the request; empty for
    /// a request without a key.
    std::string workspace = {};
    /// explain: parts of the prompt as ID:TOKENS,..., the request's own part last.
    std::string parts = {};
    /// explain: size of the request.
    std::int64_t prompt_tokens = 0;
    std::int64_t output_tokens = 0;
    /// explain: time for which the caller waits; by default that of the route.
    std::optional<std::int64_t> deadline_ms = {};
    /// Time for which requests to the platform are retried before it counts as unavailable.
    milliseconds platform_timeout{15'000};
};

} // namespace dotterelport::ctl

#endif
