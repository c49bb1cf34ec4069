// What a VM learns through the store.
#include "mimosacroft/entry/store_feed.hpp"

#include "mimosacroft/base/clock.hpp"
#include "mimosacroft/base/crypto.hpp"
#include "platform/store.hpp"

#include <algorithm>

namespace mimosacroft::entry
{

namespace
{

using base::instant;
using base::milliseconds;
using core::event_id;

// A removed entry may come back when the store was away; its server is the last
// choice meanwhile.
constexpr milliseconds removal_hold{1'200};
constexpr milliseconds removal_hold_after_outage{2'300};
constexpr milliseconds outage_memory{4'000};

constexpr milliseconds servers_pace{700};
constexpr milliseconds configuration_pace{200};
constexpr milliseconds vms_pace{1'000};
// Each call is counted, and the list of VMs changes seldom.
constexpr gateway::watch_waits vms_waits{milliseconds(10'000),
                                         milliseconds(5'000)};
// When a whole fleet starts, its VMs do so within 0.3 s. Who lists them after
// that knows all, and where to read from.
constexpr milliseconds first_start_spread{450};
// Then the list of VMs says where the other kinds are read from; they do not
// wait for it for ever, since the store may be away.
constexpr milliseconds vms_first{300};
constexpr milliseconds clean_period{2'000};

} // namespace

store_feed::store_feed(http::asio::io_context& io, const settings& start,
                       gateway::gateway& decisions, event_writer& log,
                       handlers h)
    : gateway_(decisions), log_(log), on_(std::move(h)),
      own_{start.vm, start.peer_address, start.data_centre, 0},
      seeds_(start.seeds), store_address_(start.store_address),
      directory_(start.vm),
      configuration_(io, std::string(platform::configuration_kind),
                     start.store_address, {.pace = configuration_pace}, {},
                     watch_handlers(
                         platform::configuration_kind, [this](const auto& it)
                         { on_configuration(it); }, [](const auto&) {}),
                     base::random_seed()),
      servers_(io, std::string(platform::servers_kind), start.store_address,
               {.pace = servers_pace}, {},
               watch_handlers(
                   platform::servers_kind,
                   [this](const auto& it) { on_servers(it); },
                   [this](const auto& it) { on_server_list(it); }),
               base::random_seed()),
      vms_(io, std::string(platform::vms_kind), start.store_address,
           {.pace = vms_pace}, vms_waits,
           watch_handlers(
               platform::vms_kind, [this](const auto& it) { on_vms(it); },
               [this](const auto& it) { on_vm_list(it); }),
           base::random_seed()),
      registration_(
          io, start.store_address, own_, [this](const std::string& text)
          { on_failure("registration", text); }, base::random_seed())
{
    const auto at = base::now();
    // A VM that comes back is needed at once, and those that it knows from the
    // list may be down: it reads all from the store first.
    list_vms_at_ = start.is_first_start ? at + first_start_spread : at;
    follow_others_at_ = start.is_first_start ? list_vms_at_ + vms_first : at;
    clean_at_ = at + clean_period;
    set_fleet();
}

store_watch::handlers store_feed::watch_handlers(
    std::string_view kind, std::function<void(const change_list&)> on_changes,
    std::function<void(const std::set<std::string>&)> on_list)
{
    store_watch::handlers out;
    out.on_changes = std::move(on_changes);
    out.on_list = std::move(on_list);
    out.on_failure = [this, name = std::string(kind)](const std::string& text)
    { on_failure(name, text); };
    out.on_call_ended = [this, name = std::string(kind)]
    { on_.on_call_ended(name); };
    return out;
}

bool store_feed::may_follow_others(instant at) const
{
    return vms_.is_complete() || at >= follow_others_at_;
}

void store_feed::tick(instant at)
{
    registration_.tick(at);
    if (at >= list_vms_at_)
        vms_.tick(at);
    if (!may_follow_others(at))
        return;
    configuration_.tick(at);
    servers_.tick(at);
}

instant store_feed::next_due() const
{
    const auto vms = std::max(vms_.next_due(), list_vms_at_);
    auto others = std::min(configuration_.next_due(), servers_.next_due());
    if (!vms_.is_complete())
        others = std::max(others, follow_others_at_);
    return std::min({registration_.next_due(), vms, others});
}

void store_feed::sweep(instant at)
{
    const bool fails = registration_.is_failing() ||
                       std::ranges::any_of(watches(), &store_watch::is_failing);
    if (is_lost_ && !fails)
    {
        is_lost_ = false;
        log_.write({event_id::platform_back, {{"peer", store_address_}}});
    }
    if (at < clean_at_)
        return;
    clean_at_ = at + clean_period;
    for (const auto& it : directory_.lapsed(at))
        registration_.remove(it);
}

void store_feed::set_seeds(const std::vector<std::string>& seeds)
{
    seeds_ = seeds;
    set_fleet();
}

void store_feed::set_fleet()
{
    const auto others = directory_.others();
    gateway_.set_fleet(others, directory_.fleet_size());
    for (auto* it : {&configuration_, &servers_, &vms_})
        it->sources().set(own_, others, seeds_);
}

void store_feed::on_configuration(const change_list& all)
{
    for (const auto& it : all)
    {
        if (it.deleted)
            continue;
        auto next = platform::decode_catalog(it.content);
        if (next)
            take_catalog(std::move(*next));
        else
            log_.write(
                {event_id::config_refused,
                 {{"peer", "store"}, {"reason", to_string(next.error())}}});
    }
}

void store_feed::take_catalog(gateway::catalog&& next)
{
    const auto fresh =
        std::make_shared<const gateway::catalog>(std::move(next));
    if (!gateway_.apply(fresh))
        return;
    log_.write({event_id::config_applied,
                {{"version", std::to_string(fresh->version())},
                 {"searches", std::to_string(fresh->size())}}});
    on_.on_catalog(*fresh);
}

void store_feed::remove_server(const std::string& id)
{
    log_.write({event_id::server_removed,
                {{"peer", id}, {"reason", "its entry is gone"}}});
    const auto at = base::now();
    const bool outage = at - failed_at_ < outage_memory;
    gateway_.remove_server(id, at,
                           outage ? removal_hold_after_outage : removal_hold);
}

void store_feed::take_server(const gateway::object_change& it)
{
    const auto entry = platform::decode_server(it);
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

void store_feed::on_servers(const change_list& all)
{
    for (const auto& it : all)
    {
        if (it.deleted)
            remove_server(it.name);
        else
            take_server(it);
    }
    on_.on_servers();
}

void store_feed::on_server_list(const std::set<std::string>& names)
{
    for (const auto& id : gateway_.servers().listed_ids())
        if (!names.contains(id))
            remove_server(id);
}

void store_feed::on_vms(const change_list& all)
{
    for (const auto& it : all)
    {
        if (it.deleted)
        {
            directory_.remove(it.name);
            continue;
        }
        const auto entry = platform::decode_vm(it);
        if (entry)
            directory_.apply(*entry, base::now());
        else
            log_.write(
                {event_id::object_refused,
                 {{"peer", "store"}, {"reason", to_string(entry.error())}}});
    }
    report_vms();
    set_fleet();
}

void store_feed::on_vm_list(const std::set<std::string>& names)
{
    for (const auto& it : directory_.names())
        if (!names.contains(it))
            directory_.remove(it);
    set_fleet();
}

void store_feed::report_vms()
{
    const auto n = directory_.fleet_size();
    if (n == fleet_size_)
        return;
    fleet_size_ = n;
    log_.write({event_id::vms_counted, {{"vms", std::to_string(n)}}});
}

// One line when the store is lost and one when it is back, however many calls
// fail in between.
void store_feed::on_failure(const std::string& kind, const std::string& text)
{
    failed_at_ = base::now();
    if (is_lost_)
        return;
    is_lost_ = true;
    log_.write({event_id::platform_lost,
                {{"peer", store_address_}, {"step", kind}, {"reason", text}}});
}

} // namespace mimosacroft::entry
