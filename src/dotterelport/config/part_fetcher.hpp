#ifndef DOTTERELPORT_CONFIG_PART_FETCHER_HPP
#define DOTTERELPORT_CONFIG_PART_FETCHER_HPP

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dotterelport/object_store/client.hpp"

namespace dotterelport::config {

/// Contents of parts by hash.
using part_contents = std::map<std::string, std::string>;

/// Function that fetches one part; calls done without a value if that failed.
using part_source = std::function<void(
    const std::string& hash, std::function<void(const std::optional<std::string>&)> done)>;

/// @brief Fetches parts, a limited number at a time. Content that does not match the requested hash
/// counts as not fetched.
/// @param done called with the parts that could be fetched
void fetch_parts(const std::vector<std::string>& hashes, part_source source,
                 std::function<void(const part_contents&)> done);

/// @brief Source that reads parts from the platform.
part_source platform_source(object_store::client& platform);

} // namespace dotterelport::config

#endif
