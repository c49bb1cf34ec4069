// The configuration of one VM.
#include "mimosacroft/fleet/config_store.hpp"

#include "mimosacroft/model/schema.hpp"

#include <algorithm>

namespace mimosacroft::fleet
{

apply_result config_store::apply(const wire::config_entry& entry)
{
    const key at(entry.kind, entry.name);
    const auto it = entries_.find(at);
    if (it != entries_.end() && it->second.version >= entry.version)
        return apply_result::older;
    entries_[at] = entry;

    const auto kind = base::value_of<model::resource_kind>(entry.kind);
    if (entry.deleted)
    {
        if (kind)
            catalog_.remove(*kind, entry.name);
        refusals_.erase(at);
        return apply_result::applied;
    }
    const auto parsed = model::parse_resource(entry.body);
    if (!kind || !parsed || parsed->kind != *kind || parsed->name != entry.name)
    {
        refusals_[at] = {entry.version,
                         parsed ? "object stands under another kind or name"
                                : parsed.error().text};
        return apply_result::refused;
    }
    refusals_.erase(at);
    catalog_.put(parsed->value);
    return apply_result::applied;
}

void config_store::hold_through(std::uint64_t version)
{
    through_ = std::max(through_, version);
}

std::vector<wire::config_entry>
config_store::entries_after(std::uint64_t version) const
{
    std::vector<wire::config_entry> out;
    for (const auto& [at, entry] : entries_)
        if (entry.version > version)
            out.push_back(entry);
    std::ranges::sort(out, {}, &wire::config_entry::version);
    return out;
}

const wire::config_entry* config_store::find(const std::string& kind,
                                             const std::string& name) const
{
    const auto it = entries_.find({kind, name});
    return it == entries_.end() ? nullptr : &it->second;
}

} // namespace mimosacroft::fleet
