#ifndef DOTTERELPORT_OBJECT_STORE_CONDITIONAL_OBJECTS_HPP
#define DOTTERELPORT_OBJECT_STORE_CONDITIONAL_OBJECTS_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace dotterelport::object_store {

/// Version of an object: the revision of the whole store at its last change. 0 means "absent".
using version = std::uint64_t;

/// Number that the store raises by one each time it comes back from an older copy of its objects.
/// What it acknowledged in an earlier era may be gone, and versions are given out again, so
/// versions of different eras must not be compared. 0 if the store states none.
using store_era = std::uint64_t;

/// An object as the platform stores it.
struct object {
    std::string key;
    version object_version = 0;
    std::string value;
};

/// Outcome of a read.
enum class read_status {
    found,
    absent,
    /// The platform did not answer, or refused because of its rate limit.
    unavailable,
};

struct read_result {
    read_status status = read_status::unavailable;
    object value;
    store_era era = 0;
};

/// Outcome of a write or removal.
enum class write_status {
    applied,
    /// The object's version differs from the one that the write requires.
    conflict,
    /// The platform refused the write, or nothing was sent: the write has no effect.
    unavailable,
    /// No valid answer arrived: the write may have taken effect. Read the object before repeating
    /// the write.
    unknown,
    /// The value is larger than the platform accepts.
    too_large,
};

struct write_result {
    write_status status = write_status::unavailable;
    /// New version if applied, present version on a conflict.
    version object_version = 0;
    store_era era = 0;
};

/// Interface for reading and conditionally writing objects: the only operations of the
/// platform that budgets need.
class conditional_objects {
public:
    virtual ~conditional_objects() = default;

    virtual void read(const std::string& key, std::function<void(const read_result&)> done) = 0;

    /// @param if_version 0 to create only if absent; nullopt to write unconditionally
    virtual void write(const std::string& key, const std::string& value,
                       std::optional<version> if_version,
                       std::function<void(const write_result&)> done) = 0;
};

} // namespace dotterelport::object_store

#endif
