// What a VM learns through the store: the configuration, the servers and the
// other VMs. Keeps the gateway's knowledge of them up to date, and this VM's
// own entry in the store.
#ifndef MIMOSACROFT_ENTRY_STORE_FEED_HPP
#define MIMOSACROFT_ENTRY_STORE_FEED_HPP

#include "mimosacroft/entry/event_writer.hpp"
#include "mimosacroft/entry/registration.hpp"
#include "mimosacroft/entry/settings.hpp"
#include "mimosacroft/entry/store_watch.hpp"
#include "mimosacroft/gateway/gateway.hpp"

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
        /// A configuration came into force.
        std::function<void(const gateway::catalog&)> on_catalog;
        /// Servers came, changed or went.
        std::function<void()> on_servers;
        /// A call ended: other VMs may be told something new of this kind,
        /// and the next call may be due.
        std::function<void(const std::string& kind)> on_call_ended;
    };

    /// The gateway and the log must outlive this.
    store_feed(http::asio::io_context& io, const settings& start,
               gateway::gateway& decisions, event_writer& log, handlers h);

    /// Makes the calls that are due.
    void tick(base::instant now);
    base::instant next_due() const;
    /// To be called a few times a second: says in the log when the store is
    /// back, and removes the entries of VMs that are gone.
    void sweep(base::instant now);

    void set_seeds(const std::vector<std::string>& seeds);
    /// This VM ends: its entry is taken away.
    void withdraw() { registration_.withdraw(); }

    std::vector<const store_watch*> watches() const
    {
        return {&configuration_, &servers_, &vms_};
    }

private:
    using change_list = std::vector<gateway::object_change>;

    store_watch::handlers
    watch_handlers(std::string_view kind,
                   std::function<void(const change_list&)> on_changes,
                   std::function<void(const std::set<std::string>&)> on_list);
    bool may_follow_others(base::instant now) const;
    void set_fleet();
    void on_configuration(const change_list& all);
    void take_catalog(gateway::catalog&& next);
    void on_servers(const change_list& all);
    void on_server_list(const std::set<std::string>& names);
    void take_server(const gateway::object_change& it);
    void remove_server(const std::string& id);
    void on_vms(const change_list& all);
    void on_vm_list(const std::set<std::string>& names);
    void report_vms();
    void on_failure(const std::string& kind, const std::string& text);

    gateway::gateway& gateway_;
    event_writer& log_;
    handlers on_;
    gateway::vm_entry own_;
    std::vector<std::string> seeds_;
    std::string store_address_;
    gateway::vm_directory directory_;
    store_watch configuration_;
    store_watch servers_;
    store_watch vms_;
    registration registration_;
    base::instant list_vms_at_{};      ///< not before
    base::instant follow_others_at_{}; ///< also without a list of VMs
    base::instant failed_at_{};
    base::instant clean_at_{};
    bool is_lost_ = false;       ///< the store, as the log has it
    std::size_t fleet_size_ = 0; ///< as the log has it
};

} // namespace mimosacroft::entry

#endif
