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
        /// Models present at the start; any model is served if there are none.
        std::vector<std::string> models;
        milliseconds load_time{500};
        /// Refuse orders with a fencing number below the highest seen, or ignore the number.
        bool check_fencing = true;
    };

    explicit engine_orders(const options& settings);

    /// @brief Takes an order: load_model, unload_model (with "model") or set_role (with "role").
    /// @return HTTP status and answer
    std::pair<int, json> take(const json& order, milliseconds now);

    [[nodiscard]] bool serves(const std::string& model, milliseconds now) const;
    [[nodiscard]] json to_json(milliseconds now) const;

private:
    options settings_;
    std::uint64_t highest_fencing_ = 0;
    std::uint64_t orders_taken_ = 0;
    std::string role_ = "mixed";
    /// Models with the time at which each is loaded.
    std::map<std::string, milliseconds> models_;
};

} // namespace dotterelport::standin

#endif
