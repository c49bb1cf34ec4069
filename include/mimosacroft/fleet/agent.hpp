// The fleet's side of one VM: follows the platform's configuration and list of
// VMs, exchanges both with peers, and says which upstreams this VM may use.
//
// The first VMs of a data centre watch the platform for the others and push
// what they learn along the tree of view_lease; digests between random peers
// mend what pushes lost. A VM whose view is not confirmed for a while watches
// for itself.
#ifndef MIMOSACROFT_FLEET_AGENT_HPP
#define MIMOSACROFT_FLEET_AGENT_HPP

#include "mimosacroft/core/effects.hpp"
#include "mimosacroft/fleet/config_store.hpp"
#include "mimosacroft/fleet/leaving_set.hpp"
#include "mimosacroft/fleet/member_table.hpp"
#include "mimosacroft/fleet/ownership.hpp"
#include "mimosacroft/fleet/platform_client.hpp"
#include "mimosacroft/fleet/view.hpp"
#include "mimosacroft/fleet/view_lease.hpp"
#include "mimosacroft/fleet/watch_cursor.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mimosacroft::fleet
{

struct agent_options
{
    std::string vm;
    std::string data_centre;
    std::uint64_t incarnation = 0;
    std::string platform_address; ///< ip:port
    std::string peer_address;     ///< ip:port of this VM
    /// VMs to ask while the platform's list is not known.
    std::vector<wire::view_entry> seeds;
    ownership_options ownership;
    base::milliseconds gossip_period{1000};
    base::milliseconds view_period{500};
    base::milliseconds watch_wait{5000};
    base::milliseconds platform_timeout{1000};
    base::milliseconds platform_retry{500};
    /// A VM watches for itself when its view was not confirmed for this long.
    base::milliseconds watcher_silence{4000};
};

class agent
{
public:
    agent(agent_options options, std::uint64_t seed);

    void on_tick(base::instant now, core::effects& out);
    base::instant next_wakeup() const;

    /// Takes a message of the fleet part; false if it is of another part.
    bool on_message(const std::string& from, std::uint64_t incarnation,
                    const wire::message& msg, base::instant now,
                    core::effects& out);

    void on_digest(const std::string& from, std::uint64_t incarnation,
                   const wire::digest& msg, base::instant now,
                   core::effects& out);
    void on_config(const wire::config_push& msg, base::instant now,
                   core::effects& out, const std::string& from = {});
    void on_view(const wire::view_push& msg, base::instant now,
                 core::effects& out, const std::string& from = {});
    void on_http_reply(std::uint64_t id,
                       const base::result<wire::http_reply>& reply,
                       base::instant now, core::effects& out);

    const agent_options& options() const { return options_; }
    const config_store& store() const { return store_; }
    const model::catalog& catalog() const { return store_.catalog(); }
    const fleet::view& view() const { return view_; }
    const fleet::ownership& ownership() const { return ownership_; }
    const view_lease& lease() const { return lease_; }
    const platform_client& platform() const { return platform_; }
    const member_table& members() const { return members_; }
    const std::map<std::string, peer_knowledge>& peers() const
    {
        return members_.all();
    }

    /// Where a VM is reached, also one that left the list or was never in it;
    /// empty if not known.
    std::string address_of(const std::string& vm) const;
    /// Sends a message there; drops it if that is not known.
    void send(const std::string& vm, wire::message msg,
              core::effects& out) const;

    /// Whether forwards should go to another VM if there is one.
    bool is_suspected(const std::string& vm, base::instant now) const
    {
        return members_.is_suspected(vm, now);
    }

    /// Whether a server may get new work.
    bool is_leaving(const std::string& server,
                    const std::string& incarnation) const;
    /// The same for the incarnation of the server that was heard of last.
    bool is_leaving(const std::string& server) const;
    /// Notes the incarnation that a server stated in reply to a call that was
    /// sent at `asked`.
    void note_incarnation(const std::string& server,
                          const std::string& incarnation, base::instant asked);
    /// Learns in the same way that the server takes no new work. Peers are told
    /// with the next tick, which is due at once.
    void mark_leaving(const std::string& server, const std::string& incarnation,
                      base::instant asked);

    /// Learns that a peer's process stops and takes no new forwards.
    void note_draining(const std::string& vm, std::uint64_t incarnation);
    /// Whether the process of a VM that was heard last is stopping.
    bool is_draining(const std::string& vm) const
    {
        return draining_.contains(vm);
    }

    /// Asks the VMs that are not known to hold a version of the configuration,
    /// so that peers() tells soon which of them do.
    void ask_behind(std::uint64_t version, base::instant now,
                    core::effects& out);

    /// Whether another part may call the platform now, by this VM's budget.
    bool take_spare_call(base::instant now)
    {
        return platform_.take_spare_call(now);
    }

    /// When the platform answered last; never if it has not.
    base::instant platform_heard() const { return platform_.heard(); }
    bool platform_ok() const { return platform_.ok(); }

    /// Whether this VM calls the platform for its data centre or itself.
    bool watches(base::instant now) const;

private:
    void forget_ended_drain(const std::string& vm, std::uint64_t incarnation);

    enum class request_kind
    {
        watch,
        view
    };

    struct open_call
    {
        request_kind kind = request_kind::watch;
        base::instant asked;
        std::uint64_t after = 0; ///< of a watch
    };

    // Calls to the platform.
    void call_platform(request_kind kind, base::instant now,
                       core::effects& out);
    void take_changes(const open_call& call, const std::string& body,
                      base::instant now, core::effects& out);
    void take_vms(const open_call& call, const std::string& body,
                  base::instant now, core::effects& out);
    bool take_cursor(const open_call& call, std::uint64_t version,
                     core::effects& out);

    // Configuration and views.
    bool apply(const wire::config_entry& entry, bool by_platform,
               core::effects& out);
    bool take_list(const wire::view_push& list, base::instant now,
                   core::effects& out);
    bool take_older_list(const wire::view_push& list, base::instant now,
                         core::effects& out);
    void take_view(fleet::view next, base::instant now, core::effects& out);
    void push_config(const wire::config_push& news, const std::string& from,
                     core::effects& out);
    void push_view(const std::string& from, core::effects& out);
    wire::view_push view_for(std::uint64_t version) const;
    bool is_foreign(const std::string& vm) const;
    void sync_ownership(base::instant now);

    // Gossip.
    void gossip(base::instant now, core::effects& out);
    std::vector<std::string> gossip_targets();
    std::size_t rows_in_digest() const;
    wire::digest make_digest(std::uint64_t sequence, bool ack,
                             base::instant now,
                             const std::set<std::string>& known = {}) const;
    void answer_digest(const std::string& from, const wire::digest& msg,
                       base::instant now, core::effects& out);
    void mend_peer(const std::string& from, const wire::digest& msg,
                   base::instant now, core::effects& out);
    void probe(const std::string& vm, base::instant now, core::effects& out);
    void tell_askers(const std::string& vm, base::instant now,
                     core::effects& out);
    void take_marks(const std::vector<wire::leaving_mark>& marks,
                    const std::string& from, base::instant now,
                    core::effects& out);
    void push_marks(core::effects& out);

    // Sending.
    std::vector<std::string> neighbours() const;
    bool enters_here(const std::string& from) const;
    std::vector<std::string> push_targets(const std::string& from) const;
    std::vector<std::string> one_of_each_other_data_centre(std::size_t most);
    void send_lease(std::vector<view_lease::outgoing>& all, core::effects& out);

    agent_options options_;
    std::mt19937_64 random_;
    config_store store_;
    fleet::view view_;
    std::deque<fleet::view> older_views_; ///< newest last
    view_lease lease_;
    fleet::ownership ownership_;
    std::map<std::string, std::uint64_t> draining_; ///< VM to incarnation
    member_table members_;
    leaving_set leaving_;
    /// Who doubts a VM that was probed for them in this gossip period.
    std::map<std::string, std::set<std::string>> askers_;
    std::vector<wire::leaving_mark> unsent_marks_;
    platform_client platform_;
    watch_cursor cursor_;
    std::map<std::uint64_t, open_call> calls_; ///< at most one of each kind
    /// Addresses of VMs that are in no list, by what they said themselves.
    std::map<std::string, std::string> strangers_;
    unsigned older_lists_ = 0; ///< lists in a row that were older than view_
    /// When the platform's list was read last; never if a call failed since.
    base::instant list_read_ = base::never;
    std::uint64_t sequence_ = 0;
    std::uint64_t heartbeat_ = 0;
    base::instant latest_;                ///< time of the latest input
    base::instant started_ = base::never; ///< time of the first tick
    base::instant next_watch_;
    base::instant next_view_;
    base::instant next_gossip_;
    base::instant next_repair_; ///< no full exchange with a peer before
    base::instant next_ask_;    ///< no ask_behind() before
    std::size_t asked_ = 0;     ///< where the next ask_behind() goes on
};

} // namespace mimosacroft::fleet

#endif
