#ifndef DOTTERELPORT_CTL_OPTIONS_HPP
#define DOTTERELPORT_CTL_OPTIONS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/net/endpoint.hpp"

/// Operators' commands.
namespace dotterelport::ctl {

/// Exit status of dotterelctl.
enum class exit_status {
    success = 0,
    /// The document was refused, or what was asked for does not exist.
    refused = 1,
    usage = 2,
    /// Another configuration was accepted in the meantime.
    conflict = 3,
    platform_unavailable = 4,
};

/// What the command line asks for.
struct options {
    net::endpoint platform = {};
    std::string command = {};
    std::vector<std::string> arguments = {};
    /// apply: generation that the operator read.
    std::optional<std::uint64_t> if_generation = {};
    /// show: print only the generation.
    bool generation_only = false;
    /// Print JSON instead of a table.
    bool as_json = false;
    /// budget, bill: only this workspace.
    std::string workspace = {};
    /// Time after which the platform counts as unavailable.
    milliseconds patience{15'000};
};

} // namespace dotterelport::ctl

#endif
