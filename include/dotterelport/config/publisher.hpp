#ifndef DOTTERELPORT_CONFIG_PUBLISHER_HPP
#define DOTTERELPORT_CONFIG_PUBLISHER_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "dotterelport/config/document.hpp"
#include "dotterelport/net/event_loop.hpp"
#include "dotterelport/object_store/client.hpp"

namespace dotterelport::config {

/// The configuration is accepted.
struct publish_applied {
    std::uint64_t generation = 0;
    /// False if the document is the one already accepted, so that nothing was written.
    bool changed = true;
};

/// Another configuration was accepted since the operator last read it.
struct publish_conflict {
    /// Generation that the operator read, and the one that is accepted.
    std::uint64_t expected = 0;
    std::uint64_t present = 0;
};

/// The document can not replace the accepted one.
struct publish_refused {
    std::string reason;
};

/// The platform did not answer in time.
struct publish_unavailable {
    /// The write of the manifest may have taken effect, or may still do so.
    bool may_be_applied = false;
};

using publish_result =
    std::variant<publish_applied, publish_conflict, publish_refused, publish_unavailable>;

/// Accepts whole configurations: writes the parts that the platform lacks, then the manifest in one
/// conditional update.
class publisher {
public:
    struct options {
        /// Time after which a publication stops retrying and reports the platform as unavailable.
        milliseconds timeout{15'000};
    };

    publisher(net::event_loop& loop, object_store::client& platform, options settings);

    /// @param if_generation generation that the operator read; without it, the publication replaces
    /// the generation that it reads first
    /// @param id random identifier of this publication
    void publish(const document& value, std::optional<std::uint64_t> if_generation,
                 const std::string& id, std::function<void(const publish_result&)> done);

private:
    net::event_loop& loop_;
    object_store::client& platform_;
    options settings_;
};

} // namespace dotterelport::config

#endif
