#include "dotterelport/net/stream_server.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>
#include <vector>

#include "dotterelport/net/tcp_connection.hpp"
#include "stream_connection.hpp"

namespace dotterelport::net {

stream_exchange::stream_exchange(http1_request_head head, std::string body, milliseconds received)
    : head_(std::move(head)), body_(std::move(body)), received_(received)
{}

std::string stream_exchange::format_head(int status, const header_list& headers,
                                         std::string_view framing) const
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text.append(reason_phrase(status)).append("\r\n");
    for (const auto& [name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text.append(framing);
    text.append(connection_->will_close() ? "Connection: close\r\n\r\n" : "\r\n");
    return text;
}

void stream_exchange::respond(int status, const header_list& headers, std::string_view body)
{
    if (started_) {
        abort();
        return;
    }
    if (!is_open()) {
        return;
    }
    std::string text =
        format_head(status, headers, "Content-Length: " + std::to_string(body.size()) + "\r\n");
    if (head_.method != "HEAD") {
        text.append(body);
    }
    started_ = true;
    connection_->send(text);
    on_disconnect_ = nullptr;
    connection_->finish_exchange();
}

void stream_exchange::start(int status, const header_list& headers)
{
    if (!is_open() || started_) {
        return;
    }
    chunked_ = head_.minor_version > 0;
    started_ = true;
    if (!chunked_) {
        connection_->begin_unframed_answer();
    }
    connection_->send(
        format_head(status, headers, chunked_ ? "Transfer-Encoding: chunked\r\n" : ""));
}

void stream_exchange::write(std::string_view data)
{
    if (!is_open() || data.empty()) {
        return;
    }
    if (!chunked_) {
        connection_->send(data);
        return;
    }
    constexpr int hexadecimal = 16;
    std::array<char, hexadecimal> digits{};
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), data.size(), hexadecimal).ptr;
    std::string chunk(digits.data(), end);
    chunk.append("\r\n").append(data).append("\r\n");
    connection_->send(chunk);
}

void stream_exchange::finish()
{
    if (!is_open()) {
        return;
    }
    if (chunked_) {
        connection_->send("0\r\n\r\n");
    }
    on_disconnect_ = nullptr;
    connection_->finish_exchange();
}

void stream_exchange::abort()
{
    if (!is_open()) {
        return;
    }
    on_disconnect_ = nullptr;
    connection_->abort();
}

bool stream_exchange::is_abandoned() const
{
    return !is_open() || connection_->is_closed_by_client();
}

std::size_t stream_exchange::unsent() const
{
    return is_open() ? connection_->unsent() : 0;
}

stream_server::stream_server(event_loop& loop, const endpoint& address, const options& settings,
                             handler handle)
    : loop_(loop), options_(settings), handle_(std::move(handle)), budget_(settings.clients)
{
    listener_ = std::make_unique<tcp_listener>(
        loop, address,
        [this](std::unique_ptr<tcp_connection> connection) { accept(std::move(connection)); });
    address_ = listener_->address();
}

stream_server::~stream_server() = default;

void stream_server::set_options(const options& settings)
{
    options_ = settings;
    budget_.set_limits(settings.clients);
}

void stream_server::accept(std::unique_ptr<tcp_connection> connection)
{
    if (!budget_.may_accept(connections_.size()) && !close_one()) {
        report(limit_cause::new_connection);
        connection->write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
                          "Connection: close\r\n\r\n");
        return;
    }
    const std::uint64_t id = ++last_id_;
    connections_.emplace(id, std::make_unique<stream_connection>(*this, id, std::move(connection)));
}

bool stream_server::close_one()
{
    stream_connection* idle = nullptr;
    stream_connection* slow = nullptr;
    for (const auto& [id, connection] : connections_) {
        if (connection->has_exchange()) {
            continue;
        }
        auto*& candidate = connection->is_idle() && !connection->has_unread_bytes() ? idle : slow;
        if (candidate == nullptr || connection->moved() < candidate->moved()) {
            candidate = connection.get();
        }
    }
    if (idle != nullptr) {
        report(limit_cause::idle_connection);
        idle->close();
        return true;
    }
    if (slow != nullptr) {
        slow->give_way(limit_cause::slow_request);
        // The connection would wait for the client to read the refusal.
        slow->close();
        return true;
    }
    return false;
}

bool stream_server::make_room(std::uint64_t id)
{
    while (budget_.is_over(id)) {
        const auto victim = budget_.victim(steady_now());
        if (!victim || *victim == id) {
            return false;
        }
        connections_.at(*victim)->give_way();
        budget_.remove(*victim);
    }
    return true;
}

void stream_server::report(limit_cause cause)
{
    if (on_limit_) {
        on_limit_(cause);
    }
}

void stream_server::stop_listening()
{
    listener_.reset();
}

void stream_server::stop()
{
    // Closing the listening socket resets the connections that wait to be accepted, and closing a
    // connection with unread bytes resets it.
    if (listener_ != nullptr) {
        listener_->accept_pending();
        listener_.reset();
    }
    std::vector<std::uint64_t> idle;
    for (const auto& [id, connection] : connections_) {
        if (connection->is_idle() && !connection->has_unread_bytes()) {
            idle.push_back(id);
        }
    }
    for (const std::uint64_t id : idle) {
        connections_.at(id)->close();
    }
}

std::size_t stream_server::exchange_count() const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(), [](const auto& item) {
            return item.second->has_exchange() || item.second->unsent() > 0;
        }));
}

void stream_server::remove(std::uint64_t id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    const std::shared_ptr<stream_connection> closed = std::move(found->second);
    connections_.erase(found);
    budget_.remove(id);
    loop_.post([closed] {});
}

} // namespace dotterelport::net
