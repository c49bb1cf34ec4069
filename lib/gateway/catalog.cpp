// One version of the configuration, and traffic splitting over services.
#include "mimosacroft/gateway/catalog.hpp"

#include "mimosacroft/base/text.hpp"

#include <algorithm>

namespace mimosacroft::gateway
{

namespace
{

// The credits of removed searches are not deleted one by one. Beyond this many
// searches, all credits are reset.
constexpr std::size_t max_split_searches = 4096;

std::string normalized_host(std::string_view host)
{
    std::string out(host.substr(0, host.find(':')));
    std::ranges::transform(out, out.begin(), base::to_lower);
    return out;
}

std::string key_of(std::string_view host, std::string_view prefix)
{
    std::string out(host);
    out += prefix;
    return out;
}

} // namespace

catalog::catalog(std::uint64_t version, std::vector<search> searches,
                 std::vector<service_settings> services, caller_limits limits)
    : version_(version), limits_(limits)
{
    for (auto& it : searches)
    {
        it.host = normalized_host(it.host);
        names_.insert(it.name);
        auto key = key_of(it.host, it.path_prefix);
        searches_.insert_or_assign(
            std::move(key), std::make_shared<const search>(std::move(it)));
    }
    for (auto& it : services)
    {
        auto name = it.name;
        services_.insert_or_assign(std::move(name), std::move(it));
    }
}

search_ptr catalog::match(std::string_view host, std::string_view path) const
{
    const auto name = normalized_host(host);
    path = path.substr(0, path.find_first_of("?#"));
    for (auto at = path.rfind('/'); at != std::string_view::npos;
         at = path.rfind('/', at - 1))
    {
        const auto it = searches_.find(key_of(name, path.substr(0, at + 1)));
        if (it != searches_.end())
            return it->second;
        if (at == 0)
            break;
    }
    return nullptr;
}

const service_settings* catalog::find_service(const std::string& name) const
{
    const auto it = services_.find(name);
    return it == services_.end() ? nullptr : &it->second;
}

const std::string* traffic_splitter::choose(const search& it)
{
    if (it.services.empty())
        return nullptr;
    if (it.services.size() == 1)
        return &it.services.front().service;
    if (credits_.size() > max_split_searches)
        credits_.clear();
    auto& credits = credits_[it.name];
    double total = 0;
    for (const auto& target : it.services)
    {
        credits[target.service] += target.weight;
        total += target.weight;
    }
    const auto chosen = std::ranges::max_element(
        it.services, {}, [&credits](const weighted_service& target)
        { return target.weight > 0 ? credits[target.service] : -1e300; });
    credits[chosen->service] -= total;
    return &chosen->service;
}

} // namespace mimosacroft::gateway
