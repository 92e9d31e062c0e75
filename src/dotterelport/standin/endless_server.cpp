#include "endless_server.hpp"

#include <array>
#include <cstring>
#include <fstream>
#include <string_view>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "dotterelport/base/error.hpp"

namespace dotterelport::standin {
namespace {

constexpr int poll_ms = 50;

std::size_t status_kilobytes(std::string_view field)
{
    std::ifstream status("/proc/self/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with(field)) {
            return std::stoul(line.substr(field.size()));
        }
    }
    throw error("no " + std::string(field) + " in /proc/self/status");
}

bool is_ready(int descriptor, short events)
{
    pollfd entry{.fd = descriptor, .events = events, .revents = 0};
    return ::poll(&entry, 1, poll_ms) > 0;
}

} // namespace

std::size_t peak_memory()
{
    return status_kilobytes("VmHWM:") << 10U;
}

std::size_t reset_peak_memory()
{
    std::ofstream("/proc/self/clear_refs") << "5";
    return status_kilobytes("VmRSS:") << 10U;
}

endless_server::endless_server(std::string beginning, std::string repeated)
    : beginning_(std::move(beginning)), repeated_(std::move(repeated)),
      listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(local);
    constexpr int backlog = 256;
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&local), size) != 0 ||
        ::listen(listener_, backlog) != 0 ||
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&local), &size) != 0) {
        const std::string message = std::strerror(errno);
        ::close(listener_);
        throw error("cannot listen: " + message);
    }
    address_ = {"127.0.0.1", ntohs(local.sin_port)};
    acceptor_ = std::thread([this] { accept_all(); });
}

endless_server::~endless_server()
{
    stopping_ = true;
    acceptor_.join();
    for (auto& connection : connections_) {
        connection.join();
    }
    ::close(listener_);
}

void endless_server::accept_all()
{
    while (!stopping_) {
        if (!is_ready(listener_, POLLIN)) {
            continue;
        }
        const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor >= 0) {
            ++accepted_;
            connections_.emplace_back([this, descriptor] { serve(descriptor); });
        }
    }
}

void endless_server::serve(int descriptor)
{
    std::array<char, 4096> request{};
    while (!stopping_ && !is_ready(descriptor, POLLIN)) {
    }
    std::string text = beginning_;
    bool open = ::recv(descriptor, request.data(), request.size(), 0) > 0;
    std::string block;
    constexpr std::size_t block_bytes = 256U << 10U;
    while (block.size() < block_bytes) {
        block += repeated_;
    }
    while (open && !stopping_) {
        if (!is_ready(descriptor, POLLOUT)) {
            continue;
        }
        const ssize_t sent =
            ::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && errno != EAGAIN) {
            open = false;
        } else if (sent > 0) {
            sent_bytes_ += static_cast<std::uint64_t>(sent);
            text.erase(0, static_cast<std::size_t>(sent));
            text = text.empty() ? block : text;
        }
    }
    closed_ += open ? 0 : 1;
    ::close(descriptor);
}

} // namespace dotterelport::standin
