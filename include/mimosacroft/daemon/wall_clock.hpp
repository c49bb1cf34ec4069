// The wall clock, which the core is told.
#ifndef MIMOSACROFT_DAEMON_WALL_CLOCK_HPP
#define MIMOSACROFT_DAEMON_WALL_CLOCK_HPP

#include "mimosacroft/base/time.hpp"

#include <cstdint>

namespace mimosacroft::daemon
{

inline std::int64_t seconds_since_1970()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<base::seconds>(now).count();
}

} // namespace mimosacroft::daemon

#endif
