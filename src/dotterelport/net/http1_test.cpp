#include <catch2/catch.hpp>

#include "dotterelport/net/http1.hpp"

namespace dotterelport::net {
namespace {

http1_request_head request_with(const header_list& headers)
{
    return {.method = "POST", .target = "/", .minor_version = 1, .headers = headers};
}

TEST_CASE("Contradictory request framing is rejected, as it could hide a second request")
{
    const auto [headers, valid] = GENERATE(table<header_list, bool>({
        {header_list{}, true},
        {header_list{{"Content-Length", "5"}}, true},
        {header_list{{"Content-Length", "5"}, {"content-length", "5"}}, true},
        {header_list{{"Transfer-Encoding", "Chunked"}}, true},
        {header_list{{"Content-Length", "5"}, {"Content-Length", "6"}}, false},
        {header_list{{"Content-Length", "+5"}}, false},
        {header_list{{"Content-Length", "5x"}}, false},
        {header_list{{"Content-Length", ""}}, false},
        {header_list{{"Content-Length", "5"}, {"Transfer-Encoding", "chunked"}}, false},
        {header_list{{"Transfer-Encoding", "gzip, chunked"}}, false},
        {header_list{{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "chunked"}}, false},
    }));
    CHECK(request_framing(request_with(headers)).has_value() == valid);
}

TEST_CASE("The framing of an answer follows from its status and headers")
{
    const auto [status, method, headers, index] =
        GENERATE(table<int, std::string, header_list, std::size_t>({
            {200, "GET", header_list{{"Content-Length", "3"}}, 0},
            {200, "GET", header_list{{"Transfer-Encoding", "chunked"}}, 1},
            {200, "GET", header_list{}, 2},
            {204, "GET", header_list{}, 0},
            {304, "GET", header_list{{"Content-Length", "3"}}, 0},
            {200, "HEAD", header_list{{"Content-Length", "3"}}, 0},
        }));
    const auto framing =
        answer_framing({.status = status, .minor_version = 1, .headers = headers}, method);
    REQUIRE(framing);
    CHECK(framing->index() == index);
}

TEST_CASE("A head is parsed once it is complete")
{
    const std::string text = "GET /a?b HTTP/1.1\r\nHost: x\r\n\r\nrest";
    CHECK(std::holds_alternative<http1_incomplete>(parse_request_head(text.substr(0, 20))));
    const auto result = parse_request_head(text);
    const auto& parsed = std::get<http1_parsed<http1_request_head>>(result);
    CHECK(parsed.head.target == "/a?b");
    CHECK(text.substr(parsed.size) == "rest");
}

TEST_CASE("Bytes that are not a valid head are malformed")
{
    const std::string text =
        GENERATE(as<std::string>(), "\x01\x02 / HTTP/1.1\r\n\r\n",
                 "GET / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n", "GET / HTTP/1.1\r\nA b: c\r\n\r\n");
    CHECK(std::holds_alternative<http1_malformed>(parse_request_head(text)));
    CHECK(std::holds_alternative<http1_malformed>(parse_answer_head("garbage \r\n\r\n")));
}

TEST_CASE("A chunked body is decoded however its bytes are split")
{
    const std::string text = "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\nNEXT";
    for (std::size_t step = 1; step < text.size(); ++step) {
        body_decoder decoder(chunked_framing{});
        std::string content;
        std::size_t at = 0;
        while (at < text.size() && decoder.progress() == body_decoder::state::reading) {
            at += decoder.feed(std::string_view(text).substr(at, step), content);
        }
        CHECK(decoder.progress() == body_decoder::state::complete);
        CHECK(content == "hello world");
        CHECK(text.substr(at) == "NEXT");
    }
}

TEST_CASE("A chunked body with an invalid chunk size is malformed")
{
    body_decoder decoder(chunked_framing{});
    std::string content;
    decoder.feed("zz\r\n", content);
    CHECK(decoder.progress() == body_decoder::state::malformed);
}

TEST_CASE("Only a body without a length is completed by the end of the connection")
{
    body_decoder with_length(length_framing{5});
    body_decoder without(close_framing{});
    std::string content;
    with_length.feed("abc", content);
    without.feed("abc", content);
    with_length.finish();
    without.finish();
    CHECK(with_length.progress() == body_decoder::state::reading);
    CHECK(without.progress() == body_decoder::state::complete);
}

TEST_CASE("Hop-by-hop headers are recognised, also those that Connection lists")
{
    const header_list headers{{"Connection", "close, X-Private"}};
    CHECK(is_hop_by_hop("Keep-Alive", headers));
    CHECK(is_hop_by_hop("x-private", headers));
    CHECK_FALSE(is_hop_by_hop("X-Other", headers));
}

} // namespace
} // namespace dotterelport::net
