#ifndef DOTTERELPORT_ROUTER_ANSWER_HPP
#define DOTTERELPORT_ROUTER_ANSWER_HPP

#include <memory>
#include <string>
#include <variant>

#include "caller_error.hpp"
#include "dotterelport/net/http_server.hpp"
#include "job.hpp"

namespace dotterelport::router {

/// What all forms of an answer share.
struct answer_context {
    std::shared_ptr<net::http_response> response;
    /// Headers of every answer to this request.
    net::header_list headers;
    /// Chat only: id, model and time that every chunk of the answer carries.
    std::string id;
    std::string model;
    std::int64_t created_s = 0;
    bool include_usage = false;
};

/// Passes chunks on as server-sent events while they arrive.
struct chat_stream_answer {
    answer_context context;
};

/// Collects the chunks of a chat completion into one object.
struct chat_whole_answer {
    answer_context context;
    json message = json::object();
    json finish_reason;
};

/// Passes on the one answer of an application.
struct call_answer {
    answer_context context;
    json data;
};

using answer = std::variant<chat_stream_answer, chat_whole_answer, call_answer>;

/// @brief Makes the answer that a request asks for.
/// @param now_s seconds since the epoch, for the field "created"
answer make_answer(const job& request, std::shared_ptr<net::http_response> response,
                   std::int64_t now_s);

/// @brief Takes the data of the next chunk.
void add_chunk(answer& target, const json& data);

/// @brief Ends the answer.
void end_answer(answer& target, const request::end_frame& end);

/// @brief Ends the answer with an error; as an event if a stream has already begun.
void fail_answer(answer& target, const caller_error& failure);

/// @brief Forgets what was collected, before another attempt starts from the beginning.
void reset_answer(answer& target);

/// @brief Tells whether a part of the answer has gone to the caller.
bool has_relayed(const answer& target);

/// @brief Sends an error answer.
void send_error(net::http_response& response, const caller_error& failure,
                const net::header_list& headers = {});

} // namespace dotterelport::router

#endif
