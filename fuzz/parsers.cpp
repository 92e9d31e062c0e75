/// libFuzzer target for everything that reads bytes from other processes or files. A parser must
/// either accept its input or throw dotterelport::error; what it accepts must survive formatting
/// and parsing again.

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

void require(bool holds)
{
    if (!holds) {
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
    std::string whole;
    std::string bytewise;
    net::sse_parser at_once([&](std::string_view data) { whole.append(data).append("|"); });
    net::sse_parser by_byte([&](std::string_view data) { bytewise.append(data).append("|"); });
    at_once.feed(text);
    for (const char byte : text) {
        by_byte.feed(std::string_view(&byte, 1));
    }
    require(whole == bytewise);
}

void code_percent(std::string_view text)
{
    require(net::percent_decode(net::percent_encode(text)) == text);
    net::percent_decode(text);
}

constexpr std::array parsers{
    parse_configuration, parse_message_frame, parse_message_admission, parse_message_outcome,
    parse_ledger,        parse_node,          parse_addresses,         parse_incarnations,
    split_events,        code_percent,
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
        // The input was refused as it should be.
    }
    return 0;
}
