/// libFuzzer target for the parsers of bytes from other processes or files. A parser must either
/// accept its input or throw dotterelport::error. Accepted input must yield the same value after
/// it is formatted and parsed again.

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "dotterelport/base/error.hpp"
#include "dotterelport/base/identifiers.hpp"
#include "dotterelport/base/settings.hpp"
#include "dotterelport/budget/bill.hpp"
#include "dotterelport/budget/ledger_shard.hpp"
#include "dotterelport/config/document.hpp"
#include "dotterelport/membership/node_record.hpp"
#include "dotterelport/net/endpoint.hpp"
#include "dotterelport/net/http.hpp"
#include "dotterelport/net/line_splitter.hpp"
#include "dotterelport/request/messages.hpp"

namespace {

using namespace dotterelport;

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

void parse_configuration(std::string_view text)
{
    const auto first = to_json(config::parse_document(text, "fuzz"));
    require(to_json(config::parse_document(first.dump(), "fuzz")) == first);
}

void parse_message_frame(std::string_view text)
{
    const auto line = request::format_frame(request::parse_frame(text));
    require(request::format_frame(request::parse_frame(line)) == line);
}

void parse_message_admission(std::string_view text)
{
    const auto first = to_json(request::parse_admission(parse_json(text, "fuzz")));
    require(to_json(request::parse_admission(first)) == first);
}

void parse_message_outcome(std::string_view text)
{
    const auto first = to_json(request::parse_outcome(parse_json(text, "fuzz")));
    require(to_json(request::parse_outcome(first)) == first);
}

void parse_ledger(std::string_view text)
{
    const auto first = to_json(budget::parse_ledger_shard(text));
    require(to_json(budget::parse_ledger_shard(first.dump())) == first);
}

void parse_node(std::string_view text)
{
    const auto first = to_json(membership::parse_node_record(std::string(text)));
    require(to_json(membership::parse_node_record(first.dump())) == first);
}

void parse_addresses(std::string_view text)
{
    require(net::parse_endpoint(to_string(net::parse_endpoint(text))) == net::parse_endpoint(text));
}

void parse_incarnations(std::string_view text)
{
    const auto value = parse_incarnation(text);
    require(parse_incarnation(to_string(value)) == value);
}

void split_events(std::string_view text)
{
    std::string from_whole;
    std::string from_bytes;
    net::sse_parser whole_parser(
        [&](std::string_view data) { from_whole.append(data).append("|"); });
    net::sse_parser byte_parser(
        [&](std::string_view data) { from_bytes.append(data).append("|"); });
    whole_parser.feed(text);
    for (const char byte : text) {
        byte_parser.feed(std::string_view(&byte, 1));
    }
    require(from_whole == from_bytes);
}

void round_trip_percent(std::string_view text)
{
    require(net::percent_decode(net::percent_encode(text)) == text);
    net::percent_decode(text);
}

constexpr std::array parsers{
    parse_configuration, parse_message_frame, parse_message_admission, parse_message_outcome,
    parse_ledger,        parse_node,          parse_addresses,         parse_incarnations,
    split_events,        round_trip_percent,
};

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer fixes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::string_view text(reinterpret_cast<const char*>(data) + 1, size - 1);
    try {
        parsers[data[0] % parsers.size()](text);
    } catch (const dotterelport::error&) {
        // Parsers reject invalid input with this exception.
    }
    return 0;
}
