#include "dotterelport/standin/engine_orders.hpp"

#include <algorithm>

namespace dotterelport::standin {

engine_orders::engine_orders(const options& settings) : settings_(settings)
{
    for (const std::string& model : settings_.models) {
        models_.emplace(model, milliseconds{0});
    }
}

std::pair<int, json> engine_orders::execute(const json& order, milliseconds now)
{
    constexpr int accepted = 200;
    constexpr int bad_request = 400;
    constexpr int conflict = 409;
    if (!order.is_object() || !order.value("fencing", json()).is_number_unsigned() ||
        !order.value("action", json()).is_string()) {
        return {bad_request, {{"accepted", false}, {"message", "fencing and action required"}}};
    }
    const auto fencing = order["fencing"].get<std::uint64_t>();
    if (settings_.check_fencing && fencing < highest_fencing_) {
        return {conflict, {{"accepted", false}, {"highest_fencing", highest_fencing_}}};
    }
    highest_fencing_ = std::max(highest_fencing_, fencing);
    const auto text = [&](const char* field) {
        const json value = order.value(field, json());
        return value.is_string() ? value.get<std::string>() : std::string();
    };
    const std::string action = text("action");
    if (action == "load_model" && !text("model").empty()) {
        models_.try_emplace(text("model"), now + settings_.load_time);
    } else if (action == "unload_model" && !text("model").empty()) {
        models_.erase(text("model"));
    } else if (action == "set_role" && !text("role").empty()) {
        role_ = text("role");
    } else {
        return {bad_request, {{"accepted", false}, {"message", "unknown action"}}};
    }
    ++accepted_orders_;
    return {accepted, {{"accepted", true}, {"highest_fencing", highest_fencing_}}};
}

bool engine_orders::serves(const std::string& model, milliseconds now) const
{
    if (settings_.models.empty() && models_.empty()) {
        return true;
    }
    const auto found = models_.find(model);
    return found != models_.end() && found->second <= now;
}

json engine_orders::to_json(milliseconds now) const
{
    json models = json::array();
    for (const auto& [name, loaded_at] : models_) {
        models.push_back({{"model", name}, {"loaded", loaded_at <= now}});
    }
    return {{"models", std::move(models)},
            {"role", role_},
            {"highest_fencing", highest_fencing_},
            {"orders_taken", accepted_orders_}};
}

} // namespace dotterelport::standin
