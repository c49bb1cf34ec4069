// Tests of leaving marks between agents, in virtual time.
#include "virtual_fleet.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace mimosacroft;
using namespace mimosacroft::tests;

namespace
{

// A VM hears from server "a" itself that it leaves.
void mark(virtual_fleet& it, std::size_t n, const std::string& incarnation)
{
    it.with(n, [&](auto& agent, auto&)
            { agent.mark_leaving("a", incarnation, it.now); });
}

// How many VMs give server "a" no new work.
long barring(const virtual_fleet& all)
{
    return std::ranges::count_if(all.members, [](const auto& it)
                                 { return it.agent->is_leaving("a"); });
}

} // namespace

TEST_GROUP(leaving){};

TEST(leaving, pushes_alone_reach_all_vms_of_all_data_centres)
{
    virtual_fleet all(12, 3, 1);
    for (auto& it : all.members)
        it.options.gossip_period = base::seconds(3600);
    all.start_all(base::seconds(10));
    mark(all, 4, "1");
    all.run(base::seconds(1));
    LONGS_EQUAL(12, barring(all));
}

TEST(leaving, digests_mend_lost_pushes_within_5_s)
{
    virtual_fleet all(18, 3, 1);
    all.start_all(base::seconds(10));
    all.loss = 1;
    mark(all, 4, "1");
    all.run(base::milliseconds(100));
    LONGS_EQUAL(1, barring(all));
    all.loss = 0;
    all.run(base::milliseconds(4900));
    LONGS_EQUAL(18, barring(all));
}

TEST(leaving, a_mark_spreads_within_5_s_under_loss)
{
    virtual_fleet all(60, 2, 1);
    all.start_all(base::seconds(10));
    all.loss = 0.2;
    mark(all, 7, "1");
    all.run(base::seconds(5));
    LONGS_EQUAL(60, barring(all));
}

TEST(leaving, a_mark_spreads_while_the_platform_is_away)
{
    virtual_fleet all(6, 2, 1);
    all.start_all(base::seconds(10));
    all.platform.down = true;
    all.run(base::seconds(20));
    mark(all, 3, "1");
    all.run(base::seconds(5));
    LONGS_EQUAL(6, barring(all));
}

TEST(leaving, a_cut_data_centre_learns_of_a_mark_after_the_mend)
{
    virtual_fleet all(6, 2, 1);
    all.start_all(base::seconds(10));
    all.passes = [](std::size_t from, std::size_t to)
    { return from % 2 == to % 2; };
    mark(all, 0, "1");
    all.run(base::seconds(60));
    LONGS_EQUAL(3, barring(all));
    all.passes = [](std::size_t, std::size_t) { return true; };
    all.run(base::seconds(5));
    LONGS_EQUAL(6, barring(all));
}

TEST(leaving, a_restarted_vm_gets_the_marks_from_a_peer)
{
    virtual_fleet all(3, 1, 1);
    all.start_all(base::seconds(10));
    mark(all, 0, "1");
    all.run(base::seconds(60));
    all.start(2);
    CHECK_FALSE(all.members[2].agent->is_leaving("a"));
    all.run(base::seconds(5));
    CHECK(all.members[2].agent->is_leaving("a"));
}

TEST(leaving, a_vm_restarted_in_an_outage_gets_the_marks_from_a_seed)
{
    virtual_fleet all(3, 1, 1);
    all.start_all(base::seconds(10));
    mark(all, 0, "1");
    all.run(base::seconds(60));
    all.platform.down = true;
    all.members[2].options.seeds = {all.platform.vms[0]};
    all.start(2);
    all.run(base::seconds(5));
    CHECK(all.members[2].agent->is_leaving("a"));
}

TEST(leaving, marks_outlive_the_vm_that_learned_first)
{
    virtual_fleet all(3, 1, 1);
    all.start_all(base::seconds(10));
    mark(all, 0, "1");
    all.run(base::seconds(1));
    all.stop(0);
    all.start(1);
    all.run(base::seconds(10));
    CHECK(all.members[1].agent->is_leaving("a"));
    CHECK(all.members[2].agent->is_leaving("a"));
}

TEST(leaving, an_old_rumour_bars_no_restarted_server)
{
    virtual_fleet all(3, 1, 1);
    all.start_all(base::seconds(10));
    for (std::size_t n = 0; n < 3; ++n)
        all.with(n, [&](auto& agent, auto&)
                 { agent.note_incarnation("a", "2", all.now); });
    mark(all, 0, "2");
    all.run(base::seconds(5));
    LONGS_EQUAL(3, barring(all));
    // The server restarted; one VM still passes on the mark of its last life.
    for (std::size_t n = 0; n < 3; ++n)
        all.with(n, [&](auto& agent, auto&)
                 { agent.note_incarnation("a", "3", all.now); });
    all.run(base::seconds(30));
    LONGS_EQUAL(0, barring(all));
    CHECK(all.members[2].agent->is_leaving("a", "2"));
}

TEST(leaving, marks_end_everywhere_after_the_retention)
{
    virtual_fleet all(4, 2, 1);
    all.start_all(base::seconds(10));
    const auto& from = all.members[1].options;
    const wire::leaving_push old{{{"a", "1", 3580}}};
    all.with(
        0, [&](auto& agent, auto& out)
        { agent.on_message(from.vm, from.incarnation, old, all.now, out); });
    all.run(base::seconds(5));
    LONGS_EQUAL(4, barring(all));
    all.run(base::seconds(20));
    LONGS_EQUAL(0, barring(all));
}
