#ifndef DOTTERELPORT_BASE_ERROR_HPP
#define DOTTERELPORT_BASE_ERROR_HPP

#include <stdexcept>
#include <string>
#include <utility>

namespace dotterelport {

/// Base of all exceptions that this library throws.
class error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Thrown for settings, a configuration or a message with an invalid format.
class format_error : public error {
public:
    /// @param source file name or endpoint that the document was read from
    /// @param path JSON pointer to the offending value; empty for the whole document
    /// @param description the accepted values, or a description of the error
    format_error(std::string source, std::string path, std::string description)
        : error(source + ": " + (path.empty() ? "/" : path) + ": " + description),
          source_(std::move(source)), path_(std::move(path)), description_(std::move(description))
    {}

    [[nodiscard]] const std::string& source() const { return source_; }
    [[nodiscard]] const std::string& path() const { return path_; }
    [[nodiscard]] const std::string& description() const { return description_; }

private:
    std::string source_;
    std::string path_;
    std::string description_;
};

} // namespace dotterelport

#endif
