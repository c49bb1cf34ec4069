// The entry VMs that can run a scattered query, or a part of it, for this VM. A
// relay VM in the servers' data centre merges the answers of the shards there,
// so that one small answer crosses the costly link between data centres instead
// of one per shard.
#ifndef MIMOSACROFT_GATEWAY_RELAY_SET_HPP
#define MIMOSACROFT_GATEWAY_RELAY_SET_HPP

#include "mimosacroft/base/time.hpp"
#include "mimosacroft/gateway/vm_directory.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mimosacroft::gateway
{

class relay_set
{
public:
    /// Replaces the known VMs. VMs that remain keep their observed state.
    void set_vms(const std::vector<vm_entry>& vms);

    /// Returns the VM of a data centre that has the fewest open exchanges with
    /// this VM and has not failed recently; null if there is none.
    const vm_entry* choose(const std::string& data_centre,
                           base::instant now) const;

    /// Returns the VMs of a data centre.
    std::vector<const vm_entry*> vms_of(const std::string& data_centre) const;
    /// Returns the names of the VMs' data centres.
    std::set<std::string> data_centres() const;

    void on_sent(const std::string& vm, base::instant now);
    void on_reply(const std::string& vm, base::instant now);
    /// The VM did not answer, or the connection broke.
    void on_failure(const std::string& vm, base::instant now);
    /// The VM declined because it is stopping or has another configuration.
    void on_declined(const std::string& vm, base::instant now);
    /// This VM canceled the exchange. If the relay had been silent for too
    /// long, this counts as a failure.
    void on_canceled(const std::string& vm, base::instant sent_at,
                     base::instant now);

private:
    struct relay
    {
        vm_entry entry;
        std::size_t in_flight = 0;
        base::instant waiting_since{}; ///< start of the wait for an answer
        base::instant avoid_until{};
    };

    bool is_usable(const relay& it, base::instant now) const;
    void finish(const std::string& vm, base::instant now,
                base::duration avoid_for);

    std::map<std::string, relay> relays_; ///< by VM name
};

} // namespace mimosacroft::gateway

#endif
