#include "dotterelport/net/http1.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <utility>

#include "picohttpparser.hpp"

namespace dotterelport::net {
namespace {

/// Maximum number of headers of a message; h2o has the same limit.
constexpr std::size_t max_headers = 100;

/// Return values of picohttpparser.
constexpr int parser_incomplete = -2;
constexpr int parser_malformed = -1;

using header_array = std::array<phr_header, max_headers>;

/// @return nothing if a header line is folded, that is, continues the line before it
std::optional<header_list> to_headers(const header_array& parsed, std::size_t count)
{
    header_list headers;
    headers.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        if (parsed[i].name == nullptr || parsed[i].name_len == 0) {
            return std::nullopt;
        }
        headers.emplace_back(std::string(parsed[i].name, parsed[i].name_len),
                             std::string(parsed[i].value, parsed[i].value_len));
    }
    return headers;
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

/// Value of the Content-Length headers; malformed if they differ or are not numbers.
struct declared_length {
    bool malformed = false;
    std::optional<std::uint64_t> value;
};

declared_length content_length(const header_list& headers)
{
    declared_length result;
    for (const auto& [name, text] : headers) {
        if (!equals_ignoring_case(name, "content-length")) {
            continue;
        }
        const std::string_view digits = trim(text);
        std::uint64_t length = 0;
        const auto [end, code] =
            std::from_chars(digits.data(), digits.data() + digits.size(), length);
        const bool is_number = !digits.empty() && code == std::errc{} &&
                               end == digits.data() + digits.size() && digits.front() != '+';
        if (!is_number || (result.value && *result.value != length)) {
            result.malformed = true;
            return result;
        }
        result.value = length;
    }
    return result;
}

std::size_t count_headers(const header_list& headers, std::string_view name)
{
    return static_cast<std::size_t>(
        std::count_if(headers.begin(), headers.end(), [name](const auto& header) {
            return equals_ignoring_case(header.first, name);
        }));
}

/// Framing according to the headers alone; absent if they specify none.
struct header_framing {
    bool malformed = false;
    std::optional<body_framing> framing;
};

header_framing read_framing(const header_list& headers)
{
    const auto coding = find_header(headers, "transfer-encoding");
    const declared_length length = content_length(headers);
    if (length.malformed) {
        return {.malformed = true, .framing = std::nullopt};
    }
    if (coding) {
        const bool valid = equals_ignoring_case(trim(*coding), "chunked") && !length.value &&
                           count_headers(headers, "transfer-encoding") == 1;
        return valid ? header_framing{.malformed = false, .framing = chunked_framing{}}
                     : header_framing{.malformed = true, .framing = std::nullopt};
    }
    if (length.value) {
        return {.malformed = false, .framing = length_framing{*length.value}};
    }
    return {};
}

} // namespace

bool equals_ignoring_case(std::string_view left, std::string_view right)
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(),
        [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

http1_parse_result<http1_request_head> parse_request_head(std::string_view bytes)
{
    header_array headers;
    std::size_t count = headers.size();
    const char* method = nullptr;
    const char* target = nullptr;
    std::size_t method_length = 0;
    std::size_t target_length = 0;
    int minor_version = 0;
    const int size = phr_parse_request(bytes.data(), bytes.size(), &method, &method_length, &target,
                                       &target_length, &minor_version, headers.data(), &count, 0);
    if (size == parser_incomplete) {
        return http1_incomplete{};
    }
    if (size == parser_malformed) {
        return http1_malformed{"the bytes are not a request head"};
    }
    auto received = to_headers(headers, count);
    if (!received) {
        return http1_malformed{"a header line continues the line before it"};
    }
    return http1_parsed<http1_request_head>{.head = {.method = std::string(method, method_length),
                                                     .target = std::string(target, target_length),
                                                     .minor_version = minor_version,
                                                     .headers = std::move(*received)},
                                            .size = static_cast<std::size_t>(size)};
}

http1_parse_result<http1_answer_head> parse_answer_head(std::string_view bytes)
{
    header_array headers;
    std::size_t count = headers.size();
    const char* message = nullptr;
    std::size_t message_length = 0;
    int minor_version = 0;
    int status = 0;
    const int size = phr_parse_response(bytes.data(), bytes.size(), &minor_version, &status,
                                        &message, &message_length, headers.data(), &count, 0);
    if (size == parser_incomplete) {
        return http1_incomplete{};
    }
    constexpr int lowest_status = 100;
    constexpr int highest_status = 599;
    if (size == parser_malformed || status < lowest_status || status > highest_status) {
        return http1_malformed{"the bytes are not the head of an answer"};
    }
    auto received = to_headers(headers, count);
    if (!received) {
        return http1_malformed{"a header line continues the line before it"};
    }
    return http1_parsed<http1_answer_head>{
        .head = {.status = status, .minor_version = minor_version, .headers = std::move(*received)},
        .size = static_cast<std::size_t>(size)};
}

std::string_view to_string(const body_framing& framing)
{
    constexpr std::array<std::string_view, 3> names{"length", "chunked", "close"};
    return names[framing.index()];
}

std::optional<body_framing> request_framing(const http1_request_head& head)
{
    const header_framing declared = read_framing(head.headers);
    if (declared.malformed) {
        return std::nullopt;
    }
    return declared.framing.value_or(length_framing{0});
}

std::optional<body_framing> answer_framing(const http1_answer_head& head,
                                           std::string_view request_method)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    if (request_method == "HEAD" || head.status == no_content || head.status == not_modified) {
        return length_framing{0};
    }
    const header_framing declared = read_framing(head.headers);
    if (declared.malformed) {
        return std::nullopt;
    }
    return declared.framing.value_or(close_framing{});
}

bool header_contains_token(const header_list& headers, std::string_view name,
                           std::string_view token)
{
    for (const auto& [candidate, value] : headers) {
        if (!equals_ignoring_case(candidate, name)) {
            continue;
        }
        std::string_view unparsed = value;
        while (!unparsed.empty()) {
            const std::string_view item = unparsed.substr(0, unparsed.find(','));
            if (equals_ignoring_case(trim(item), token)) {
                return true;
            }
            unparsed.remove_prefix(std::min(unparsed.size(), item.size() + 1));
        }
    }
    return false;
}

bool is_hop_by_hop(std::string_view name, const header_list& headers)
{
    constexpr std::array<std::string_view, 10> hop_by_hop_names{"connection",
                                                                "keep-alive",
                                                                "proxy-connection",
                                                                "proxy-authenticate",
                                                                "proxy-authorization",
                                                                "te",
                                                                "trailer",
                                                                "transfer-encoding",
                                                                "upgrade",
                                                                "content-length"};
    return std::any_of(
               hop_by_hop_names.begin(), hop_by_hop_names.end(),
               [name](std::string_view item) { return equals_ignoring_case(item, name); }) ||
           header_contains_token(headers, "connection", name);
}

struct body_decoder::chunk_state {
    phr_chunked_decoder native{};
};

body_decoder::body_decoder(const body_framing& framing) : framing_(framing)
{
    if (const auto* length = std::get_if<length_framing>(&framing)) {
        remaining_ = length->length;
        state_ = remaining_ == 0 ? state::complete : state::reading;
    } else if (std::holds_alternative<chunked_framing>(framing)) {
        chunks_ = std::make_unique<chunk_state>();
        chunks_->native.consume_trailer = 1;
    }
}

body_decoder::~body_decoder() = default;
body_decoder::body_decoder(body_decoder&&) noexcept = default;
body_decoder& body_decoder::operator=(body_decoder&&) noexcept = default;

std::size_t body_decoder::feed(std::string_view bytes, std::string& content)
{
    if (state_ != state::reading || bytes.empty()) {
        return 0;
    }
    if (chunks_) {
        // Decoding takes as much room as the bytes do, of which little may be content.
        constexpr std::size_t slice = 8'192;
        std::size_t decoded = 0;
        while (state_ == state::reading && decoded < bytes.size()) {
            decoded += feed_chunked(bytes.substr(decoded, slice), content);
        }
        return decoded;
    }
    if (std::holds_alternative<close_framing>(framing_)) {
        content.append(bytes);
        return bytes.size();
    }
    const auto decoded =
        static_cast<std::size_t>(std::min<std::uint64_t>(remaining_, bytes.size()));
    content.append(bytes.substr(0, decoded));
    remaining_ -= decoded;
    if (remaining_ == 0) {
        state_ = state::complete;
    }
    return decoded;
}

std::size_t body_decoder::feed_chunked(std::string_view bytes, std::string& content)
{
    // Decoded in place, at the end of the content.
    const std::size_t begin = content.size();
    content.append(bytes);
    std::size_t size = bytes.size();
    const ssize_t undecoded = phr_decode_chunked(&chunks_->native, content.data() + begin, &size);
    if (undecoded == parser_malformed) {
        content.resize(begin);
        state_ = state::malformed;
        return 0;
    }
    content.resize(begin + size);
    if (undecoded == parser_incomplete) {
        return bytes.size();
    }
    state_ = state::complete;
    return bytes.size() - static_cast<std::size_t>(undecoded);
}

void body_decoder::finish()
{
    if (state_ == state::reading && std::holds_alternative<close_framing>(framing_)) {
        state_ = state::complete;
    }
}

} // namespace dotterelport::net
