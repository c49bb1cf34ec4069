// Tests of a list of VMs that comes back older: the platform was restored from
// a copy, or restarted without its versions.
#include "virtual_fleet.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace mimosacroft;
using namespace mimosacroft::tests;
using base::seconds;

// Four VMs that have used version 10 of the list for a while.
TEST_GROUP(older_list)
{
    virtual_fleet all{4, 1, 1};
    std::vector<wire::view_entry> full;
    std::uint64_t version_before = 0;

    void setup() override
    {
        full = all.platform.vms;
        all.platform.vms_version = 10;
        all.platform.put("upstream", "u", upstream_value());
        all.start_all(seconds(10));
        version_before = all.members[0].agent->view().version();
    }

    // The platform's list without its last VM, at a version.
    void restore(std::uint64_t version)
    {
        all.platform.vms = full;
        all.platform.vms.pop_back();
        all.platform.vms_version = version;
    }

    // How many VMs use a list of this length.
    long using_list_of(std::size_t vms) const
    {
        return std::ranges::count_if(
            all.members, [&](const auto& it)
            { return it.agent->view().entries().size() == vms; });
    }

    std::uint32_t slots() const
    {
        std::uint32_t out = 0;
        for (const auto& it : all.members)
            out += it.agent->ownership().usable("u", all.now).slots;
        return out;
    }
};

TEST(older_list, that_stays_is_taken_up_by_all)
{
    restore(3);
    all.run(seconds(5));
    LONGS_EQUAL(4, using_list_of(3));
    for (const auto& it : all.members)
        CHECK(it.agent->view().version() > version_before);
}

TEST(older_list, is_served_once_it_is_taken_up)
{
    restore(3);
    all.run(seconds(15));
    LONGS_EQUAL(2, slots());
}

TEST(older_list, changes_once_taken_up_like_any_other)
{
    restore(3);
    all.run(seconds(20));
    all.platform.set_vms(full);
    all.run(seconds(5));
    LONGS_EQUAL(4, using_list_of(4));
}

TEST(older_list, of_a_replica_that_lags_changes_nothing)
{
    const auto version = all.platform.vms_version;
    bool older = false;
    all.on_event = [&](std::size_t, const core::log_event& it)
    { older = older || it.id == core::event_id::view_older; };
    restore(3);
    for (int k = 0; k < 100 && !older; ++k)
        all.run(base::milliseconds(20));
    CHECK(older);
    all.platform.vms = full;
    all.platform.vms_version = version;
    all.run(seconds(20));
    LONGS_EQUAL(4, using_list_of(4));
    LONGS_EQUAL(version_before, all.members[0].agent->view().version());
}

TEST(older_list, without_vms_is_not_taken_up)
{
    all.platform.vms.clear();
    all.platform.vms_version = 1;
    all.run(seconds(30));
    LONGS_EQUAL(4, using_list_of(4));
    LONGS_EQUAL(2, slots());
}

TEST(older_list, that_grew_unseen_to_the_same_version_is_told_apart)
{
    all.platform.down = true;
    all.run(seconds(10));
    restore(10);
    all.platform.down = false;
    all.run(seconds(30));
    LONGS_EQUAL(4, using_list_of(3));
}

TEST(older_list, reaches_a_vm_that_starts_afterwards)
{
    restore(3);
    all.run(seconds(20));
    all.start(0);
    all.run(seconds(5));
    CHECK(all.members[0].agent->view().version() ==
          all.members[1].agent->view().version());
    LONGS_EQUAL(4, using_list_of(3));
}

TEST(older_list, may_come_back_older_again)
{
    restore(3);
    all.run(seconds(20));
    all.platform.vms = full;
    all.platform.vms_version = 1;
    all.run(seconds(20));
    LONGS_EQUAL(4, using_list_of(4));
}

TEST(older_list, reaches_a_vm_that_is_cut_from_the_platform)
{
    all.passes = [](std::size_t from, std::size_t to)
    { return (from != 0 || to != 4) && (from != 4 || to != 0); };
    restore(3);
    all.run(seconds(30));
    LONGS_EQUAL(4, using_list_of(3));
}

// Guards against a third list that no platform gave out: after a list came back
// older, two lists have one version, and changes to one were applied to the
// other. VMs then used more of a server than its limits.
TEST(older_list, changes_to_another_list_of_its_version_are_not_applied)
{
    auto other = full;
    other.erase(other.begin());
    const fleet::view before(11, other);
    other.pop_back();
    const fleet::view after(12, other);
    const auto changes = after.changes_since(before);
    CHECK(before.changed_by(changes)->entries() == other);
    CHECK_FALSE(fleet::view(11, full).changed_by(changes).has_value());
    // A VM with the other list asks for the whole one.
    all.with(0,
             [&](fleet::agent& agent, core::effects& out)
             {
                 auto push = changes;
                 push.base = agent.view().version();
                 push.version = push.base + 1;
                 agent.on_message(all.members[1].options.vm,
                                  all.members[1].options.incarnation, push,
                                  all.now, out);
                 LONGS_EQUAL(version_before, agent.view().version());
                 bool asked = false;
                 for (const auto& it : out)
                     if (const auto* to = std::get_if<core::send_peer>(&it))
                         if (const auto* msg =
                                 std::get_if<wire::digest>(&to->msg))
                             asked = asked || msg->view_version == 0;
                 CHECK(asked);
             });
}
