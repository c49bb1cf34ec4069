// The list of entry VMs and the owners of upstreams.
#include "mimosacroft/fleet/view.hpp"

#include "mimosacroft/base/stable_hash.hpp"

#include <algorithm>
#include <map>
#include <ranges>
#include <set>

namespace mimosacroft::fleet
{

namespace
{

std::uint64_t weight_of(const std::string& upstream, const std::string& vm)
{
    return base::stable_hash({upstream, vm});
}

} // namespace

view::view(std::uint64_t version, std::vector<wire::view_entry> entries)
    : version_(version), entries_(std::move(entries))
{
    std::ranges::sort(entries_, {}, &wire::view_entry::vm);
}

const wire::view_entry* view::find(const std::string& vm) const
{
    const auto it =
        std::ranges::lower_bound(entries_, vm, {}, &wire::view_entry::vm);
    return it != entries_.end() && it->vm == vm ? &*it : nullptr;
}

std::uint64_t view::fingerprint() const
{
    std::uint64_t out = 0;
    for (const auto& it : entries_)
        out += base::stable_hash({it.vm, it.data_centre, it.peer_address,
                                  it.leaving ? "leaving" : ""});
    return out;
}

std::vector<std::string> view::members_of(const std::string& data_centre) const
{
    std::vector<std::string> out;
    for (const auto& entry : entries_)
        if (entry.data_centre == data_centre && !entry.leaving)
            out.push_back(entry.vm);
    return out;
}

std::vector<std::string> view::all_of(const std::string& data_centre) const
{
    std::vector<std::string> out;
    for (const auto& entry : entries_)
        if (entry.data_centre == data_centre)
            out.push_back(entry.vm);
    return out;
}

std::optional<std::size_t> view::rank_of(const std::string& vm) const
{
    const auto* entry = find(vm);
    if (!entry || entry->leaving)
        return std::nullopt;
    const auto members = members_of(entry->data_centre);
    return std::ranges::find(members, vm) - members.begin();
}

std::vector<std::string> view::data_centres() const
{
    std::set<std::string> out;
    for (const auto& entry : entries_)
        out.insert(entry.data_centre);
    return {out.begin(), out.end()};
}

wire::view_push view::to_push() const
{
    return {version_, entries_, 0, {}, fingerprint()};
}

wire::view_push view::changes_since(const view& older) const
{
    wire::view_push out;
    out.version = version_;
    out.fingerprint = fingerprint();
    out.base = older.version();
    for (const auto& entry : entries_)
    {
        const auto* before = older.find(entry.vm);
        if (!before || !(*before == entry))
            out.entries.push_back(entry);
    }
    for (const auto& entry : older.entries())
        if (!find(entry.vm))
            out.removed.push_back(entry.vm);
    return out;
}

std::optional<view> view::changed_by(const wire::view_push& delta) const
{
    const std::set<std::string> removed(delta.removed.begin(),
                                        delta.removed.end());
    std::map<std::string, wire::view_entry> all;
    for (const auto& entry : entries_)
        if (!removed.contains(entry.vm))
            all[entry.vm] = entry;
    for (const auto& entry : delta.entries)
        all[entry.vm] = entry;
    std::vector<wire::view_entry> entries;
    for (const auto& [vm, entry] : all)
        entries.push_back(entry);
    view out(delta.version, std::move(entries));
    if (out.fingerprint() != delta.fingerprint)
        return std::nullopt;
    return out;
}

std::vector<std::string> view::owners_of(const model::upstream& it) const
{
    std::vector<std::pair<std::uint64_t, std::string>> order;
    for (auto& vm : members_of(it.data_centre))
    {
        const auto weight = weight_of(it.name, vm);
        order.emplace_back(weight, std::move(vm));
    }
    const std::size_t most = std::min<std::size_t>(max_owners, it.slots);
    const auto n = static_cast<std::ptrdiff_t>(std::min(most, order.size()));
    std::ranges::partial_sort(order, order.begin() + n, std::greater<>{});
    std::vector<std::string> out;
    for (auto& [weight, vm] : order | std::views::take(n))
        out.push_back(std::move(vm));
    return out;
}

share share_of(const model::upstream& it, std::size_t owners)
{
    if (owners == 0)
        return {};
    const auto n = static_cast<std::uint32_t>(owners);
    return {it.slots / n, std::max(it.connections / (n + 1), 1U)};
}

} // namespace mimosacroft::fleet
