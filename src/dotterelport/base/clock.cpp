#include "dotterelport/base/clock.hpp"

namespace dotterelport {
namespace {

const std::chrono::steady_clock::time_point process_start = std::chrono::steady_clock::now();

} // namespace

milliseconds steady_now()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() -
                                                    process_start);
}

milliseconds wall_clock_now()
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace dotterelport
