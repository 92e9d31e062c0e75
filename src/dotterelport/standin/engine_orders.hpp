#ifndef DOTTERELPORT_STANDIN_ENGINE_ORDERS_HPP
#define DOTTERELPORT_STANDIN_ENGINE_ORDERS_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dotterelport/base/clock.hpp"
#include "dotterelport/base/json.hpp"

namespace dotterelport::standin {

/// Models of an engine and the orders that change them.
class engine_orders {
public:
    struct options {
        /// Models that are loaded at the start. If there are none, any model is served unless an
        /// order has loaded one.
        std::vector<std::string> models;
        milliseconds load_time{500};
        /// Whether to refuse orders with a fencing number below the highest one received; if false,
        /// the number is ignored.
        bool check_fencing = true;
    };

    explicit engine_orders(const options& settings);

    /// @brief Executes an order: load_model or unload_model (with "model"), or set_role (with
    /// "role").
    /// @return HTTP status and body of the answer
    std::pair<int, json> execute(const json& order, milliseconds now);

    [[nodiscard]] bool serves(const std::string& model, milliseconds now) const;
    [[nodiscard]] json to_json(milliseconds now) const;

private:
    options settings_;
    std::uint64_t highest_fencing_ = 0;
    std::uint64_t accepted_orders_ = 0;
    std::string role_ = "mixed";
    /// Time at which each model is loaded, by model.
    std::map<std::string, milliseconds> models_;
};

} // namespace dotterelport::standin

#endif
