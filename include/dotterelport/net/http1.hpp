#ifndef DOTTERELPORT_NET_HTTP1_HPP
#define DOTTERELPORT_NET_HTTP1_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "dotterelport/net/http.hpp"

namespace dotterelport::net {

/// Head of an HTTP/1 request as it was received.
struct http1_request_head {
    std::string method;
    /// Path with the query, undecoded.
    std::string target;
    int minor_version = 1;
    header_list headers;
};

/// Head of an HTTP/1 answer as it was received.
struct http1_answer_head {
    int status = 0;
    int minor_version = 1;
    header_list headers;
};

/// More bytes are needed.
struct http1_incomplete {};

/// The bytes are not HTTP/1.
struct http1_malformed {
    std::string reason;
};

/// A parsed head and its size in bytes.
template<typename Head> struct http1_parsed {
    Head head;
    std::size_t size = 0;
};

template<typename Head>
using http1_parse_result = std::variant<http1_incomplete, http1_malformed, http1_parsed<Head>>;

/// @brief Parses the head of a request. Folded header lines are malformed.
http1_parse_result<http1_request_head> parse_request_head(std::string_view bytes);

/// @brief Parses the head of an answer.
http1_parse_result<http1_answer_head> parse_answer_head(std::string_view bytes);

/// A body of known length; 0 means that there is no body.
struct length_framing {
    std::uint64_t length = 0;
};

/// A body in chunked transfer coding.
struct chunked_framing {};

/// A body that ends when the connection is closed.
struct close_framing {};

/// How the end of a body is determined.
using body_framing = std::variant<length_framing, chunked_framing, close_framing>;

/// @brief Name of a framing for logs.
std::string_view to_string(const body_framing& framing);

/// @brief Framing of a request's body.
/// @return nothing if the headers contradict each other or name an unknown transfer coding; such a
/// request could hide a second request in its body (request smuggling)
std::optional<body_framing> request_framing(const http1_request_head& head);

/// @brief Framing of an answer's body.
/// @param request_method method of the request that is answered
/// @return nothing if the headers contradict each other
std::optional<body_framing> answer_framing(const http1_answer_head& head,
                                           std::string_view request_method);

/// @brief Returns whether a comma-separated header lists a token, ignoring case.
bool header_contains_token(const header_list& headers, std::string_view name,
                           std::string_view token);

/// @brief Returns whether a header applies only to a single connection and must not be forwarded.
bool is_hop_by_hop(std::string_view name, const header_list& headers);

/// @brief Compares ASCII texts, ignoring case.
bool equals_ignoring_case(std::string_view left, std::string_view right);

/// Decodes the body of a message as its bytes arrive.
class body_decoder {
public:
    enum class state {
        reading,
        complete,
        /// The bytes are not a chunked body.
        malformed,
    };

    explicit body_decoder(const body_framing& framing);
    ~body_decoder();
    body_decoder(body_decoder&&) noexcept;
    body_decoder& operator=(body_decoder&&) noexcept;
    body_decoder(const body_decoder&) = delete;
    body_decoder& operator=(const body_decoder&) = delete;

    /// @brief Decodes the next bytes and appends their content.
    /// @return number of bytes that belong to this body
    std::size_t feed(std::string_view bytes, std::string& content);

    /// @brief Records that the peer closed the connection normally.
    void finish();

    [[nodiscard]] state progress() const { return state_; }

private:
    struct chunk_state;

    std::size_t feed_chunked(std::string_view bytes, std::string& content);

    body_framing framing_;
    std::unique_ptr<chunk_state> chunks_;
    std::uint64_t remaining_ = 0;
    state state_ = state::reading;
};

} // namespace dotterelport::net

#endif
