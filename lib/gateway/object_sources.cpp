// Chooses the source from which a VM reads the objects of the store.
#include "mimosacroft/gateway/object_sources.hpp"

#include <algorithm>

namespace mimosacroft::gateway
{

namespace
{

using base::milliseconds;

// How long a source is avoided after a failure. The store is retried soon; a VM
// that failed or lags behind is avoided for longer.
constexpr milliseconds store_avoidance{600};
constexpr milliseconds vm_avoidance{3'000};
// Maximum number of other VMs that are tried after the tree and the store.
constexpr std::size_t max_fallback_vms = 6;
// Added to a watch timeout for network latency and the processing in a VM.
constexpr milliseconds watch_margin{300};

// Returns the ancestors in the tree, the parent first.
std::vector<object_source> ancestor_sources(const vm_entry& own,
                                            const std::vector<vm_entry>& others)
{
    std::vector<vm_entry> same_data_centre{own};
    std::ranges::copy_if(
        others, std::back_inserter(same_data_centre), [&own](const vm_entry& it)
        { return it.data_centre == own.data_centre && !it.address.empty(); });
    std::ranges::sort(same_data_centre, {}, &vm_entry::name);
    const auto at =
        std::ranges::find(same_data_centre, own.name, &vm_entry::name);
    auto rank = static_cast<std::size_t>(at - same_data_centre.begin());
    std::vector<object_source> out;
    while (rank > 0)
    {
        rank = (rank - 1) / tree_fanout;
        out.push_back({same_data_centre[rank].address, 0, {}});
    }
    for (std::size_t n = 0; n < out.size(); ++n)
        out[n].depth = out.size() - 1 - n;
    return out;
}

// VMs of other data centres come first: they may reach the store when this data
// centre cannot, and they do not read from this VM.
std::vector<std::string> fallback_addresses(const vm_entry& own,
                                            const std::vector<vm_entry>& others)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto& it : others)
        if (!it.address.empty())
            (it.data_centre == own.data_centre ? near : far)
                .push_back(it.address);
    std::vector<std::string> out;
    for (std::size_t n = 0; n < std::max(near.size(), far.size()); ++n)
    {
        if (n < far.size())
            out.push_back(far[n]);
        if (n < near.size())
            out.push_back(near[n]);
    }
    out.resize(std::min(out.size(), max_fallback_vms));
    return out;
}

} // namespace

object_sources::object_sources(watch_timeouts timeouts) : timeouts_(timeouts)
{
    sources_.emplace_back();
}

void object_sources::set(const vm_entry& own,
                         const std::vector<vm_entry>& others,
                         const std::vector<std::string>& seeds)
{
    auto wanted = ancestor_sources(own, others);
    wanted.emplace_back(); // the store
    for (const auto& address : fallback_addresses(own, others))
        wanted.push_back({address, 1, {}});
    for (const auto& address : seeds)
        wanted.push_back({address, 1, {}});
    std::vector<object_source> next;
    for (auto& it : wanted)
    {
        const auto same = [&it](const object_source& other)
        { return other.address == it.address; };
        if (it.address == own.address || std::ranges::any_of(next, same))
            continue;
        const auto known = std::ranges::find_if(sources_, same);
        if (known != sources_.end())
            it.avoid_until = known->avoid_until;
        next.push_back(std::move(it));
    }
    sources_ = std::move(next);
}

const object_source& object_sources::current(base::instant now) const
{
    const auto usable =
        std::ranges::find_if(sources_, [now](const object_source& it)
                             { return it.avoid_until <= now; });
    if (usable != sources_.end())
        return *usable;
    return *std::ranges::min_element(sources_, {}, &object_source::avoid_until);
}

milliseconds object_sources::max_staleness(const object_source& it) const
{
    return timeouts_.store + watch_margin +
           static_cast<int>(it.depth) * (timeouts_.vm + watch_margin);
}

milliseconds object_sources::watch_timeout(const object_source& it) const
{
    return it.is_store() ? timeouts_.store : timeouts_.vm;
}

bool object_sources::has_usable(base::instant now) const
{
    return current(now).avoid_until <= now;
}

void object_sources::on_failure(const std::string& address, base::instant now)
{
    const auto it =
        std::ranges::find(sources_, address, &object_source::address);
    if (it != sources_.end())
        it->avoid_until =
            now + (it->is_store() ? store_avoidance : vm_avoidance);
}

} // namespace mimosacroft::gateway
