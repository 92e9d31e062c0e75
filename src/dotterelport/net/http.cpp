#include "dotterelport/net/http.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace dotterelport::net {
namespace {

bool equal_ignoring_case(std::string_view left, std::string_view right)
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(),
        [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

bool is_unreserved(unsigned char character)
{
    constexpr std::string_view marks = "-._~/";
    return std::isalnum(character) != 0 || marks.find(static_cast<char>(character)) != marks.npos;
}

constexpr std::array<std::pair<int, std::string_view>, 22> reasons{{
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {402, "Payment Required"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {410, "Gone"},
    {413, "Payload Too Large"},
    {422, "Unprocessable Entity"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {500, "Internal Server Error"},
    {501, "Not Implemented"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
}};

} // namespace

std::optional<std::string_view> find_header(const header_list& headers, std::string_view name)
{
    for (const auto& [candidate, value] : headers) {
        if (equal_ignoring_case(candidate, name)) {
            return value;
        }
    }
    return std::nullopt;
}

std::optional<std::string> http_request::parameter(std::string_view name) const
{
    std::string_view unparsed = query;
    while (!unparsed.empty()) {
        const std::string_view item = unparsed.substr(0, unparsed.find('&'));
        unparsed.remove_prefix(std::min(unparsed.size(), item.size() + 1));
        const auto equals = item.find('=');
        if (percent_decode(item.substr(0, equals)) == name) {
            return equals == std::string_view::npos ? std::string()
                                                    : percent_decode(item.substr(equals + 1));
        }
    }
    return std::nullopt;
}

std::string percent_decode(std::string_view text)
{
    std::string result;
    result.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size()) {
            const char* first = text.data() + i + 1;
            const auto [end, code] = std::from_chars(first, first + 2, value, 16);
            if (code == std::errc{} && end == first + 2) {
                result.push_back(static_cast<char>(value));
                i += 2;
                continue;
            }
        }
        result.push_back(text[i] == '+' ? ' ' : text[i]);
    }
    return result;
}

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    result.reserve(text.size());
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (is_unreserved(byte)) {
            result.push_back(character);
        } else {
            result.push_back('%');
            result.push_back(digits[byte >> 4U]);
            result.push_back(digits[byte & 0xfU]);
        }
    }
    return result;
}

std::string_view reason_phrase(int status)
{
    for (const auto& [code, phrase] : reasons) {
        if (code == status) {
            return phrase;
        }
    }
    return "Unknown";
}

} // namespace dotterelport::net
