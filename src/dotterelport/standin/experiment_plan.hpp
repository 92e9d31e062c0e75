#ifndef DOTTERELPORT_STANDIN_EXPERIMENT_PLAN_HPP
#define DOTTERELPORT_STANDIN_EXPERIMENT_PLAN_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelport/base/priority.hpp"
#include "dotterelport/routing/prefix_view.hpp"

/// Plans of the routing experiment: deployments, scenarios and the requests of a run.
namespace dotterelport::standin::experiment {

/// Time since the start of a run, or a duration, in milliseconds with fractions.
using run_time = double;

/// A kind of request in a deployment.
struct traffic_class {
    std::string name;
    dotterelport::priority priority = dotterelport::priority::normal;
    bool is_call = false;
    /// Share of the requests to its pool of servers.
    double share = 0;
    /// Instruction at the start of all prompts of the class in a workspace.
    int shared_tokens = 0;
    /// Document or earlier conversation, which later requests of a session reuse.
    int session_tokens = 0;
    int new_tokens = 0;
    int output_tokens = 0;
    /// Mean number of requests in a session.
    double session_length = 1;
    /// Mean duration of a call.
    double call_ms = 0;
    /// Time after its arrival at which a request that has not started expires.
    run_time queue_timeout = 10'000;
    bool idempotent = true;
};

struct deployment {
    std::string name;
    std::vector<std::string> domains;
    int model_engines = 12;
    int call_engines = 3;
    int routers_per_domain = 2;
    int workspaces = 10;
    run_time latency = 0.5;
    std::vector<traffic_class> classes;
};

enum class fault {
    none,
    dead,
    slow,
    cut,
    overload,
};

std::string_view to_string(fault value);

/// @brief All deployments, in the order of the design page.
const std::vector<deployment>& deployments();

/// Properties of an emulated model engine.
struct engine_model {
    int capacity = 16;
    double step_ms = 12;
    double step_ms_per_sequence = 0.4;
    double prefill_ms_per_token = 0.08;
    int prefill_tokens_per_step = 512;
    int block_tokens = 64;
    std::size_t cache_blocks = 1'500;
};

/// Number of calls that a call engine runs concurrently.
inline constexpr int call_capacity = 2;

/// Offered load relative to the capacity of the engines, if half of the prompt tokens are cached.
/// At the ordinary call load, two of the three call engines can serve all calls.
inline constexpr double ordinary_model_load = 0.65;
inline constexpr double ordinary_call_load = 0.5;
inline constexpr double overload = 1.5;

struct planned_request {
    run_time arrival = 0;
    std::size_t class_index = 0;
    std::string workspace;
    std::vector<routing::prefix_hash> prefix;
    int prompt_tokens = 0;
    int output_tokens = 0;
    double call_ms = 0;
};

inline constexpr run_time run_length = 240'000;
/// Requests that arrive earlier are not counted in the results.
inline constexpr run_time warm_up = 30'000;
inline constexpr run_time fault_start = 60'000;
inline constexpr run_time fault_end = 180'000;

/// @brief Draws the requests of a run, the same for all policies.
std::vector<planned_request> plan_requests(const deployment& where, fault what, std::uint64_t seed);

} // namespace dotterelport::standin::experiment

#endif
