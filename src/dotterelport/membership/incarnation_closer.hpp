#ifndef DOTTERELPORT_MEMBERSHIP_INCARNATION_CLOSER_HPP
#define DOTTERELPORT_MEMBERSHIP_INCARNATION_CLOSER_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "dotterelport/membership/node_record.hpp"
#include "dotterelport/object_store/client.hpp"

namespace dotterelport::membership {

/// Changes the records of other routers' incarnations, under the node's key or the key of an
/// earlier incarnation.
class incarnation_closer {
public:
    explicit incarnation_closer(object_store::client& platform) : platform_(platform) {}

    /// @brief Sets a record to closing, after which the incarnation can no longer add agents.
    /// @param done the record, or nothing if it is closed or could not be changed
    void begin(const incarnation& other,
               std::function<void(const std::optional<node_record>&)> done);

    /// @brief Sets a closing record to closed, or removes it if a newer incarnation replaced it.
    /// @param done false if the record could not be changed
    void finish(const incarnation& other, std::function<void(bool)> done);

private:
    struct record_location {
        enum class status {
            found,
            absent,
            unavailable,
        };

        status outcome = status::unavailable;
        std::string key;
        node_record record;
        object_store::version version = 0;
    };

    void locate(const incarnation& other, std::function<void(const record_location&)> done);
    void begin(const incarnation& other, int attempts,
               std::function<void(const std::optional<node_record>&)> done);
    void finish(const incarnation& other, int attempts, std::function<void(bool)> done);

    template<typename Function> auto guarded(Function function)
    {
        return [alive = std::weak_ptr(alive_), function = std::move(function)](const auto& result) {
            if (!alive.expired()) {
                function(result);
            }
        };
    }

    object_store::client& platform_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace dotterelport::membership

#endif
