// The entry VMs that may answer a scattered query in place of this one: a VM
// beside the servers merges there, and one small answer crosses the costly link
// in place of one for each shard.
#ifndef MIMOSACROFT_GATEWAY_RELAY_SET_HPP
#define MIMOSACROFT_GATEWAY_RELAY_SET_HPP

#include "mimosacroft/base/time.hpp"
#include "mimosacroft/gateway/vm_directory.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace mimosacroft::gateway
{

class relay_set
{
public:
    /// Takes the VMs that are known now; what was observed of those that stay
    /// is kept.
    void set_vms(const std::vector<vm_entry>& vms);

    /// The VM of a data centre that has the least to do for this one and has
    /// not failed lately; null if there is none.
    const vm_entry* choose(const std::string& data_centre,
                           base::instant now) const;

    void on_sent(const std::string& vm, base::instant now);
    void on_reply(const std::string& vm, base::instant now);
    /// The VM did not answer, or broke off.
    void on_failure(const std::string& vm, base::instant now);
    /// The VM declined: it stops, or has another configuration.
    void on_declined(const std::string& vm, base::instant now);
    /// The exchange was ended by us. One that was silent for long counts as a
    /// failure.
    void on_dropped(const std::string& vm, base::instant sent_at,
                    base::instant now);

private:
    struct relay
    {
        vm_entry entry;
        std::size_t in_flight = 0;
        base::instant owed_since{}; ///< since then an answer is owed
        base::instant avoid_until{};
    };

    bool is_usable(const relay& it, base::instant now) const;
    void end(const std::string& vm, base::instant now,
             base::duration avoid_for);

    std::map<std::string, relay> relays_; ///< by the VM's name
};

} // namespace mimosacroft::gateway

#endif
