#include <cstdlib>
#include <iostream>

#include "dotterelport/request/replay_buffer.hpp"

/// Buffers a stream so that a client that lost its connection can resume where it stopped.
int main()
{
    using namespace dotterelport;
    constexpr std::size_t max_read_bytes = 1'024;
    const request_key key{"depot", "k1"};
    request::replay_buffer buffer;
    buffer.open(key);
    buffer.append(key, "first");
    buffer.append(key, "second");

    const auto before = buffer.read(key, 0, max_read_bytes);
    std::cout << "before the connection loss:\n" << before.lines;
    buffer.append(key, "third");
    buffer.finish(key, "end");
    const auto after = buffer.read(key, before.next_position, max_read_bytes);
    std::cout << "after resuming at position " << before.next_position << ":\n" << after.lines;

    const bool is_whole = before.lines + after.lines == "first\nsecond\nthird\nend\n" &&
                          after.state == request::replay_part::status::ended;
    return is_whole ? EXIT_SUCCESS : EXIT_FAILURE;
}
