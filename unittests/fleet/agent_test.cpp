// Tests of agents that act together, in virtual time.
#include "virtual_fleet.hpp"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;
using namespace mimosacroft::tests;

namespace
{

nlohmann::json search_value(const std::string& name, unsigned deadline)
{
    return {{"kind", "search"},
            {"name", name},
            {"spec",
             {{"index", "i"},
              {"max_deadline_ms", 60000},
              {"default_deadline_ms", deadline}}}};
}

nlohmann::json upstream_value(const std::string& name,
                              const std::string& data_centre)
{
    return {
        {"kind", "upstream"},
        {"name", name},
        {"spec",
         {{"data_centre", data_centre},
          {"servers", {{{"name", name + "-a"}, {"address", "127.0.0.1:3"}}}}}}};
}

void start_all(virtual_fleet& it)
{
    for (std::size_t n = 0; n < it.members.size(); ++n)
        it.start(n);
}

std::uint64_t version_of(const fleet::agent& it, const std::string& name)
{
    const auto* entry = it.store().find("search", name);
    return entry ? entry->version : 0;
}

// How many VMs hold this version of a search.
std::size_t holders(const virtual_fleet& all, const std::string& name,
                    std::uint64_t version)
{
    std::size_t n = 0;
    for (const auto& it : all.members)
        n += it.agent && version_of(*it.agent, name) == version ? 1 : 0;
    return n;
}

} // namespace

TEST_GROUP(agents){};

TEST(agents, a_change_is_in_force_everywhere_and_only_watchers_call)
{
    virtual_fleet all(18, 3, 1);
    all.platform.put("upstream", "u", upstream_value("u", "dc-0"));
    start_all(all);
    all.run(base::seconds(10));
    for (auto& it : all.members)
        it.platform_calls = 0;
    const auto version = all.platform.put("search", "s", search_value("s", 5));
    all.changed();
    all.run(base::seconds(5));
    LONGS_EQUAL(18, holders(all, "s", version));
    std::size_t callers = 0;
    for (const auto& it : all.members)
    {
        callers += it.platform_calls > 0 ? 1 : 0;
        LONGS_EQUAL(version, it.agent->store().through());
    }
    LONGS_EQUAL(6, callers);
}

TEST(agents, owners_are_usable_once_the_view_is_settled)
{
    virtual_fleet all(3, 1, 1);
    all.platform.put("upstream", "u", upstream_value("u", "dc-0"));
    start_all(all);
    all.run(base::seconds(10));
    std::uint32_t slots = 0;
    for (const auto& it : all.members)
        slots += it.agent->ownership().usable("u", all.now).slots;
    LONGS_EQUAL(2, slots);
}

TEST(agents, a_vm_that_left_the_list_hears_so_from_its_peers)
{
    virtual_fleet all(4, 1, 1);
    start_all(all);
    all.run(base::seconds(10));
    all.passes = [](std::size_t from, std::size_t to)
    { return (from != 3 || to != 4) && (from != 4 || to != 3); };
    auto shorter = all.platform.vms;
    shorter.pop_back();
    all.platform.set_vms(shorter);
    all.run(base::seconds(5));
    LONGS_EQUAL(3, all.members[3].agent->view().entries().size());
}

TEST(agents, a_view_settles_after_one_without_vms)
{
    virtual_fleet all(3, 1, 1);
    all.platform.put("upstream", "u", upstream_value("u", "dc-0"));
    const auto vms = all.platform.vms;
    all.platform.set_vms({});
    start_all(all);
    all.run(base::seconds(3));
    all.platform.set_vms(vms);
    all.run(base::seconds(10));
    for (const auto& it : all.members)
        CHECK(it.agent->lease().settled());
}
