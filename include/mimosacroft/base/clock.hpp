// The clock, for the parts that do input and output; all others are told the
// time.
#ifndef MIMOSACROFT_BASE_CLOCK_HPP
#define MIMOSACROFT_BASE_CLOCK_HPP

#include "mimosacroft/base/time.hpp"

namespace mimosacroft::base
{

inline instant now()
{
    return std::chrono::steady_clock::now();
}

} // namespace mimosacroft::base

#endif
