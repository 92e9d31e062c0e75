#include <cstdlib>
#include <iostream>

#include "dotterelport/request/replay_buffer.hpp"

/// Keeps a stream so that a reader that lost its connection goes on where it stopped.
int main()
{
    using namespace dotterelport;
    constexpr std::size_t part_bytes = 1'024;
    const request_key key{"depot", "k1"};
    request::replay_buffer buffer;
    buffer.open(key);
    buffer.append(key, "first");
    buffer.append(key, "second");

    const auto before = buffer.read(key, 0, part_bytes);
    std::cout << "before the loss:\n" << before.lines;
    buffer.append(key, "third");
    buffer.finish(key, "end");
    const auto after = buffer.read(key, before.next, part_bytes);
    std::cout << "after joining again at " << before.next << ":\n" << after.lines;

    const bool is_whole = before.lines + after.lines == "first\nsecond\nthird\nend\n" &&
                          after.state == request::replay_part::status::ended;
    return is_whole ? EXIT_SUCCESS : EXIT_FAILURE;
}
