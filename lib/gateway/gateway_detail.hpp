// What the parts of the gateway's implementation share.
#ifndef MIMOSACROFT_LIB_GATEWAY_GATEWAY_DETAIL_HPP
#define MIMOSACROFT_LIB_GATEWAY_GATEWAY_DETAIL_HPP

#include "mimosacroft/base/time.hpp"

#include <cstddef>

namespace mimosacroft::gateway
{

/// Whoever was asked stops at its deadline and says so; after this it is
/// silent.
inline constexpr base::milliseconds drop_margin{250};

/// Fewer samples than this say nothing of the usual latency.
inline constexpr std::size_t enough_samples = 20;

} // namespace mimosacroft::gateway

#endif
