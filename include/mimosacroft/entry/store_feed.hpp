// Follows the configuration, the servers and the VMs in the store. Passes their
// changes to the gateway, and keeps this VM's own entry in the store.
#ifndef MIMOSACROFT_ENTRY_STORE_FEED_HPP
#define MIMOSACROFT_ENTRY_STORE_FEED_HPP

#include "mimosacroft/entry/event_writer.hpp"
#include "mimosacroft/entry/registration.hpp"
#include "mimosacroft/entry/settings.hpp"
#include "mimosacroft/entry/store_watch.hpp"
#include "mimosacroft/gateway/gateway.hpp"

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mimosacroft::entry
{

class store_feed
{
public:
    struct handlers
    {
        /// A new configuration was applied.
        std::function<void(const gateway::catalog&)> on_catalog;
        /// Server entries were added, changed or removed.
        std::function<void()> on_servers;
        /// A call for this kind ended: there may be changes to serve to other
        /// VMs, and the next call may be due.
        std::function<void(const std::string& kind)> on_call_ended;
    };

    /// The gateway and the log must outlive this.
    store_feed(http::asio::io_context& io, const settings& initial_settings,
               gateway::gateway& gateway, event_writer& log,
               handlers callbacks);

    /// Sends the calls that are due and times out overdue ones.
    void tick(base::instant now);
    /// When tick() has something to do next.
    base::instant next_due() const;
    /// To be called a few times a second: logs when the store is reachable
    /// again, and removes the entries of lost VMs.
    void sweep(base::instant now);

    /// Sets the addresses to read objects from when all other sources fail.
    void set_seeds(const std::vector<std::string>& seeds);
    /// Removes this VM's entry from the store, at a graceful stop.
    void withdraw() { registration_.withdraw(); }

    std::vector<const store_watch*> watches() const
    {
        return {&configuration_, &servers_, &vms_};
    }

private:
    using change_list = std::vector<gateway::object_change>;

    store_watch::handlers make_watch_handlers(
        std::string_view kind,
        std::function<void(const change_list&)> on_changes,
        std::function<void(const std::set<std::string>&)> on_list);
    /// Whether the configuration and the servers may be read yet.
    bool may_follow_other_kinds(base::instant now) const;
    /// Passes the known VMs on to the gateway and to the choice of sources.
    void update_fleet();
    void on_configuration(const change_list& changes);
    void apply_catalog(gateway::catalog&& next);
    void on_servers(const change_list& changes);
    void on_server_list(const std::set<std::string>& names);
    void apply_server(const gateway::object_change& change);
    void remove_server(const std::string& id);
    void on_vms(const change_list& changes);
    void on_vm_list(const std::set<std::string>& names);
    void log_fleet_size();
    void on_new_era(std::uint64_t era);
    void on_failure(const std::string& kind, const std::string& text);

    gateway::gateway& gateway_;
    event_writer& log_;
    handlers handlers_;
    gateway::vm_entry own_entry_;
    std::vector<std::string> seeds_;
    std::string store_address_;
    gateway::vm_directory directory_;
    store_watch configuration_;
    store_watch servers_;
    store_watch vms_;
    registration registration_;
    base::instant list_vms_at_{}; ///< VMs are not listed before this
    /// From then on the other kinds don't wait for the list of VMs.
    base::instant follow_other_kinds_at_{};
    base::instant last_failure_at_{};
    base::instant cleanup_at_{};
    bool is_store_lost_ = false;  ///< as last logged
    std::uint64_t store_era_ = 0; ///< last one that on_new_era() handled
    std::size_t logged_fleet_size_ = 0;
};

} // namespace mimosacroft::entry

#endif
