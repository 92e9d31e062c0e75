#ifndef DOTTERELPORT_OBJECT_STORE_ERA_TRACKER_HPP
#define DOTTERELPORT_OBJECT_STORE_ERA_TRACKER_HPP

#include <functional>
#include <utility>
#include <vector>

#include "dotterelport/object_store/conditional_objects.hpp"

namespace dotterelport::object_store {

/// Tracks the newest era of the store that its answers have stated.
class era_tracker {
public:
    using handler = std::function<void(store_era)>;

    /// @brief Adds a function that is called with the first era and with each newer one.
    void on_change(handler handle) { handlers_.push_back(std::move(handle)); }

    /// @brief Records the era of an answer.
    /// @return false if the answer is from an earlier era than one that is known: what it says may
    /// be gone
    bool record(store_era era);

    /// @brief Newest era; 0 before the first one.
    [[nodiscard]] store_era current() const { return current_; }

private:
    store_era current_ = 0;
    std::vector<handler> handlers_;
};

} // namespace dotterelport::object_store

#endif
