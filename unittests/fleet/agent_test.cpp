// Tests of agents that act together, in virtual time.
#include "virtual_fleet.hpp"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;
using namespace mimosacroft::tests;

namespace
{

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

std::uint64_t bytes_of(const virtual_fleet::member& it)
{
    std::uint64_t out = 0;
    for (const auto& kind : it.traffic_of)
        out += kind.bytes();
    return out;
}

constexpr std::size_t large_data_centre = 97; ///< VMs, of 580 in 6
constexpr std::size_t vms_of_two = 2 * large_data_centre;
constexpr base::seconds change_gap{58}; ///< 1,500 changes a day
constexpr std::uint64_t control_bytes_a_second = 2048;

} // namespace

TEST_GROUP(agents){};

// A whole second passes before the next digests, so that only asking tells.
TEST(agents, a_vm_that_asks_hears_who_has_a_version_in_force)
{
    virtual_fleet all(9, 3, 1);
    all.start_all();
    all.run(base::seconds(10));
    const auto version =
        all.platform.put("search", "wait", search_value("wait", 100));
    all.changed();
    while (holders(all, "wait", version) < all.members.size())
        all.run(base::milliseconds(10));
    all.pause(5);
    all.with(0, [&](fleet::agent& it, core::effects& out)
             { it.ask_behind(version, all.now, out); });
    all.run(base::milliseconds(100));
    for (const auto& [vm, it] : all.members[0].agent->peers())
        if (vm != all.members[5].agent->options().vm)
            CHECK(it.config_version >= version);
}

TEST(agents, a_change_is_in_force_everywhere_and_only_watchers_call)
{
    virtual_fleet all(18, 3, 1);
    all.platform.put("upstream", "u", upstream_value("u-a"));
    all.start_all();
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
    all.platform.put("upstream", "u", upstream_value("u-a"));
    all.start_all();
    all.run(base::seconds(10));
    std::uint32_t slots = 0;
    for (const auto& it : all.members)
        slots += it.agent->ownership().usable("u", all.now).slots;
    LONGS_EQUAL(2, slots);
}

TEST(agents, a_vm_that_left_the_list_hears_so_from_its_peers)
{
    virtual_fleet all(4, 1, 1);
    all.start_all();
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
    all.platform.put("upstream", "u", upstream_value("u-a"));
    const auto vms = all.platform.vms;
    all.platform.set_vms({});
    all.start_all();
    all.run(base::seconds(3));
    all.platform.set_vms(vms);
    all.run(base::seconds(10));
    for (const auto& it : all.members)
        CHECK(it.agent->lease().settled());
}

TEST(agents, the_busiest_vm_keeps_its_bytes_in_large_data_centres)
{
    virtual_fleet all(vms_of_two, 2, 1);
    // Objects of the size that upstreams with 8 servers have.
    auto value = upstream_value("u-a");
    for (int n = 0; n < 7; ++n)
        value["spec"]["servers"].push_back(
            {{"name", "u-" + std::to_string(n)}, {"address", "127.0.0.1:3"}});
    all.platform.put("upstream", "u", value);
    all.start_all();
    all.run(base::seconds(10));
    for (auto& it : all.members)
        it.traffic_of = {};
    const auto version = all.platform.put("upstream", "u", value);
    all.changed();
    all.run(change_gap);
    for (const auto& it : all.members)
    {
        CHECK(bytes_of(it) <= control_bytes_a_second * change_gap.count());
        LONGS_EQUAL(version, it.agent->store().through());
    }
}

TEST(agents, a_change_passes_lost_vms_of_a_cut_data_centre_within_5_s)
{
    virtual_fleet all(vms_of_two, 2, 1);
    all.platform.put("upstream", "u", upstream_value("u-a"));
    all.start_all();
    all.run(base::seconds(10));
    all.passes = [&all](std::size_t from, std::size_t to)
    {
        const auto n = all.members.size();
        const bool platform = from == n || to == n;
        return !platform || std::min(from, to) % 2 == 1;
    };
    all.run(base::seconds(10));
    // A watcher and a pair of parents of the cut data centre, unnoticed yet.
    const std::set<std::size_t> lost{0, 4, 6};
    for (const auto n : lost)
        all.pause(n);
    const auto version = all.platform.put("search", "s", search_value("s", 5));
    all.changed();
    all.run(base::seconds(5));
    LONGS_EQUAL(vms_of_two - lost.size(), holders(all, "s", version));
}

TEST(agents, an_ack_repeats_no_row_of_its_probe)
{
    virtual_fleet all(6, 1, 1);
    all.start_all();
    all.run(base::seconds(10));
    const auto& prober = all.members[3].options;
    std::size_t acks = 0;
    const auto answer = [&](fleet::agent& it, core::effects& out)
    {
        wire::digest probe;
        probe.sequence = 1;
        probe.heartbeat = 1000;
        probe.members = {
            it.members().row_of(all.members[4].options.vm, all.now)};
        it.on_message(prober.vm, prober.incarnation, probe, all.now, out);
        for (const auto& effect : out)
        {
            const auto* sent = std::get_if<core::send_peer>(&effect);
            const auto* ack =
                sent ? std::get_if<wire::digest>(&sent->msg) : nullptr;
            if (!ack || !ack->ack)
                continue;
            ++acks;
            CHECK(!ack->members.empty());
            for (const auto& row : ack->members)
                CHECK(row.vm != prober.vm && row.vm != probe.members[0].vm);
        }
    };
    all.with(2, answer);
    LONGS_EQUAL(1, acks);
}
