// The fleet's side of one VM: follows the platform's configuration and list of
// VMs, exchanges both with peers, and says which upstreams this VM may use.
#ifndef MIMOSACROFT_FLEET_AGENT_HPP
#define MIMOSACROFT_FLEET_AGENT_HPP

#include "mimosacroft/core/effects.hpp"
#include "mimosacroft/fleet/config_store.hpp"
#include "mimosacroft/fleet/ownership.hpp"
#include "mimosacroft/fleet/view.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>

namespace mimosacroft::fleet
{

struct agent_options
{
    std::string vm;
    std::string data_centre;
    std::uint64_t incarnation = 0;
    std::string platform_address; ///< ip:port
    ownership_options ownership;
    base::milliseconds gossip_period{1000};
    base::milliseconds view_period{1000};
    base::milliseconds watch_wait{2000};
    base::milliseconds platform_timeout{1000};
    base::milliseconds platform_retry{500};
};

/// What a VM last heard about another one.
struct peer_knowledge
{
    std::uint64_t incarnation = 0;
    std::uint64_t config_version = 0;
    base::instant heard;
};

class agent
{
public:
    agent(agent_options options, std::uint64_t seed);

    void on_tick(base::instant now, core::effects& out);
    base::instant next_wakeup() const;

    void on_digest(const std::string& from, std::uint64_t incarnation,
                   const wire::digest& msg, base::instant now,
                   core::effects& out);
    void on_config(const wire::config_push& msg, base::instant now,
                   core::effects& out);
    void on_view(const wire::view_push& msg, base::instant now,
                 core::effects& out);
    void on_http_reply(std::uint64_t id,
                       const base::result<wire::http_reply>& reply,
                       base::instant now, core::effects& out);

    const agent_options& options() const { return options_; }
    const config_store& store() const { return store_; }
    const model::catalog& catalog() const { return store_.catalog(); }
    const fleet::view& view() const { return view_; }
    const fleet::ownership& ownership() const { return ownership_; }
    const std::map<std::string, peer_knowledge>& peers() const
    {
        return peers_;
    }

    /// Whether a server may get new work; `incarnation` may be empty.
    bool is_leaving(const std::string& server,
                    const std::string& incarnation) const;
    /// Learns that a server takes no new work.
    void mark_leaving(const std::string& server,
                      const std::string& incarnation);

    /// Learns that a peer's process stops and takes no new forwards.
    void note_draining(const std::string& vm, std::uint64_t incarnation);
    /// Whether the process of a VM that was heard last is stopping.
    bool is_draining(const std::string& vm) const
    {
        return draining_.contains(vm);
    }

    /// When the platform answered last; never if it has not.
    base::instant platform_heard() const { return platform_heard_; }
    bool platform_ok() const { return platform_ok_; }

private:
    enum class request_kind
    {
        watch,
        view
    };

    void call_platform(request_kind kind, base::instant now,
                       core::effects& out);
    void take_objects(const std::string& body, base::instant now,
                      core::effects& out);
    void take_view(std::uint64_t version, std::vector<wire::view_entry> entries,
                   base::instant now, core::effects& out);
    void apply(const wire::config_entry& entry, core::effects& out);
    void gossip(base::instant now, core::effects& out);
    wire::digest make_digest(std::uint64_t sequence, bool ack) const;
    void send(const std::string& vm, wire::message msg, core::effects& out);
    void note_platform(bool ok, base::instant now, core::effects& out);

    agent_options options_;
    std::mt19937_64 random_;
    config_store store_;
    fleet::view view_;
    fleet::ownership ownership_;
    std::map<std::string, peer_knowledge> peers_;
    std::set<std::pair<std::string, std::string>> leaving_;
    std::map<std::string, std::uint64_t> draining_; ///< VM to incarnation
    std::map<std::uint64_t, request_kind> calls_;   ///< open calls
    std::uint64_t last_call_ = 0;
    std::uint64_t sequence_ = 0;
    base::instant next_watch_;
    base::instant next_view_;
    base::instant next_gossip_;
    base::instant platform_heard_ = base::never;
    bool platform_ok_ = false;
};

} // namespace mimosacroft::fleet

#endif
