// The settings of an entry VM on the platform.
#ifndef MIMOSACROFT_ENTRY_SETTINGS_HPP
#define MIMOSACROFT_ENTRY_SETTINGS_HPP

#include "mimosacroft/base/time.hpp"
#include "mimosacroft/gateway/arrival_budget.hpp"
#include "mimosacroft/gateway/mechanisms.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace mimosacroft::entry
{

struct settings
{
    std::string vm; ///< name of this VM
    std::string data_centre;
    std::map<std::string, std::string> regions; ///< of each data centre
    std::string caller_address; ///< ip:port, like all addresses below
    std::string ready_address;  ///< for the readiness probe
    std::string peer_address; ///< for other VMs; empty: they can't ask this one
    std::string metrics_address; ///< for GET /metrics; empty: not served
    /// Peer addresses of VMs, from the settings file; they may be stale or
    /// down.
    std::vector<std::string> seeds;
    std::string store_address;
    /// The whole fleet starts for the first time, all VMs at once.
    bool is_fleet_bootstrap = false;

    /// Limit on the extra arrivals that hedges and retries cause at each
    /// service. The slack is shared by all VMs.
    gateway::arrival_budget_options extra;
    gateway::mechanisms use; ///< the mechanisms that are switched on
    /// From the stop signal until the platform kills the process.
    base::milliseconds stop_grace{5'000};
    /// Memory that the process may use; 0 if that is not stated.
    std::size_t memory_bytes = 0;
    /// Descriptors that the process may have for sockets; 0 if that is not
    /// stated.
    std::size_t sockets = 0;

    bool operator==(const settings&) const = default;
};

} // namespace mimosacroft::entry

#endif
