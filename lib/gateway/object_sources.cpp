// Where a VM reads the objects of the store from.
#include "mimosacroft/gateway/object_sources.hpp"

#include <algorithm>

namespace mimosacroft::gateway
{

namespace
{

using base::milliseconds;

// The store is asked again soon; a VM that failed or lags for longer.
constexpr milliseconds store_avoidance{600};
constexpr milliseconds vm_avoidance{3'000};
// Beyond the tree and the store, this many other VMs are tried.
constexpr std::size_t most_helpers = 6;
// On top of a wait: the way and the work of a VM.
constexpr milliseconds wait_margin{300};

// The ancestors, the parent first.
std::vector<object_source> tree_sources(const vm_entry& own,
                                        const std::vector<vm_entry>& others)
{
    std::vector<vm_entry> mine{own};
    std::ranges::copy_if(
        others, std::back_inserter(mine), [&own](const vm_entry& it)
        { return it.data_centre == own.data_centre && !it.address.empty(); });
    std::ranges::sort(mine, {}, &vm_entry::name);
    const auto at = std::ranges::find(mine, own.name, &vm_entry::name);
    auto rank = static_cast<std::size_t>(at - mine.begin());
    std::vector<object_source> out;
    while (rank > 0)
    {
        rank = (rank - 1) / tree_width;
        out.push_back({mine[rank].address, 0, {}});
    }
    for (std::size_t n = 0; n < out.size(); ++n)
        out[n].depth = out.size() - 1 - n;
    return out;
}

// VMs of other data centres first: what keeps this data centre from the store
// may not keep them, and they do not read from this VM.
std::vector<std::string> helper_addresses(const vm_entry& own,
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
    out.resize(std::min(out.size(), most_helpers));
    return out;
}

} // namespace

object_sources::object_sources(watch_waits waits) : waits_(waits)
{
    sources_.emplace_back();
}

void object_sources::set(const vm_entry& own,
                         const std::vector<vm_entry>& others,
                         const std::vector<std::string>& seeds)
{
    auto wanted = tree_sources(own, others);
    wanted.emplace_back(); // the store
    for (const auto& address : helper_addresses(own, others))
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

milliseconds object_sources::oldest_news(const object_source& it) const
{
    return waits_.store + wait_margin +
           static_cast<int>(it.depth) * (waits_.vm + wait_margin);
}

milliseconds object_sources::wait(const object_source& it) const
{
    return it.is_store() ? waits_.store : waits_.vm;
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
