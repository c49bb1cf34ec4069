// The faults of a soak: each is started, and undone after a while.
#ifndef MIMOSACROFT_UNITTESTS_SOAK_FAULTS_HPP
#define MIMOSACROFT_UNITTESTS_SOAK_FAULTS_HPP

#include "world.hpp"

#include <random>
#include <string>

namespace mimosacroft::tests
{

/// No fault lasts longer, but for servers that leave, of which nobody is hurt.
inline constexpr base::milliseconds longest_fault{4'000};

/// Starts a fault that is drawn at random; it ends by itself. Says what it is.
std::string start_fault(world& in, std::minstd_rand& random);

} // namespace mimosacroft::tests

#endif
