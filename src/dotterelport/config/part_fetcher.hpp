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

/// Function that fetches one part; answers nothing if it could not.
using part_source = std::function<void(
    const std::string& hash, std::function<void(const std::optional<std::string>&)> done)>;

/// @brief Fetches parts, a limited number at a time. A content that does not have the hash it was
/// asked for counts as not fetched.
/// @param done receives the parts that could be fetched
void fetch_parts(const std::vector<std::string>& hashes, part_source source,
                 std::function<void(const part_contents&)> done);

/// @brief Source that reads parts from the platform.
part_source platform_source(object_store::client& platform);

} // namespace dotterelport::config

#endif
