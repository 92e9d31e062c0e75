#ifndef DOTTERELPORT_CONFIG_PART_CACHE_HPP
#define DOTTERELPORT_CONFIG_PART_CACHE_HPP

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "dotterelport/config/part_fetcher.hpp"
#include "dotterelport/config/parts.hpp"

namespace dotterelport::config {

/// Parts of the configuration in force, as text for other processes and parsed for this one. A
/// change parses only the parts that it replaces.
class part_cache {
public:
    /// @brief Hashes listed in a manifest whose parts are not in the cache.
    [[nodiscard]] std::vector<std::string> missing(const manifest& value) const;

    /// @throws format_error if a content is not a part
    void add(const part_contents& contents);

    /// @brief Joins the parts of a manifest, which must all be in the cache.
    [[nodiscard]] document build(const manifest& value) const;

    /// @brief Removes the parts that a manifest does not list.
    void retain(const manifest& value);

    /// @brief Content of a part, or null.
    [[nodiscard]] const std::string* find(const std::string& hash) const;

private:
    struct entry {
        std::string content;
        std::shared_ptr<const part> parsed;
    };

    std::unordered_map<std::string, entry> entries_;
};

} // namespace dotterelport::config

#endif
