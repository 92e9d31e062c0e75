#include "experiment_plan.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

#include "dotterelport/base/enum_names.hpp"
#include "dotterelport/base/hash.hpp"

namespace dotterelport::standin::experiment {
namespace {

constexpr enum_names<fault, 5> fault_names{{
    {fault::none, "all_well"},
    {fault::dead, "server_dead"},
    {fault::slow, "server_slow"},
    {fault::cut, "domain_cut"},
    {fault::overload, "overload"},
}};

/// Share of the prompt tokens assumed to be cached when the offered load is computed.
constexpr double assumed_cached_share = 0.5;

/// A session ends after this number of requests.
constexpr int max_session_requests = 20;

struct session {
    std::string identity;
    int tokens = 0;
    int request_count = 0;
};

using generator = std::mt19937_64;

double mean_engine_ms(const traffic_class& kind)
{
    if (kind.is_call) {
        return kind.call_ms / call_capacity;
    }
    const engine_model engine;
    const int prompt = kind.shared_tokens + kind.session_tokens + kind.new_tokens;
    return prompt * (1 - assumed_cached_share) * engine.prefill_ms_per_token +
           kind.output_tokens * (engine.step_ms / engine.capacity + engine.step_ms_per_sequence);
}

double arrivals_per_ms(const deployment& where, bool is_call_pool, double load)
{
    double mean = 0;
    for (const auto& kind : where.classes) {
        mean += kind.is_call == is_call_pool ? kind.share * mean_engine_ms(kind) : 0.0;
    }
    return load * (is_call_pool ? where.call_engines : where.model_engines) / mean;
}

int draw_token_count(int mean, generator& random)
{
    std::lognormal_distribution<double> factor(-0.125, 0.5);
    return std::max(1, static_cast<int>(mean * factor(random)));
}

/// The load is uneven: the first three workspaces send two thirds of the requests.
std::string draw_workspace(const deployment& where, generator& random)
{
    constexpr std::size_t large_workspaces = 3;
    std::vector<double> weights(static_cast<std::size_t>(where.workspaces),
                                1.0 / 3 / (where.workspaces - static_cast<int>(large_workspaces)));
    std::fill_n(weights.begin(), large_workspaces, 2.0 / 9);
    std::discrete_distribution<int> index(weights.begin(), weights.end());
    return "workspace-" + std::to_string(index(random));
}

void append_blocks(std::vector<routing::prefix_hash>& prefix, const std::string& identity,
                   int tokens)
{
    const int blocks = tokens / engine_model{}.block_tokens;
    for (int i = 0; i < blocks; ++i) {
        prefix.push_back(hash64(identity, prefix.empty() ? 0 : prefix.back()));
    }
}

/// Draws the requests of one pool of servers.
class pool_plan {
public:
    pool_plan(const deployment& where, std::uint64_t seed) : where_(where), random_(seed) {}

    void draw(bool is_call_pool, double load, std::vector<planned_request>& requests)
    {
        std::exponential_distribution<double> gap(arrivals_per_ms(where_, is_call_pool, load));
        std::vector<double> shares;
        for (const auto& kind : where_.classes) {
            shares.push_back(kind.is_call == is_call_pool ? kind.share : 0.0);
        }
        std::discrete_distribution<std::size_t> kind(shares.begin(), shares.end());
        for (run_time now = gap(random_); now < run_length; now += gap(random_)) {
            requests.push_back(draw_request(now, kind(random_)));
        }
    }

private:
    planned_request draw_request(run_time now, std::size_t index)
    {
        const traffic_class& kind = where_.classes[index];
        planned_request result;
        result.arrival = now;
        result.class_index = index;
        result.workspace = draw_workspace(where_, random_);
        if (kind.is_call) {
            std::exponential_distribution<double> extra_ms(1 / (kind.call_ms / 2));
            result.call_ms = kind.call_ms / 2 + extra_ms(random_);
            return result;
        }
        session& current_session = draw_session(kind, result.workspace);
        const std::string shared = result.workspace + "/" + kind.name;
        append_blocks(result.prefix, shared, kind.shared_tokens);
        append_blocks(result.prefix, current_session.identity, current_session.tokens);
        const int added_tokens = draw_token_count(kind.new_tokens, random_);
        result.prompt_tokens = kind.shared_tokens + current_session.tokens + added_tokens;
        result.output_tokens = draw_token_count(kind.output_tokens, random_);
        if (kind.session_length > 2) {
            // A conversation: the next prompt contains this one and its answer.
            current_session.tokens +=
                std::min(added_tokens + result.output_tokens, kind.session_tokens);
        }
        ++current_session.request_count;
        return result;
    }

