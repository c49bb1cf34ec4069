// How an entry VM shares out the connections that it may have.
#include "mimosacroft/entry/connection_limits.hpp"

#include <algorithm>

namespace mimosacroft::entry
{

namespace
{

// Of the connections that are accepted, in sixteenths. Each of many other VMs
// may keep a few connections to this one.
constexpr std::size_t callers_share = 8;
constexpr std::size_t peers_share = 6;
constexpr std::size_t probes_share = 1;
// Of the connections that are made, in sixteenths.
constexpr std::size_t servers_share = 12;
constexpr std::size_t relays_share = 4;
// Of the connections to servers, in sixteenths.
constexpr std::size_t admitted_share = 14;
constexpr std::size_t min_connections = 4;

std::size_t part_of(std::size_t all, std::size_t sixteenths)
{
    return std::max(all * sixteenths / 16, min_connections);
}

} // namespace

connection_limits share_out(const http::process_limits& limits)
{
    connection_limits out;
    out.callers = part_of(limits.accepted, callers_share);
    out.peers = part_of(limits.accepted, peers_share);
    out.readiness = part_of(limits.accepted, probes_share);
    out.metrics = part_of(limits.accepted, probes_share);
    out.servers = part_of(limits.made, servers_share);
    out.relays = part_of(limits.made, relays_share);
    out.admitted_sends = part_of(out.servers, admitted_share);
    return out;
}

} // namespace mimosacroft::entry
