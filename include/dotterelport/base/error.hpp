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
    /// @param expected the accepted values, or a description of the error
    format_error(std::string source, std::string path, std::string expected)
        : error(source + ": " + (path.empty() ? "/" : path) + ": " + expected),
          source_(std::move(source)), path_(std::move(path)), expected_(std::move(expected))
    {}

    [[nodiscard]] const std::string& source() const { return source_; }
    [[nodiscard]] const std::string& path() const { return path_; }
    [[nodiscard]] const std::string& expected() const { return expected_; }

private:
    std::string source_;
    std::string path_;
    std::string expected_;
};

} // namespace dotterelport

#endif
