// What this VM is doing.
#include "mimosacroft/daemon/status_page.hpp"

#include "mimosacroft/base/clock.hpp"

#include <algorithm>
#include <map>
#include <sstream>

namespace mimosacroft::daemon
{

namespace
{

/// A VM that was not heard for longer is named on the page.
constexpr base::seconds silent_after{5};

std::string seconds(base::duration it)
{
    return std::to_string(base::to_ms(it) / 1000) + " s";
}

std::string age(base::instant at)
{
    return at == base::never ? "never" : seconds(base::now() - at) + " ago";
}

std::string milliseconds(base::duration it)
{
    return std::to_string(base::to_ms(it)) + " ms";
}

std::string count(std::size_t n, const std::string& one,
                  const std::string& more)
{
    return std::to_string(n) + " " + (n == 1 ? one : more);
}

std::string count(std::size_t n, const std::string& noun)
{
    return count(n, noun, noun + "s");
}

// When each server of the catalogue replied last.
std::map<std::string, base::instant> servers_heard(const runtime& rt)
{
    std::map<std::string, base::instant> out;
    for (const auto& [name, upstream] : rt.node().fleet().catalog().upstreams())
        for (const auto& it : upstream.servers)
            out[it.name] = rt.server_heard(it.address);
    return out;
}

std::string platform_sentence(const fleet::agent& it)
{
    if (it.platform_heard() == base::never)
        return "The platform has not answered since this VM started.";
    if (it.platform_ok())
        return "The platform answers; it was last heard " +
               age(it.platform_heard()) + ".";
    return "The platform has not answered for " +
           seconds(base::now() - it.platform_heard()) +
           "; this VM goes on with the configuration that it has.";
}

std::string older_store_sentence(const older_store& it)
{
    return "The platform's store came back older " + age(it.seen) +
           ": it was at version " + std::to_string(it.version) + ". Version " +
           std::to_string(it.in_force) +
           " stays in force, and what the platform holds in older versions is "
           "not taken.";
}

std::string configuration_sentence(const runtime& rt)
{
    const auto version = rt.node().fleet().store().through();
    if (version == 0)
        return "It has no configuration yet, so it cannot serve.";
    return "The configuration in force is version " + std::to_string(version) +
           ", which came " + age(rt.config_changed()) + ".";
}

void write_lacking(std::ostream& out,
                   const std::map<std::string, std::size_t>& lacking)
{
    if (lacking.empty())
    {
        out << "Nothing was missing in them.\n";
        return;
    }
    const auto most = std::ranges::max_element(lacking, {}, [](const auto& it)
                                               { return it.second; });
    out << count(lacking.size(), "shard")
        << " were missing in some of them, most often " << most->first
        << " (in " << most->second << ").\n";
}

// How fast and how whole the answers of the last minute were.
void write_answers(std::ostream& out, const recent_summary& it)
{
    if (it.answers == 0)
    {
        out << "It has answered nobody in the last minute.\n";
        return;
    }
    out << "In the last " << seconds(it.covers) << " it gave "
        << count(it.answers, "answer") << ", half of them within "
        << milliseconds(it.median) << " and 99 of 100 within "
        << milliseconds(it.p99) << ".\n";
    for (const auto& [outcome, n] : it.outcomes)
        if (outcome != model::outcome::answered)
            out << "Of these, " << n << " ended as " << base::name_of(outcome)
                << ".\n";
    write_lacking(out, it.lacking);
    if (it.slowest.empty())
        return;
    out << "The slowest servers in them were";
    for (const auto& server : it.slowest)
        out << (&server == &it.slowest.front() ? " " : ", ") << server.server
            << " (" << milliseconds(server.mean) << " on average)";
    out << ".\n";
}

void write_leaving(std::ostream& out, const fleet::agent& it)
{
    for (const auto& [name, upstream] : it.catalog().upstreams())
        for (const auto& server : upstream.servers)
            if (server.leaving)
                out << "The server " << server.name << " of " << name
                    << " is leaving and gets no new work.\n";
    for (const auto& vm : it.view().entries())
        if (vm.leaving || it.is_draining(vm.vm))
            out << "The entry VM " << vm.vm << " is leaving.\n";
}

// The work of this VM on servers.
void write_leaf(std::ostream& out, const runtime& rt)
{
    const auto it = rt.node().leaf().stats(base::now());
    out << "Since it started " << age(rt.started()) << " it has sent "
        << count(it.first_attempts, "subquery", "subqueries") << " to servers, "
        << it.hedges
        << " of them a second time because the first server was slow and "
        << it.retries << " again after a failure; " << it.refusals
        << " were refused early for overload and "
        << count(it.bad_answers, "answer") << " did not fit.\n"
        << count(it.waiting, "subquery", "subqueries")
        << " wait for a server right now.\n";
    const auto heard = servers_heard(rt);
    for (const auto& server : it.servers)
    {
        if (!server.ejected && server.held == 0)
            continue;
        out << "The server " << server.server
            << (server.ejected ? " fails and gets no work for a while"
                               : " still has calls that were given up")
            << " (" << count(server.in_flight, "call")
            << " on their way right now); it last replied "
            << age(heard.at(server.server)) << ".\n";
    }
}

nlohmann::json leaf_json(const runtime& rt)
{
    const auto it = rt.node().leaf().stats(base::now());
    const auto heard = servers_heard(rt);
    auto servers = nlohmann::json::array();
    for (const auto& server : it.servers)
    {
        auto& row = servers.emplace_back(
            nlohmann::json{{"server", server.server},
                           {"in_flight", server.in_flight},
                           {"given_up", server.held},
                           {"ejected", server.ejected},
                           {"mean_ms", server.latency_ms},
                           {"high_ms", server.high_latency_ms}});
        const auto at = heard.at(server.server);
        if (at != base::never)
            row["heard_ms"] = base::to_ms(base::now() - at);
    }
    return {{"since_ms", base::to_ms(base::now() - rt.started())},
            {"first_attempts", it.first_attempts},
            {"hedges", it.hedges},
            {"retries", it.retries},
            {"refusals", it.refusals},
            {"cancels", it.cancels},
            {"bad_answers", it.bad_answers},
            {"waiting", it.waiting},
            {"servers", std::move(servers)}};
}

void write_suspected(std::ostream& out, const fleet::agent& it)
{
    for (const auto& vm : it.view().entries())
        if (it.is_suspected(vm.vm, base::now()))
            out << "The entry VM " << vm.vm
                << " is suspected to be down: it has not answered for "
                << seconds(base::now() - it.members().doubted_since(vm.vm))
                << ", and no other VM has heard of it since.\n";
}

void write_peers(std::ostream& out, const fleet::agent& it)
{
    out << "It knows " << count(it.view().entries().size(), "entry VM")
        << ", itself included.\n";
    for (const auto& vm : it.view().entries())
    {
        const auto peer = it.peers().find(vm.vm);
        if (vm.vm == it.options().vm)
            continue;
        if (peer == it.peers().end())
            out << "It has not heard from " << vm.vm << " yet.\n";
        else if (base::now() - peer->second.heard > silent_after)
            out << "It has not heard from " << vm.vm << " for "
                << seconds(base::now() - peer->second.heard) << ".\n";
        else if (peer->second.config_version < it.store().through())
            out << vm.vm << " had version " << peer->second.config_version
                << " of the configuration " << age(peer->second.heard) << ".\n";
    }
}

nlohmann::json answers_json(const recent_summary& it)
{
    auto outcomes = nlohmann::json::object();
    for (const auto& [outcome, n] : it.outcomes)
        outcomes[std::string(base::name_of(outcome))] = n;
    auto slowest = nlohmann::json::array();
    for (const auto& server : it.slowest)
        slowest.push_back({{"server", server.server},
                           {"mean_ms", base::to_ms(server.mean)},
                           {"calls", server.calls}});
    return {{"answers", it.answers},
            {"covers_ms", base::to_ms(it.covers)},
            {"p50_ms", base::to_ms(it.median)},
            {"p99_ms", base::to_ms(it.p99)},
            {"outcomes", std::move(outcomes)},
            {"lacking", it.lacking},
            {"slowest_servers", std::move(slowest)}};
}

} // namespace

std::string status_text(const runtime& rt)
{
    const auto& node = rt.node();
    const auto& fleet = node.fleet();
    const auto& catalog = fleet.catalog();
    std::ostringstream out;
    out << "This is the entry VM " << fleet.options().vm
        << " in the data centre " << fleet.options().data_centre << ".\n";
    if (node.draining())
        out << "It is stopping: it finishes what it has and takes no new "
               "work.\n";
    out << "It offers " << catalog.searches().size() << " searches"
        << " over the indexes of "
        << count(catalog.upstreams().size(), "upstream") << ".\n"
        << "It is working on " << count(node.root().open(), "request")
        << " of callers right now.\n";
    write_answers(out, rt.recent().summary(base::now()));
    write_leaf(out, rt);
    write_leaving(out, fleet);
    out << configuration_sentence(rt) << "\n"
        << platform_sentence(fleet) << "\n";
    if (rt.platform_older())
        out << older_store_sentence(*rt.platform_older()) << "\n";
    write_peers(out, fleet);
    write_suspected(out, fleet);
    for (const auto& [key, it] : fleet.store().refusals())
        out << "The " << key.first << " " << key.second << " in version "
            << it.version << " is not valid (" << it.reason
            << "); the last good one stays in force.\n";
    return out.str();
}

nlohmann::json status_json(const runtime& rt)
{
    const auto& node = rt.node();
    const auto& fleet = node.fleet();
    auto vms = nlohmann::json::array();
    for (const auto& it : fleet.view().entries())
    {
        nlohmann::json row = {
            {"vm", it.vm},
            {"data_centre", it.data_centre},
            {"leaving", it.leaving},
            {"draining", fleet.is_draining(it.vm)},
            {"suspected", fleet.is_suspected(it.vm, base::now())}};
        const auto doubted = fleet.members().doubted_since(it.vm);
        if (doubted != base::never)
            row["unanswered_ms"] = base::to_ms(base::now() - doubted);
        const auto peer = fleet.peers().find(it.vm);
        if (it.vm == fleet.options().vm)
            row["config_version"] = fleet.store().through();
        else if (peer != fleet.peers().end())
        {
            row["config_version"] = peer->second.config_version;
            row["heard_ms"] = base::to_ms(base::now() - peer->second.heard);
        }
        vms.push_back(std::move(row));
    }
    auto refused = nlohmann::json::array();
    for (const auto& [key, it] : fleet.store().refusals())
        refused.push_back({{"kind", key.first},
                           {"name", key.second},
                           {"version", it.version},
                           {"reason", it.reason}});
    nlohmann::json out = {
        {"vm", fleet.options().vm},
        {"data_centre", fleet.options().data_centre},
        {"config_version", fleet.store().through()},
        {"view_version", fleet.view().version()},
        {"platform_ok", fleet.platform_ok()},
        {"recent", answers_json(rt.recent().summary(base::now()))},
        {"open_requests", node.root().open()},
        {"open_forwards", node.leaf().open()},
        {"draining", node.draining()},
        {"leaf", leaf_json(rt)},
        {"refused", std::move(refused)},
        {"vms", std::move(vms)}};
    if (fleet.store().through() > 0)
        out["config_age_ms"] = base::to_ms(base::now() - rt.config_changed());
    if (rt.platform_older())
        out["platform_older"] = {
            {"version", rt.platform_older()->version},
            {"in_force", rt.platform_older()->in_force},
            {"age_ms", base::to_ms(base::now() - rt.platform_older()->seen)}};
    if (fleet.platform_heard() != base::never)
        out["platform_heard_ms"] =
            base::to_ms(base::now() - fleet.platform_heard());
    return out;
}

} // namespace mimosacroft::daemon
