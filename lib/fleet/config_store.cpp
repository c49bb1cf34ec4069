// The configuration of one VM.
#include "mimosacroft/fleet/config_store.hpp"

#include "mimosacroft/base/stable_hash.hpp"
#include "mimosacroft/model/schema.hpp"

#include <algorithm>

namespace mimosacroft::fleet
{

namespace
{

// The resource of an object, nothing for a tombstone, or why it cannot be in
// force.
base::result<std::optional<model::resource>>
resource_of(const wire::config_entry& entry)
{
    if (entry.deleted)
        return std::nullopt;
    auto parsed = model::parse_resource(entry.body);
    if (!parsed)
        return tl::unexpected<base::error>(parsed.error());
    const auto kind = base::value_of<model::resource_kind>(entry.kind);
    if (!kind || parsed->kind != *kind || parsed->name != entry.name)
        return base::fail(base::error_code::invalid, base::step::apply, "",
                          "object stands under another kind or name");
    return std::move(parsed->value);
}

std::size_t size_of(const wire::config_entry& entry)
{
    return entry.kind.size() + entry.name.size() + entry.body.size();
}

std::uint64_t hash_of(const wire::config_entry& entry)
{
    return base::stable_hash(
        {entry.kind, entry.name, std::to_string(entry.version)});
}

} // namespace

std::vector<wire::config_push> split_push(wire::config_push all,
                                          std::size_t max_bytes)
{
    std::ranges::sort(all.entries, {}, &wire::config_entry::version);
    std::vector<wire::config_push> out(1);
    out.back().from = all.from;
    std::size_t bytes = 0;
    for (auto& entry : all.entries)
    {
        bytes += size_of(entry);
        if (bytes > max_bytes && !out.back().entries.empty())
        {
            // The sender may hold single objects ahead of `through`.
            const auto reached =
                std::min(out.back().entries.back().version, all.through);
            out.back().through = std::max(out.back().from, reached);
            out.push_back({out.back().through, 0, {}});
            bytes = size_of(entry);
        }
        out.back().entries.push_back(std::move(entry));
    }
    out.back().through = std::max(out.back().from, all.through);
    return out;
}

apply_result config_store::apply(const wire::config_entry& entry)
{
    const key at(entry.kind, entry.name);
    const auto it = entries_.find(at);
    if (it != entries_.end() && it->second.version >= entry.version)
        return apply_older(at, entry);
    const auto offered = resource_of(entry);
    if (!offered)
    {
        if (it != entries_.end() && !refusals_.contains(at))
            last_good_[at] = it->second;
        refusals_[at] = {entry.version, offered.error().text};
    }
    else
    {
        refusals_.erase(at);
        last_good_.erase(at);
        put_in_force(entry, *offered);
    }
    entries_[at] = entry;
    fingerprint_.reset();
    return offered ? apply_result::applied : apply_result::refused;
}

// While the latest version of an object is invalid, an older valid one is
// still news to a VM that knows none.
apply_result config_store::apply_older(const key& at,
                                       const wire::config_entry& entry)
{
    const bool stands_in =
        refusals_.contains(at) && entry.version < entries_.at(at).version &&
        (!last_good_.contains(at) || last_good_.at(at).version < entry.version);
    if (!stands_in)
        return apply_result::older;
    const auto offered = resource_of(entry);
    if (!offered)
        return apply_result::older;
    last_good_[at] = entry;
    put_in_force(entry, *offered);
    return apply_result::applied;
}

void config_store::put_in_force(const wire::config_entry& entry,
                                const std::optional<model::resource>& made)
{
    if (made)
        return catalog_.put(*made);
    if (const auto kind = base::value_of<model::resource_kind>(entry.kind))
        catalog_.remove(*kind, entry.name);
}

void config_store::hold_through(std::uint64_t version)
{
    if (version <= through_)
        return;
    through_ = version;
    fingerprint_.reset();
}

std::vector<wire::config_entry>
config_store::entries_after(std::uint64_t version) const
{
    std::vector<wire::config_entry> out;
    for (const auto* all : {&entries_, &last_good_})
        for (const auto& [at, entry] : *all)
            if (entry.version > version)
                out.push_back(entry);
    std::ranges::sort(out, {}, &wire::config_entry::version);
    return out;
}

std::vector<wire::config_push>
config_store::pushes_after(std::uint64_t version, std::size_t max_bytes) const
{
    return split_push({last_change(version), through_, entries_after(version)},
                      max_bytes);
}

std::uint64_t config_store::last_change(std::uint64_t version) const
{
    std::uint64_t out = 0;
    for (const auto& [at, entry] : entries_)
        if (entry.version <= version)
            out = std::max(out, entry.version);
    return out;
}

std::uint64_t config_store::fingerprint() const
{
    if (fingerprint_)
        return *fingerprint_;
    std::uint64_t sum = 0;
    for (const auto& [at, entry] : entries_)
        if (entry.version <= through_)
            sum += hash_of(entry);
    fingerprint_ = sum;
    return sum;
}

std::size_t config_store::tombstones() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        entries_, [](const auto& it) { return it.second.deleted; }));
}

const wire::config_entry* config_store::find(const std::string& kind,
                                             const std::string& name) const
{
    const auto it = entries_.find({kind, name});
    return it == entries_.end() ? nullptr : &it->second;
}

} // namespace mimosacroft::fleet
