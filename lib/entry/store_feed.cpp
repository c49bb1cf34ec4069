// Follows the configuration, the servers and the VMs in the store.
#include "mimosacroft/entry/store_feed.hpp"

#include "mimosacroft/base/clock.hpp"
#include "mimosacroft/base/crypto.hpp"
#include "mimosacroft/http/process_limits.hpp"
#include "platform/store.hpp"

#include <algorithm>

namespace mimosacroft::entry
{

namespace
{

using base::instant;
using base::milliseconds;
using core::event_id;

// An entry that was removed may reappear after an outage of the store. Until
// the grace period ends, its server stays available as the last choice.
constexpr milliseconds removal_grace{1'200};
constexpr milliseconds removal_grace_after_outage{2'300};
constexpr milliseconds recent_outage_window{4'000};

constexpr milliseconds min_servers_call_interval{700};
constexpr milliseconds min_configuration_call_interval{200};
constexpr milliseconds min_vms_call_interval{1'000};
// Every call to the store is counted, and the list of VMs rarely changes, so
// its watches wait long.
constexpr gateway::watch_timeouts vms_watch_waits{milliseconds(10'000),
                                                  milliseconds(5'000)};
// When a whole fleet starts, its VMs do so within 0.3 s. A VM that lists them
// after this delay sees all of them and can choose its source among them.
constexpr milliseconds first_start_list_delay{450};
// The list of VMs then tells where to read the other kinds from. They wait for
// the list no longer than this, since the store may be unavailable.
constexpr milliseconds max_wait_for_vm_list{300};
constexpr milliseconds cleanup_period{2'000};

// For each of the kinds that are followed.
std::size_t max_past_bytes(const settings& source)
{
    constexpr std::size_t kinds = 3;
    return http::limits_for(source.memory_bytes, 0).past_bytes / kinds;
}

} // namespace

store_feed::store_feed(http::asio::io_context& io,
                       const settings& initial_settings,
                       gateway::gateway& gateway, event_writer& log,
                       handlers callbacks)
    : gateway_(gateway), log_(log), handlers_(std::move(callbacks)),
      own_entry_{initial_settings.vm, initial_settings.peer_address,
                 initial_settings.data_centre, base::random_seed()},
      seeds_(initial_settings.seeds),
      store_address_(initial_settings.store_address),
      directory_(initial_settings.vm, initial_settings.stop_grace),
      configuration_(io, std::string(platform::configuration_kind),
                     initial_settings.store_address,
                     {.min_call_interval = min_configuration_call_interval}, {},
                     make_watch_handlers(
                         platform::configuration_kind,
                         [this](const auto& changes)
                         { on_configuration(changes); }, [](const auto&) {}),
                     base::random_seed(), max_past_bytes(initial_settings)),
      servers_(io, std::string(platform::servers_kind),
               initial_settings.store_address,
               {.min_call_interval = min_servers_call_interval}, {},
               make_watch_handlers(
                   platform::servers_kind,
                   [this](const auto& changes) { on_servers(changes); },
                   [this](const auto& names) { on_server_list(names); }),
               base::random_seed(), max_past_bytes(initial_settings)),
      vms_(io, std::string(platform::vms_kind), initial_settings.store_address,
           {.min_call_interval = min_vms_call_interval}, vms_watch_waits,
           make_watch_handlers(
               platform::vms_kind,
               [this](const auto& changes) { on_vms(changes); },
               [this](const auto& names) { on_vm_list(names); }),
           base::random_seed(), max_past_bytes(initial_settings)),
      registration_(io, initial_settings.store_address, own_entry_,
                    base::random_seed())
{
    const auto now = base::now();
    // A restarted VM is needed at once, and the VMs that the store lists may be
    // down, so it reads every kind from the store without waiting for the list.
    list_vms_at_ = initial_settings.is_fleet_bootstrap
                       ? now + first_start_list_delay
                       : now;
    follow_other_kinds_at_ = initial_settings.is_fleet_bootstrap
                                 ? list_vms_at_ + max_wait_for_vm_list
                                 : now;
    cleanup_at_ = now + cleanup_period;
    update_fleet();
}

store_watch::handlers store_feed::make_watch_handlers(
    std::string_view kind, std::function<void(const change_list&)> on_changes,
    std::function<void(const std::set<std::string>&)> on_list)
{
    store_watch::handlers out;
    out.on_changes = std::move(on_changes);
    out.on_list = std::move(on_list);
    out.on_new_era = [this](std::uint64_t era) { on_new_era(era); };
    out.on_failure = [this, name = std::string(kind)](const std::string& text)
    { on_failure(name, text); };
    out.on_list_again = [this, name = std::string(kind)](
                            list_reason why, const std::string& source)
    {
        log_.write({event_id::objects_listed_again,
                    {{"kind", name},
                     {"peer", source.empty() ? "store" : source},
                     {"reason", std::string(base::name_of(why))}}});
    };
    out.on_unreadable = [this, name = std::string(kind)](std::size_t count)
    {
        log_.write({event_id::object_refused,
                    {{"peer", "store"},
                     {"reason", name + ": " + std::to_string(count) +
                                    " objects have no readable name"}}});
    };
    out.on_call_ended = [this, name = std::string(kind)]
    { handlers_.on_call_ended(name); };
    return out;
}

bool store_feed::may_follow_other_kinds(instant now) const
{
    return vms_.is_complete() || now >= follow_other_kinds_at_;
}

void store_feed::tick(instant now)
{
    registration_.tick(now);
    if (now >= list_vms_at_)
        vms_.tick(now);
    if (!may_follow_other_kinds(now))
        return;
    configuration_.tick(now);
    servers_.tick(now);
}

instant store_feed::next_due() const
{
    const auto vms = std::max(vms_.next_due(), list_vms_at_);
    auto others = std::min(configuration_.next_due(), servers_.next_due());
    if (!vms_.is_complete())
        others = std::max(others, follow_other_kinds_at_);
    return std::min({registration_.next_due(), vms, others});
}

void store_feed::sweep(instant now)
{
    const bool any_failing =
        std::ranges::any_of(watches(), &store_watch::is_failing);
    if (is_store_lost_ && !any_failing)
    {
        is_store_lost_ = false;
        log_.write({event_id::platform_back, {{"peer", store_address_}}});
    }
    if (directory_.forget_departed(now))
        update_fleet();
    if (now < cleanup_at_)
        return;
    cleanup_at_ = now + cleanup_period;
    for (const auto& name : directory_.expired(now))
        registration_.remove(name);
}

void store_feed::set_seeds(const std::vector<std::string>& seeds)
{
    seeds_ = seeds;
    update_fleet();
}

void store_feed::update_fleet()
{
    const auto others = directory_.others();
    gateway_.set_fleet(others, directory_.fleet_size(), directory_.departed());
    for (auto* watch : {&configuration_, &servers_, &vms_})
        watch->sources().set(own_entry_, others, seeds_);
}

void store_feed::on_configuration(const change_list& changes)
{
    for (const auto& change : changes)
    {
        if (change.deleted)
            continue;
        auto next = platform::decode_catalog(change.content);
        if (next)
            apply_catalog(std::move(*next));
        else
            log_.write(
                {event_id::config_refused,
                 {{"peer", "store"}, {"reason", to_string(next.error())}}});
    }
}

void store_feed::apply_catalog(gateway::catalog&& next)
{
    const auto candidate =
        std::make_shared<const gateway::catalog>(std::move(next));
    if (!gateway_.apply(candidate))
        return;
    log_.write({event_id::config_applied,
                {{"version", std::to_string(candidate->version())},
                 {"searches", std::to_string(candidate->size())}}});
    handlers_.on_catalog(*candidate);
}

void store_feed::remove_server(const std::string& id)
{
    log_.write(
        {event_id::server_removed,
         {{"peer", id}, {"reason", "its entry was removed from the store"}}});
    const auto now = base::now();
    const bool outage_is_recent = now - last_failure_at_ < recent_outage_window;
    gateway_.remove_server(
        id, now, outage_is_recent ? removal_grace_after_outage : removal_grace);
}

void store_feed::apply_server(const gateway::object_change& change)
{
    const auto entry = platform::decode_server_entry(change);
    if (!entry)
        log_.write({event_id::server_entry_refused,
                    {{"reason", to_string(entry.error())}}});
    else if (gateway_.servers().apply(*entry, base::now()))
        log_.write({event_id::server_listed,
                    {{"peer", entry->id},
                     {"service", entry->service},
                     {"data_centre", entry->data_centre},
                     {"state", entry->leaving ? "leaving" : "ready"}}});
}

void store_feed::on_servers(const change_list& changes)
{
    for (const auto& change : changes)
    {
        if (change.deleted)
            remove_server(change.name);
        else
            apply_server(change);
    }
    handlers_.on_servers();
}

void store_feed::on_server_list(const std::set<std::string>& names)
{
    for (const auto& id : gateway_.servers().listed_ids())
        if (!names.contains(id))
            remove_server(id);
}

void store_feed::on_vms(const change_list& changes)
{
    for (const auto& change : changes)
    {
        if (change.deleted)
        {
            if (change.name == own_entry_.name)
                registration_.renew_soon();
            directory_.remove(change.name, base::now());
            continue;
        }
        const auto entry = platform::decode_vm_entry(change);
        if (entry)
            directory_.apply(*entry, base::now());
        else
            log_.write(
                {event_id::object_refused,
                 {{"peer", "store"}, {"reason", to_string(entry.error())}}});
    }
    log_fleet_size();
    update_fleet();
}

void store_feed::on_vm_list(const std::set<std::string>& names)
{
    for (const auto& name : directory_.names())
        if (!names.contains(name))
            directory_.remove(name, base::now());
    if (!names.contains(own_entry_.name))
        registration_.renew_soon();
    update_fleet();
}

void store_feed::log_fleet_size()
{
    const auto fleet_size = directory_.fleet_size();
    if (fleet_size == logged_fleet_size_)
        return;
    logged_fleet_size_ = fleet_size;
    log_.write({event_id::vms_counted, {{"vms", std::to_string(fleet_size)}}});
}

// The copy may lack this VM's entry, and entries of servers, which write them
// again within the time that follows an outage.
void store_feed::on_new_era(std::uint64_t era)
{
    if (era <= store_era_)
        return;
    store_era_ = era;
    last_failure_at_ = base::now();
    registration_.renew_soon();
    log_.write({event_id::platform_restored,
                {{"peer", store_address_}, {"era", std::to_string(era)}}});
}

// Logs one line when the store is lost, and sweep() one when it is back,
// however many calls fail in between.
void store_feed::on_failure(const std::string& kind, const std::string& text)
{
    last_failure_at_ = base::now();
    if (is_store_lost_)
        return;
    is_store_lost_ = true;
    log_.write({event_id::platform_lost,
                {{"peer", store_address_}, {"step", kind}, {"reason", text}}});
}

} // namespace mimosacroft::entry
