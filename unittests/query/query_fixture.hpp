// An agent with a configuration and a list of VMs, for tests of queries.
#ifndef MIMOSACROFT_UNITTESTS_QUERY_QUERY_FIXTURE_HPP
#define MIMOSACROFT_UNITTESTS_QUERY_QUERY_FIXTURE_HPP

#include "mimosacroft/fleet/agent.hpp"
#include "mimosacroft/model/schema.hpp"

#include <string>
#include <vector>

namespace mimosacroft::tests
{

inline constexpr base::instant test_start{base::seconds(1000)};

/// The first effect of a type, or null.
template <typename T>
const T* first_of(const core::effects& all)
{
    for (const auto& it : all)
        if (const auto* found = std::get_if<T>(&it))
            return found;
    return nullptr;
}

template <typename T>
std::size_t count_of(const core::effects& all)
{
    std::size_t n = 0;
    for (const auto& it : all)
        n += std::holds_alternative<T>(it) ? 1 : 0;
    return n;
}

inline fleet::agent_options options_of(const std::string& vm,
                                       const std::string& data_centre)
{
    fleet::agent_options out;
    out.vm = vm;
    out.data_centre = data_centre;
    out.incarnation = 42;
    out.platform_address = "127.0.0.1:1";
    out.ownership.handover_wait = base::milliseconds(0);
    out.ownership.orphan_wait = base::milliseconds(0);
    out.ownership.view_ttl = base::seconds(3600);
    return out;
}

/// Gives an agent resources, all in one version.
inline void declare(fleet::agent& to, std::uint64_t version,
                    const std::vector<model::resource>& all)
{
    wire::config_push push;
    push.through = version;
    for (const auto& it : all)
        push.entries.push_back({std::string(base::name_of(model::kind_of(it))),
                                model::name_of(it), version, false,
                                model::to_json(it)});
    core::effects ignored;
    to.on_config(push, test_start, ignored);
}

/// Gives an agent a list of VMs ("id" and "data centre") and confirms it.
inline void know(fleet::agent& to, std::uint64_t version,
                 const std::vector<std::pair<std::string, std::string>>& vms)
{
    wire::view_push push;
    push.version = version;
    for (const auto& [vm, data_centre] : vms)
        push.entries.push_back({vm, data_centre, "127.0.0.1:9", false});
    core::effects ignored;
    to.on_view(push, test_start, ignored);
}

inline model::upstream upstream_of(const std::string& name,
                                   const std::string& data_centre)
{
    model::upstream out;
    out.name = name;
    out.data_centre = data_centre;
    out.servers = {{name + "-a", "127.0.0.1:11", false},
                   {name + "-b", "127.0.0.1:12", false}};
    return out;
}

inline model::index index_of(const std::string& name, std::uint64_t epoch,
                             std::size_t shards,
                             const std::vector<std::string>& upstreams)
{
    model::index out;
    out.name = name;
    out.epoch = epoch;
    for (std::size_t n = 0; n < shards; ++n)
        out.shards.push_back(
            {"s" + std::to_string(n), {upstreams[n % upstreams.size()]}});
    return out;
}

inline model::search search_of(const std::string& name,
                               const std::string& index)
{
    model::search out;
    out.name = name;
    out.index = index;
    return out;
}

} // namespace mimosacroft::tests

#endif
