#ifndef DOTTERELPORT_CONFIG_READER_HPP
#define DOTTERELPORT_CONFIG_READER_HPP

#include <functional>
#include <optional>

#include "dotterelport/config/parts.hpp"
#include "dotterelport/object_store/client.hpp"

namespace dotterelport::config {

/// The accepted configuration as read from the platform.
struct accepted_configuration {
    /// 0 if none was accepted yet.
    std::uint64_t generation = 0;
    document content;
};

/// @brief Reads the accepted configuration from the platform, once.
/// @param done called without a configuration if a read failed, the manifest is invalid, or a part
/// is missing or invalid
void read_accepted(object_store::client& platform,
                   std::function<void(const std::optional<accepted_configuration>&)> done);

} // namespace dotterelport::config

#endif
