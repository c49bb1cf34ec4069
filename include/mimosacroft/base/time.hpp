// Time as the core sees it: monotonic instants that are passed in.
#ifndef MIMOSACROFT_BASE_TIME_HPP
#define MIMOSACROFT_BASE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace mimosacroft::base
{

using instant = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Stands for "no wake-up needed".
inline constexpr instant never = instant::max();

/// Whole milliseconds of a duration, rounded down.
inline long long to_ms(duration d)
{
    return std::chrono::duration_cast<milliseconds>(d).count();
}

/// Whole microseconds of a duration, rounded towards zero.
inline std::int64_t to_us(duration d)
{
    return std::chrono::duration_cast<microseconds>(d).count();
}

/// Whole seconds of an age, rounded up: it never gets younger by being passed
/// on.
inline std::uint32_t age_in_seconds(duration d)
{
    return static_cast<std::uint32_t>(
        std::chrono::ceil<std::chrono::seconds>(d).count());
}

inline double to_fractional_us(duration d)
{
    return std::chrono::duration<double, std::micro>(d).count();
}

inline double to_fractional_ms(duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

inline double to_seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace mimosacroft::base

#endif
