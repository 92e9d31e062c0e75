#ifndef DOTTERELPORT_CONFIG_PARTS_HPP
#define DOTTERELPORT_CONFIG_PARTS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelport/config/document.hpp"

namespace dotterelport::config {

/// Object that holds the manifest.
inline constexpr const char* manifest_key = "config/manifest";

/// Workspaces are assigned to this number of parts by a hash of their name, so that a change of one
/// workspace replaces one small part.
inline constexpr std::size_t workspace_bucket_count = 256;

/// @brief Key of the object that holds a part.
std::string part_key(const std::string& hash);

/// An accepted publication. A publisher recognises its own write by it.
struct publication {
    std::uint64_t generation = 0;
    /// Random identifier, unique for each call of a publisher.
    std::string id;

    bool operator==(const publication&) const = default;
};

/// Largest number of publications that a manifest lists.
inline constexpr std::size_t max_publication_history = 8;

/// Value of the object "config/manifest".
struct manifest {
    std::uint64_t generation = 0;
    /// Hashes of the parts: services and settings first, then one for each bucket of workspaces. An
    /// empty hash stands for an empty bucket.
    std::vector<std::string> parts;
    /// The last publications, the newest last.
    std::vector<publication> history;

    bool operator==(const manifest&) const = default;
};

json to_json(const manifest& value);

/// @throws format_error if the text is not a manifest
manifest parse_manifest(std::string_view text, const std::string& source);

/// A document in content-addressed parts.
struct split_document {
    /// Hashes of the parts, in the order of manifest::parts.
    std::vector<std::string> parts;
    /// Contents of the parts by hash.
    std::map<std::string, std::string> contents;
};

/// @brief Splits a document into parts in canonical JSON.
/// @throws format_error if a part is larger than the platform accepts
split_document split(const document& value, const std::string& source);

/// A parsed part: either services and settings, or the workspaces of a bucket.
struct part {
    std::vector<service> services;
    fleet_settings settings;
    std::vector<workspace> workspaces;
};

/// @throws format_error if the content is not a part
part parse_part(std::string_view content, const std::string& source);

/// @brief Joins the parts of a manifest, in its order. Workspaces are sorted by name.
/// @param parts null for an empty bucket
document join(const std::vector<std::shared_ptr<const part>>& parts);

} // namespace dotterelport::config

#endif
