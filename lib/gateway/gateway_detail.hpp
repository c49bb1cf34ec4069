// Constants that the source files of the gateway share.
#ifndef MIMOSACROFT_LIB_GATEWAY_GATEWAY_DETAIL_HPP
#define MIMOSACROFT_LIB_GATEWAY_GATEWAY_DETAIL_HPP

#include "mimosacroft/base/time.hpp"

#include <cstddef>

namespace mimosacroft::gateway
{

/// An exchange is cancelled this long after the query's final deadline. Servers
/// and relays stop at the deadline and report it; one that has not done so by
/// then counts as silent.
inline constexpr base::milliseconds cancel_margin{250};

/// Delay until the next try if no server or no budget is left for another send.
inline constexpr base::milliseconds hedge_retry_interval{25};

/// With fewer samples than this, a measured latency is not used.
inline constexpr std::size_t min_latency_samples = 20;

} // namespace mimosacroft::gateway

#endif
