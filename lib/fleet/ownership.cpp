// Which upstreams this VM may work on now.
#include "mimosacroft/fleet/ownership.hpp"

#include <algorithm>

namespace mimosacroft::fleet
{

ownership::ownership(std::string self, ownership_options options)
    : self_(std::move(self)), options_(options)
{
}

void ownership::update(const view& current, const model::catalog& catalog,
                       base::instant now)
{
    std::map<std::string, owned> next;
    for (const auto& [name, upstream] : catalog.upstreams())
    {
        const auto owners = current.owners_of(upstream);
        if (std::ranges::find(owners, self_) == owners.end())
            continue;
        const share part = share_of(upstream, owners.size());
        const auto before = owned_.find(name);
        const bool grows = before == owned_.end() ||
                           before->second.part.slots < part.slots ||
                           before->second.part.connections < part.connections;
        next[name] = {part, grows ? now : before->second.since};
    }
    owned_ = std::move(next);
}

void ownership::confirm(base::instant now)
{
    confirmed_ = now;
    ever_confirmed_ = true;
}

share ownership::usable(const std::string& upstream, base::instant now) const
{
    const auto it = owned_.find(upstream);
    if (it == owned_.end() || !ever_confirmed_)
        return {};
    if (now - confirmed_ > options_.view_ttl)
        return {};
    if (now - it->second.since < options_.handover_wait)
        return {};
    return it->second.part;
}

bool ownership::owns(const std::string& upstream) const
{
    return owned_.contains(upstream);
}

} // namespace mimosacroft::fleet
