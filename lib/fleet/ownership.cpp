// Which upstreams this VM may work on now.
#include "mimosacroft/fleet/ownership.hpp"

#include <algorithm>
#include <set>

namespace mimosacroft::fleet
{

ownership::ownership(std::string self, ownership_options options)
    : self_(std::move(self)), options_(options)
{
}

void ownership::update(const view& current, const model::catalog& catalog,
                       base::instant now)
{
    update_owners(current, catalog, now);
    std::map<std::string, owned> next;
    for (const auto& [name, upstream] : catalog.upstreams())
    {
        const auto& owners = owners_.at(name).vms;
        if (std::ranges::find(owners, self_) == owners.end())
            continue;
        const share part = share_of(upstream, owners.size());
        const auto before = owned_.find(name);
        if (before == owned_.end())
            next[name] = {{}, part, now};
        else
            next[name] = changed(before->second, part, now);
    }
    owned_ = std::move(next);
}

// Owners are worked out again only where they may have changed: weighing every
// VM for every upstream costs far more than the change of one of them.
void ownership::update_owners(const view& current,
                              const model::catalog& catalog, base::instant now)
{
    std::map<std::string, std::vector<std::string>> members;
    std::set<std::string> changed;
    for (const auto& it : current.data_centres())
    {
        members[it] = current.members_of(it);
        if (members[it] != members_[it])
            changed.insert(it);
    }
    for (const auto& [it, vms] : members_)
        if (!vms.empty() && !members.contains(it))
            changed.insert(it);
    std::map<std::string, owner_list> next;
    for (const auto& [name, upstream] : catalog.upstreams())
    {
        const auto& at = upstream.data_centre;
        const auto before = owners_.find(name);
        const bool same =
            before != owners_.end() && before->second.data_centre == at &&
            before->second.slots == upstream.slots && !changed.contains(at);
        if (same)
        {
            next[name] = std::move(before->second);
            continue;
        }
        const auto vms = current.owners_of(upstream);
        auto& made = next[name] = {at, upstream.slots, vms, vms, now};
        if (before == owners_.end())
            continue;
        made.established = established_among(vms, before->second, now);
        if (before->second.vms == vms)
            made.changed = before->second.changed;
    }
    owners_ = std::move(next);
    members_ = std::move(members);
}

// The VMs among new owners that could work for the upstream before. When none
// could, all wait alike.
std::vector<std::string>
ownership::established_among(const std::vector<std::string>& vms,
                             const owner_list& before, base::instant now) const
{
    std::vector<std::string> out;
    for (const auto& vm : established_at(before, now))
        if (std::ranges::find(vms, vm) != vms.end())
            out.push_back(vm);
    return out.empty() ? vms : out;
}

// A new owner waits for the view to settle, then for the handover.
const std::vector<std::string>&
ownership::established_at(const owner_list& it, base::instant now) const
{
    const auto longest = options_.view_ttl + options_.handover_wait;
    return now - it.changed < longest ? it.established : it.vms;
}

// A share that shrinks in one limit holds the smaller one at once.
ownership::owned ownership::changed(const owned& before, const share& part,
                                    base::instant now) const
{
    const share used = at(before, now);
    const share held{std::min(used.slots, part.slots),
                     std::min(used.connections, part.connections)};
    const bool grows = before.part.slots < part.slots ||
                       before.part.connections < part.connections;
    return {held, part, grows ? now : before.since};
}

void ownership::confirm(base::instant at)
{
    confirmed_ = ever_confirmed_ ? std::max(confirmed_, at) : at;
    ever_confirmed_ = true;
}

void ownership::expire(base::instant now)
{
    if (!ever_confirmed_ || now - confirmed_ > options_.view_ttl)
        owned_.clear();
    ever_confirmed_ = false;
}

void ownership::set_settled(bool settled, base::instant now)
{
    if (settled && !settled_)
        for (auto& [name, it] : owned_)
            it.since = std::max(it.since, now);
    if (!settled && settled_)
        for (auto& [name, it] : owned_)
            it.held = at(it, now);
    settled_ = settled;
}

const std::vector<std::string>&
ownership::owners_of(const std::string& upstream) const
{
    static const std::vector<std::string> nobody;
    const auto it = owners_.find(upstream);
    return it == owners_.end() ? nobody : it->second.vms;
}

const std::vector<std::string>&
ownership::established_owners_of(const std::string& upstream,
                                 base::instant now) const
{
    static const std::vector<std::string> nobody;
    const auto it = owners_.find(upstream);
    return it == owners_.end() ? nobody : established_at(it->second, now);
}

share ownership::at(const owned& it, base::instant now) const
{
    const bool handed_over =
        settled_ && now - it.since >= options_.handover_wait;
    return handed_over ? it.part : it.held;
}

share ownership::usable(const std::string& upstream, base::instant now) const
{
    const auto it = owned_.find(upstream);
    if (it == owned_.end() || !ever_confirmed_)
        return {};
    if (now - confirmed_ > options_.view_ttl)
        return {};
    return at(it->second, now);
}

bool ownership::owns(const std::string& upstream) const
{
    return owned_.contains(upstream);
}

} // namespace mimosacroft::fleet
