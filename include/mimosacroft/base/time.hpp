// Time as the core sees it: monotonic instants that are passed in.
#ifndef MIMOSACROFT_BASE_TIME_HPP
#define MIMOSACROFT_BASE_TIME_HPP

#include <chrono>

namespace mimosacroft::base
{

using instant = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Stands for "no wake-up needed".
inline constexpr instant never = instant::max();

/// Whole milliseconds of a duration, rounded down.
inline long long to_ms(duration d)
{
    return std::chrono::duration_cast<milliseconds>(d).count();
}

inline double to_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace mimosacroft::base

#endif
