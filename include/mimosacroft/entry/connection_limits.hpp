// How an entry VM shares out the connections that it may have.
#ifndef MIMOSACROFT_ENTRY_CONNECTION_LIMITS_HPP
#define MIMOSACROFT_ENTRY_CONNECTION_LIMITS_HPP

#include "mimosacroft/http/process_limits.hpp"

#include <cstddef>

namespace mimosacroft::entry
{

/// The sum of the first four is at most process_limits::accepted, and of the
/// next two at most process_limits::made, as long as these are not tiny.
struct connection_limits
{
    std::size_t callers = 0;
    std::size_t peers = 0; ///< other VMs that connect to this one
    std::size_t readiness = 0;
    std::size_t metrics = 0;
    std::size_t servers = 0;
    std::size_t relays = 0; ///< other VMs that this one connects to
    /// Sends to servers for requests that are admitted. Hedges and retries come
    /// on top.
    std::size_t admitted_sends = 0;
};

connection_limits share_out(const http::process_limits& limits);

} // namespace mimosacroft::entry

#endif
