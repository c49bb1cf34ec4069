// The list of entry VMs and the owners of upstreams.
#include "mimosacroft/fleet/view.hpp"

#include <algorithm>

namespace mimosacroft::fleet
{

namespace
{

// FNV-1a with a final mix: every VM must compute the same weights, which the
// standard library's hash does not promise.
std::uint64_t weight_of(const std::string& upstream, const std::string& vm)
{
    std::uint64_t hash = 14695981039346656037ULL;
    const auto add = [&hash](char c)
    {
        hash ^= static_cast<unsigned char>(c);
        hash *= 1099511628211ULL;
    };
    std::ranges::for_each(upstream, add);
    add('\0');
    std::ranges::for_each(vm, add);
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
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

std::vector<std::string> view::members_of(const std::string& data_centre) const
{
    std::vector<std::string> out;
    for (const auto& entry : entries_)
        if (entry.data_centre == data_centre && !entry.leaving)
            out.push_back(entry.vm);
    return out;
}

std::vector<std::string> view::owners_of(const model::upstream& it) const
{
    auto out = members_of(it.data_centre);
    std::ranges::sort(out, std::greater<>{}, [&it](const std::string& vm)
                      { return std::pair(weight_of(it.name, vm), vm); });
    const std::size_t most = std::min<std::size_t>(max_owners, it.slots);
    if (out.size() > most)
        out.resize(most);
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
