// The resources in force at a VM.
#include "mimosacroft/model/catalog.hpp"

#include <algorithm>

namespace mimosacroft::model
{

namespace
{

template <typename T>
const T* find(const std::map<std::string, T>& items, const std::string& name)
{
    const auto it = items.find(name);
    return it == items.end() ? nullptr : &it->second;
}

} // namespace

void catalog::put(const resource& value)
{
    if (const auto* s = std::get_if<search>(&value))
        searches_[s->name] = *s;
    else if (const auto* u = std::get_if<upstream>(&value))
        upstreams_[u->name] = *u;
    else if (const auto* i = std::get_if<index>(&value))
        indexes_[i->name] = *i;
    else if (const auto* r = std::get_if<rule>(&value))
        rules_[r->name] = *r;
}

void catalog::remove(resource_kind kind, const std::string& name)
{
    switch (kind)
    {
    case resource_kind::search:
        searches_.erase(name);
        break;
    case resource_kind::upstream:
        upstreams_.erase(name);
        break;
    case resource_kind::index:
        indexes_.erase(name);
        break;
    case resource_kind::rule:
        rules_.erase(name);
        break;
    }
}

const search* catalog::find_search(const std::string& name) const
{
    return find(searches_, name);
}

const upstream* catalog::find_upstream(const std::string& name) const
{
    return find(upstreams_, name);
}

const index* catalog::find_index(const std::string& name) const
{
    return find(indexes_, name);
}

const rule* catalog::find_rule(const std::string& token_sha256) const
{
    const auto it = std::ranges::find_if(
        rules_, [&token_sha256](const auto& item)
        { return item.second.token_sha256 == token_sha256; });
    return it == rules_.end() ? nullptr : &it->second;
}

bool allows(const rule& it, const std::string& search)
{
    return std::ranges::any_of(it.searches, [&search](const auto& allowed)
                               { return allowed == "*" || allowed == search; });
}

} // namespace mimosacroft::model