    session& draw_session(const traffic_class& kind, const std::string& workspace)
    {
        auto& open_sessions = sessions_[workspace + "/" + kind.name];
        std::bernoulli_distribution ends(1 / kind.session_length);
        constexpr std::size_t concurrent_sessions = 12;
        const auto start = [&] {
            return session{.identity = "session-" + std::to_string(++last_session_),
                           .tokens = draw_token_count(kind.session_tokens, random_)};
        };
        if (open_sessions.size() < concurrent_sessions) {
            return open_sessions.emplace_back(start());
        }
        std::uniform_int_distribution<std::size_t> index(0, open_sessions.size() - 1);
        session& chosen = open_sessions[index(random_)];
        if (ends(random_) || chosen.request_count >= max_session_requests) {
            chosen = start();
        }
        return chosen;
    }

    const deployment& where_;
    generator random_;
    std::map<std::string, std::vector<session>> sessions_;
    int last_session_ = 0;
};

} // namespace

std::string_view to_string(fault value)
{
    return name_of(fault_names, value);
}

const std::vector<deployment>& deployments()
{
    static const std::vector<deployment> all{{.name = "carbones",
                                              .domains = {"coronel", "lota", "arauco"},
                                              .model_engines = 12,
                                              .latency = 0.5,
                                              .classes = {{.name = "vendor_chat",
                                                           .priority = priority::interactive,
                                                           .share = 0.6,
                                                           .shared_tokens = 512,
                                                           .session_tokens = 256,
                                                           .new_tokens = 60,
                                                           .output_tokens = 120,
                                                           .session_length = 6,
                                                           .queue_timeout = 8'000},
                                                          {.name = "contract_review",
                                                           .priority = priority::normal,
                                                           .share = 0.2,
                                                           .shared_tokens = 384,
                                                           .session_tokens = 2'600,
                                                           .new_tokens = 100,
                                                           .output_tokens = 350,
                                                           .session_length = 2,
                                                           .queue_timeout = 30'000},
                                                          {.name = "lot_summary",
                                                           .priority = priority::batch,
                                                           .share = 0.2,
                                                           .shared_tokens = 256,
                                                           .session_tokens = 0,
                                                           .new_tokens = 700,
                                                           .output_tokens = 150,
                                                           .queue_timeout = 60'000},
                                                          {.name = "booking",
                                                           .priority = priority::interactive,
                                                           .is_call = true,
                                                           .share = 0.4,
                                                           .call_ms = 120,
                                                           .queue_timeout = 8'000,
                                                           .idempotent = false},
                                                          {.name = "stock_read",
                                                           .priority = priority::interactive,
                                                           .is_call = true,
                                                           .share = 0.6,
                                                           .call_ms = 40,
                                                           .queue_timeout = 8'000}}},
                                             {.name = "caroni",
                                              .domains = {"chaguanas", "couva", "san-fernando"},
                                              .model_engines = 20,
                                              .latency = 1,
                                              .classes = {{.name = "floor_question",
                                                           .priority = priority::interactive,
                                                           .share = 0.65,
                                                           .shared_tokens = 640,
                                                           .session_tokens = 128,
                                                           .new_tokens = 50,
                                                           .output_tokens = 80,
                                                           .session_length = 3,
                                                           .queue_timeout = 5'000},
                                                          {.name = "recipe_review",
                                                           .priority = priority::batch,
                                                           .share = 0.2,
                                                           .shared_tokens = 512,
                                                           .session_tokens = 2'000,
                                                           .new_tokens = 100,
                                                           .output_tokens = 450,
                                                           .session_length = 2,
                                                           .queue_timeout = 60'000},
                                                          {.name = "supplier_letter",
                                                           .priority = priority::batch,
                                                           .share = 0.15,
                                                           .shared_tokens = 384,
                                                           .session_tokens = 0,
                                                           .new_tokens = 300,
                                                           .output_tokens = 300,
                                                           .queue_timeout = 60'000},
                                                          {.name = "booking",
                                                           .priority = priority::interactive,
                                                           .is_call = true,
                                                           .share = 0.4,
                                                           .call_ms = 100,
                                                           .queue_timeout = 5'000,
                                                           .idempotent = false},
                                                          {.name = "stock_read",
                                                           .priority = priority::interactive,
                                                           .is_call = true,
                                                           .share = 0.6,
                                                           .call_ms = 40,
                                                           .queue_timeout = 5'000}}}};
    return all;
}

std::vector<planned_request> plan_requests(const deployment& where, fault what, std::uint64_t seed)
{
    const bool is_overload = what == fault::overload;
    std::vector<planned_request> result;
    pool_plan(where, seed * 2).draw(false, is_overload ? overload : ordinary_model_load, result);
    pool_plan(where, seed * 2 + 1).draw(true, is_overload ? overload : ordinary_call_load, result);
    std::stable_sort(result.begin(), result.end(), [](const auto& left, const auto& right) {
        return left.arrival < right.arrival;
    });
    return result;
}

} // namespace dotterelport::standin::experiment
