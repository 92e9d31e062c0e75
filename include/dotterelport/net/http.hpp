#ifndef DOTTERELPORT_NET_HTTP_HPP
#define DOTTERELPORT_NET_HTTP_HPP

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dotterelport::net {

/// Header fields in order of appearance; names are case-insensitive.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// @brief Finds a header by name.
std::optional<std::string_view> find_header(const header_list& headers, std::string_view name);

/// A request that a server received, with its complete body.
struct http_request {
    std::string method;
    /// Path without the query, percent-encoding as received.
    std::string path;
    std::string query;
    header_list headers;
    std::string body;

    [[nodiscard]] std::optional<std::string_view> header(std::string_view name) const
    {
        return find_header(headers, name);
    }
    /// @brief Value of a query parameter, percent-decoded.
    [[nodiscard]] std::optional<std::string> parameter(std::string_view name) const;
};

/// @brief Decodes %XX sequences and '+'; malformed sequences stay as they are.
std::string percent_decode(std::string_view text);

/// @brief Percent-encodes every byte except letters, digits and "-._~/".
std::string percent_encode(std::string_view text);

/// @brief Reason phrase of a status code.
std::string_view reason_phrase(int status);

} // namespace dotterelport::net

#endif
