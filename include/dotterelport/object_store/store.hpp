#ifndef DOTTERELPORT_OBJECT_STORE_STORE_HPP
#define DOTTERELPORT_OBJECT_STORE_STORE_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "dotterelport/object_store/client.hpp"

namespace dotterelport::object_store {

/// Largest value that the platform accepts.
inline constexpr std::size_t max_value_bytes = 1'000'000;

/// Identifies a pending watch; 0 is never used.
using watch_id = std::uint64_t;

/// In-memory store with the platform's semantics: versions are revisions of the whole store,
/// updates can be conditional, and the changes after a revision can be listed and watched. Does no
/// I/O; tests and the stand-in for the platform use it.
class store {
public:
    [[nodiscard]] read_result read(const std::string& key) const;

    /// @param if_version 0 to create only if absent; nullopt to write unconditionally
    write_result write(const std::string& key, const std::string& value,
                       std::optional<version> if_version);

    /// @brief Removes an object that has a given version. An absent object is a conflict.
    write_result remove(const std::string& key, version if_version);

    /// @brief Lists the objects under a prefix that changed after a revision, and the keys that
    /// were removed after it. With revision 0, all objects and no removals.
    [[nodiscard]] listing list(const std::string& prefix, version since) const;

    /// @brief Calls a function once, when an object under a prefix has changed after a revision;
    /// immediately if one has already changed.
    /// @return identifier for cancel(), or 0 if the function was called
    watch_id watch(const std::string& prefix, version since,
                   std::function<void(const listing&)> function);

    /// @brief Cancels a watch without calling its function; an unknown watch is ignored.
    void cancel(watch_id watch);

    [[nodiscard]] version revision() const { return revision_; }
    [[nodiscard]] std::size_t size() const { return objects_.size(); }

private:
    struct entry {
        version object_version;
        std::string value;
    };
    struct pending_watch {
        std::string prefix;
        version since;
        std::function<void(const listing&)> function;
    };

    [[nodiscard]] version version_of(const std::string& key) const;
    void record_change(const std::string& key, version previous);
    void notify(const std::string& key);

    version revision_ = 0;
    std::map<std::string, entry> objects_;
    /// Keys of removed objects with the revision of their removal.
    std::unordered_map<std::string, version> removed_;
    /// Last change of each key, present or removed.
    std::map<version, std::string> changes_;
    watch_id last_watch_ = 0;
    std::map<watch_id, pending_watch> watches_;
};

} // namespace dotterelport::object_store

#endif
