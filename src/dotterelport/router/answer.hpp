#ifndef DOTTERELPORT_ROUTER_ANSWER_HPP
#define DOTTERELPORT_ROUTER_ANSWER_HPP

#include <memory>
#include <string>
#include <variant>

#include "caller_error.hpp"
#include "checked_request.hpp"
#include "dotterelport/net/http_server.hpp"

namespace dotterelport::router {

/// Data that all forms of an answer have.
struct answer_context {
    std::shared_ptr<net::http_response> response;
    /// Headers of the answer, whatever its outcome.
    net::header_list headers;
    /// Chat only: id, model and creation time, which every chunk of the answer contains.
    std::string id;
    std::string model;
    std::int64_t created_s = 0;
    bool include_usage = false;
};

/// Forwards chunks as server-sent events as they arrive.
struct chat_stream_answer {
    answer_context context;
};

/// Collects the chunks of a chat completion into one object.
struct chat_completion_answer {
    answer_context context;
    json message = json::object();
    json finish_reason;
};

/// Forwards the single answer of an application service.
struct call_answer {
    answer_context context;
    json data;
};

using answer = std::variant<chat_stream_answer, chat_completion_answer, call_answer>;

/// @brief Makes an answer of the form that the request specifies.
/// @param now_s seconds since the epoch, for the field "created"
answer make_answer(const checked_request& request, std::shared_ptr<net::http_response> response,
                   std::int64_t now_s);

/// @brief Adds the data of the next chunk.
void add_chunk(answer& target, const json& data);

/// @brief Ends the answer.
void end_answer(answer& target, const request::end_frame& end);

/// @brief Ends the answer with an error, sent as an event if the stream has already started.
void fail_answer(answer& target, const caller_error& failure);

/// @brief Discards the collected chunks, before another attempt starts from the beginning.
void reset_answer(answer& target);

/// @brief Number of bytes that an answer keeps, of as many as were received for it.
std::size_t held_bytes(const answer& target, std::size_t received);

/// @brief Returns whether a part of the answer was sent to the caller.
bool has_answer_started(const answer& target);

/// @brief Sends an error answer.
void send_error(net::http_response& response, const caller_error& failure,
                const net::header_list& headers = {});

} // namespace dotterelport::router

#endif
