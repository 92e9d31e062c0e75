#ifndef DOTTERELPORT_AGENT_TEST_READER_HPP
#define DOTTERELPORT_AGENT_TEST_READER_HPP

#include <memory>
#include <string>
#include <vector>

#include "dotterelport/net/http_client.hpp"
#include "dotterelport/net/line_splitter.hpp"
#include "dotterelport/request/messages.hpp"

/// Reads the frames of answers, for the tests of this module.
namespace dotterelport::agent {

/// Frames that one connection to the agent received.
struct reader {
    std::vector<request::frame> frames;
    net::exchange_id exchange = 0;
    bool ended = false;

    template<typename Frame> [[nodiscard]] const Frame* last() const
    {
        return frames.empty() ? nullptr : std::get_if<Frame>(&frames.back());
    }

    /// Text of the chunks; empty if their sequence numbers are not consecutive from the first one.
    [[nodiscard]] std::string text(std::uint64_t first_sequence = 0) const
    {
        std::string result;
        for (const request::frame& received : frames) {
            const auto* chunk = std::get_if<request::chunk_frame>(&received);
            if (chunk == nullptr) {
                continue;
            }
            if (chunk->sequence != first_sequence++) {
                return "";
            }
            for (const json& choice : chunk->data["choices"]) {
                result += choice["delta"].value("content", "");
            }
        }
        return result;
    }
};

/// @brief Sends an admission and collects the frames of the answer.
inline std::shared_ptr<reader> send_admission(net::http_client& client,
                                              const net::endpoint& address,
                                              const request::admission& message)
{
    auto result = std::make_shared<reader>();
    auto lines = std::make_shared<net::line_splitter>(
        [result](std::string_view line) { result->frames.push_back(request::parse_frame(line)); });
    result->exchange = client.start(
        {.to = address, .method = "POST", .path = "/v1/requests", .body = to_json(message).dump()},
        {.on_head = nullptr,
         .on_data = [lines](std::string_view data) { lines->feed(data); },
         .on_complete = [result] { result->ended = true; },
         .on_failure = [result](auto, const auto&) { result->ended = true; }});
    return result;
}

} // namespace dotterelport::agent

#endif
