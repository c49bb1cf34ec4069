// Tests of what a VM knows about the others: the table alone, and suspicion
// between agents in virtual time.
#include "virtual_fleet.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace mimosacroft;
using namespace mimosacroft::tests;
using base::milliseconds;
using base::seconds;

namespace
{

constexpr base::instant test_start{seconds(10'000)};

// A table in which a probe of "b" has failed at test_start.
fleet::member_table table_with_doubt()
{
    fleet::member_table out;
    out.on_probe_sent("b", 1, test_start - milliseconds(1000));
    out.on_tick(test_start);
    return out;
}

wire::member_row row_of_b(std::uint64_t incarnation, std::uint64_t heartbeat,
                          std::uint32_t age_s)
{
    return {"b", incarnation, heartbeat, 0, age_s};
}

// How many VMs suspect VM `n`.
long suspecting(const virtual_fleet& all, std::size_t n)
{
    const auto& vm = all.members[n].options.vm;
    return std::ranges::count_if(
        all.members,
        [&](const auto& it) { return it.agent->is_suspected(vm, all.now); });
}

// How often any VM that was not suspected by another one came to be.
class suspicion_counter
{
public:
    void check(const virtual_fleet& all)
    {
        std::set<std::pair<std::size_t, std::size_t>> now;
        for (std::size_t n = 0; n < all.members.size(); ++n)
            for (std::size_t k = 0; k < all.members.size(); ++k)
                if (all.members[n].agent->is_suspected(
                        all.members[k].options.vm, all.now))
                    now.insert({n, k});
        for (const auto& it : now)
            starts += suspected_.contains(it) ? 0 : 1;
        suspected_ = std::move(now);
    }

    long starts = 0;

private:
    std::set<std::pair<std::size_t, std::size_t>> suspected_;
};

} // namespace

TEST_GROUP(member_table){};

TEST(member_table, a_failed_probe_alone_is_no_suspicion)
{
    const auto table = table_with_doubt();
    LONGS_EQUAL(1, table.doubted().size());
    CHECK_FALSE(table.is_suspected("b", test_start + milliseconds(2999)));
    CHECK(table.is_suspected("b", test_start + milliseconds(3000)));
}

TEST(member_table, the_newest_doubts_come_first)
{
    fleet::member_table table;
    table.on_probe_sent("a", 1, test_start);
    table.on_tick(test_start + seconds(1));
    table.on_probe_sent("b", 2, test_start + seconds(1));
    table.on_tick(test_start + seconds(2));
    CHECK(table.doubted() == std::vector<std::string>({"b", "a"}));
}

TEST(member_table, frequent_probes_run_out_like_one)
{
    fleet::member_table table;
    for (unsigned k = 0; k < 10; ++k)
    {
        table.on_probe_sent("b", k + 1, test_start + k * milliseconds(100));
        table.on_tick(test_start + k * milliseconds(100));
    }
    table.on_tick(test_start + milliseconds(1000));
    LONGS_EQUAL(1, table.doubted().size());
}

TEST(member_table, an_answer_ends_a_suspicion)
{
    auto table = table_with_doubt();
    table.on_probe_answered("b", 1);
    CHECK_FALSE(table.is_suspected("b", test_start + seconds(10)));
}

TEST(member_table, the_word_of_another_vm_ends_a_suspicion_only_if_newer)
{
    auto table = table_with_doubt();
    table.on_row(row_of_b(7, 1, 5), test_start + seconds(4));
    CHECK(table.is_suspected("b", test_start + seconds(4)));
    table.on_row(row_of_b(7, 2, 1), test_start + seconds(4));
    CHECK_FALSE(table.is_suspected("b", test_start + seconds(4)));
}

TEST(member_table, an_older_heartbeat_changes_nothing)
{
    fleet::member_table table;
    table.on_direct("b", {7, 20, test_start, 9});
    table.on_direct("b", {7, 10, test_start + seconds(1), 8});
    table.on_row({"b", 7, 8, 10, 0}, test_start + seconds(2));
    LONGS_EQUAL(9, table.find("b")->heartbeat);
    LONGS_EQUAL(20, table.find("b")->config_version);
    CHECK(table.find("b")->heard == test_start);
}

TEST(member_table, a_restarted_vm_counts_its_heartbeats_anew)
{
    fleet::member_table table;
    table.on_direct("b", {7, 20, test_start, 90});
    table.on_direct("b", {8, 0, test_start + seconds(1), 1});
    LONGS_EQUAL(8, table.find("b")->incarnation);
    LONGS_EQUAL(0, table.find("b")->config_version);
}

TEST(member_table, an_old_rumour_brings_no_earlier_incarnation_back)
{
    fleet::member_table table;
    table.on_direct("b", {8, 30, test_start, 1});
    table.on_row(row_of_b(7, 90, 1), test_start);
    LONGS_EQUAL(8, table.find("b")->incarnation);
}

TEST(member_table, a_word_gets_no_younger_by_being_passed_on)
{
    fleet::member_table table;
    table.on_direct("b", {7, 0, test_start, 1});
    const auto row = table.row_of("b", test_start + milliseconds(1001));
    LONGS_EQUAL(2, row.age_s);
    fleet::member_table other;
    other.on_row(row, test_start + milliseconds(1001));
    CHECK(other.find("b")->heard <= test_start);
}

TEST(member_table, a_vm_outside_the_list_is_forgotten)
{
    auto table = table_with_doubt();
    table.on_direct("c", {1, 1, test_start, 1});
    table.keep_only(fleet::view(1, {{"a", "oostende", "127.0.0.1:1", false}}));
    POINTERS_EQUAL(nullptr, table.find("c"));
    LONGS_EQUAL(0, table.doubted().size());
}

TEST_GROUP(suspicion){};

TEST(suspicion, a_vm_that_ended_is_suspected_by_all)
{
    virtual_fleet all(6, 2, 1);
    all.start_all(base::seconds(10));
    all.stop(5);
    all.run(seconds(30));
    all.start(5);
    LONGS_EQUAL(5, suspecting(all, 5));
}

TEST(suspicion, a_paused_vm_is_suspected_until_it_continues)
{
    virtual_fleet all(6, 2, 1);
    all.start_all(base::seconds(10));
    all.pause(5);
    all.run(seconds(30));
    LONGS_EQUAL(5, suspecting(all, 5));
    all.resume(5);
    all.run(seconds(10));
    LONGS_EQUAL(0, suspecting(all, 5));
}

TEST(suspicion, lost_messages_suspect_no_vm_of_a_large_data_centre)
{
    virtual_fleet all(40, 1, 1);
    all.start_all(base::seconds(10));
    all.loss = 0.1;
    suspicion_counter counter;
    for (int k = 0; k < 60; ++k)
    {
        all.run(seconds(1));
        counter.check(all);
    }
    LONGS_EQUAL(0, counter.starts);
}

TEST(suspicion, a_one_way_cut_between_two_vms_suspects_neither)
{
    virtual_fleet all(40, 1, 1);
    all.start_all(base::seconds(10));
    all.passes = [](std::size_t from, std::size_t to)
    { return from != 0 || to != 1; };
    suspicion_counter counter;
    for (int k = 0; k < 120; ++k)
    {
        all.run(seconds(1));
        counter.check(all);
    }
    LONGS_EQUAL(0, counter.starts);
}

TEST(suspicion, a_one_way_cut_of_a_vm_moves_no_owner)
{
    virtual_fleet all(4, 1, 1);
    all.platform.put(
        "upstream", "u",
        {{"kind", "upstream"},
         {"name", "u"},
         {"spec",
          {{"data_centre", "dc-0"},
           {"servers", {{{"name", "a"}, {"address", "127.0.0.1:3"}}}}}}});
    all.start_all(base::seconds(10));
    const auto owners = all.members[0].agent->ownership().owners_of("u");
    const auto& cut_vm = owners.front();
    all.passes = [&](std::size_t from, std::size_t)
    { return from >= 4 || all.members[from].options.vm != cut_vm; };
    all.run(seconds(30));
    for (const auto& it : all.members)
        if (it.options.vm != cut_vm)
            CHECK(it.agent->ownership().owners_of("u") == owners);
}
