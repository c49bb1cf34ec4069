// What this VM is doing.
#include "mimosacroft/daemon/status_page.hpp"

#include <sstream>

namespace mimosacroft::daemon
{

namespace
{

base::instant now()
{
    return std::chrono::steady_clock::now();
}

std::string age(base::instant at)
{
    if (at == base::never)
        return "never";
    return std::to_string(base::to_ms(now() - at) / 1000) + " s ago";
}

std::string platform_sentence(const fleet::agent& it)
{
    if (it.platform_heard() == base::never)
        return "The platform has not answered since this VM started.";
    if (it.platform_ok())
        return "The platform answers; it was last heard " +
               age(it.platform_heard()) + ".";
    return "The platform does not answer; it was last heard " +
           age(it.platform_heard()) + ".";
}

} // namespace

std::string status_text(const runtime& rt)
{
    const auto& node = rt.node();
    const auto& fleet = node.fleet();
    const auto& catalog = fleet.catalog();
    std::ostringstream out;
    out << "This is the entry VM " << fleet.options().vm << " in the data "
        << "centre " << fleet.options().data_centre << ".\n"
        << "It offers " << catalog.searches().size() << " searches over "
        << catalog.indexes().size() << " indexes, served by "
        << catalog.upstreams().size() << " upstreams.\n"
        << "It is working on " << node.root().open()
        << " requests of callers right now.\n"
        << "The configuration in force is version " << fleet.store().through()
        << ".\n"
        << platform_sentence(fleet) << "\n"
        << "It knows " << fleet.view().entries().size()
        << " entry VMs, itself included.\n";
    for (const auto& [key, it] : fleet.store().refusals())
        out << "The " << key.first << " " << key.second << " in version "
            << it.version << " is not valid (" << it.reason
            << "); the last good one stays in force.\n";
    if (node.draining())
        out << "It is stopping: it takes no new requests.\n";
    return out.str();
}

nlohmann::json status_json(const runtime& rt)
{
    const auto& node = rt.node();
    const auto& fleet = node.fleet();
    auto vms = nlohmann::json::array();
    for (const auto& it : fleet.view().entries())
    {
        nlohmann::json row = {{"vm", it.vm},
                              {"data_centre", it.data_centre},
                              {"leaving", it.leaving}};
        const auto peer = fleet.peers().find(it.vm);
        if (it.vm == fleet.options().vm)
            row["config_version"] = fleet.store().through();
        else if (peer != fleet.peers().end())
        {
            row["config_version"] = peer->second.config_version;
            row["heard_ms"] = base::to_ms(now() - peer->second.heard);
        }
        vms.push_back(std::move(row));
    }
    auto refused = nlohmann::json::array();
    for (const auto& [key, it] : fleet.store().refusals())
        refused.push_back({{"kind", key.first},
                           {"name", key.second},
                           {"version", it.version},
                           {"reason", it.reason}});
    nlohmann::json out = {{"vm", fleet.options().vm},
                          {"data_centre", fleet.options().data_centre},
                          {"config_version", fleet.store().through()},
                          {"view_version", fleet.view().version()},
                          {"platform_ok", fleet.platform_ok()},
                          {"open_requests", node.root().open()},
                          {"open_forwards", node.leaf().open()},
                          {"draining", node.draining()},
                          {"refused", std::move(refused)},
                          {"vms", std::move(vms)}};
    if (fleet.platform_heard() != base::never)
        out["platform_heard_ms"] = base::to_ms(now() - fleet.platform_heard());
    return out;
}

} // namespace mimosacroft::daemon
