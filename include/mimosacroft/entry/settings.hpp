// What an entry VM on the platform is told at its start.
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
    std::string vm;
    std::string data_centre;
    std::map<std::string, std::string> regions; ///< of all data centres
    std::string caller_address;                 ///< ip:port, as all below
    std::string ready_address;
    std::string peer_address;       ///< empty: other VMs can't ask this one
    std::string metrics_address;    ///< empty: no figures are given
    std::vector<std::string> seeds; ///< peer addresses; may be stale or down
    std::string store_address;
    /// All VMs of the fleet start now, for the first time.
    bool is_first_start = false;

    /// What repeats may add at each service; the slack is for all VMs together.
    gateway::arrival_budget_options extra;
    gateway::mechanisms use;
    base::milliseconds stop_grace{5'000}; ///< from a signal to a forced end

    bool operator==(const settings&) const = default;
};

} // namespace mimosacroft::entry

#endif
