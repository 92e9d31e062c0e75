#ifndef DOTTERELPORT_MEMBERSHIP_OWN_RECORD_HPP
#define DOTTERELPORT_MEMBERSHIP_OWN_RECORD_HPP

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "dotterelport/membership/node_record.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/object_store/client.hpp"

namespace dotterelport::membership {

/// Registers this node in the platform and changes its record by conditional updates.
class own_record {
public:
    /// Changes a record; may be applied more than once.
    using change_function = std::function<void(node_record&)>;

    struct listener {
        std::function<void()> on_registered;
        /// Called after each change of the record that the platform confirmed.
        std::function<void()> on_written;
        /// Called when another process has closed or replaced this incarnation.
        std::function<void()> on_lost;
    };

    own_record(net::event_loop& loop, object_store::client& platform, node_record self);

    /// @brief Registers with the next epoch and retries until registration succeeds.
    void start(listener callbacks);

    /// @brief Registers a new incarnation if the current one was lost.
    void rejoin();

    /// @brief Changes the record.
    /// @param always write even if the change leaves the record as it is
    /// @param done false if the change may not have been written
    void change(change_function function, bool always, std::function<void(bool)> done);

    /// @brief Handles this node's record as found in a listing.
    void observe(const node_record& seen, object_store::version version);

    [[nodiscard]] bool is_registered() const { return registered_; }
    [[nodiscard]] const node_record& record() const { return record_; }
    [[nodiscard]] object_store::version version() const { return version_; }

private:
    struct pending_change {
        change_function function;
        bool always = false;
        std::function<void(bool)> done;
        int attempts = 0;
    };

    void register_next();
    void retry_registration(const char* step);
    void store_previous(const node_record& previous, object_store::version previous_version);
    void write_registration(std::optional<node_record> previous,
                            object_store::version previous_version);
    void adopt_registration(const node_record& registered, object_store::version version);

    void write_changes();
    void resolve_by_reading();
    void resolve(const object_store::read_result& result);
    void retry_in_flight();
    void complete_in_flight(bool written);
    void handle_loss();
    [[nodiscard]] bool is_own(const node_record& seen) const;
    [[nodiscard]] bool has_unconfirmed_write() const
    {
        return unconfirmed_version_ && *unconfirmed_version_ == version_;
    }

    /// @brief Wraps a platform callback so that it does nothing after destruction.
    template<typename Function> auto guarded(Function function)
    {
        return [alive = std::weak_ptr(alive_), function = std::move(function)](const auto& result) {
            if (!alive.expired()) {
                function(result);
            }
        };
    }

    net::event_loop& loop_;
    object_store::client& platform_;
    node_record record_;
    object_store::version version_ = 0;
    listener listener_;
    bool registered_ = false;
    bool registering_ = false;
    /// This node closed its own incarnation and does not register again.
    bool closed_itself_ = false;
    milliseconds retry_delay_;
    std::vector<pending_change> queued_;
    std::vector<pending_change> in_flight_;
    /// Version that a write with a lost answer was conditional on. While the record has this
    /// version, that write may still take effect.
    std::optional<object_store::version> unconfirmed_version_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace dotterelport::membership

#endif
