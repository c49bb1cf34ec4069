// Tests of answers of the platform that are older than earlier ones: the cursor
// alone, and what an agent makes of them.
#include "virtual_fleet.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace mimosacroft;
using namespace mimosacroft::tests;
using base::seconds;
using fleet::watch_answer;

TEST_GROUP(watch_cursor){};

TEST(watch_cursor, follows_newer_answers)
{
    fleet::watch_cursor cursor;
    CHECK(cursor.take(0, 5) == watch_answer::current);
    CHECK(cursor.take(5, 5) == watch_answer::current);
    CHECK(cursor.take(5, 9) == watch_answer::current);
    LONGS_EQUAL(9, cursor.after());
}

TEST(watch_cursor, a_stale_answer_moves_nothing)
{
    fleet::watch_cursor cursor;
    cursor.take(0, 5);
    CHECK(cursor.take(5, 3) == watch_answer::first_stale);
    CHECK(cursor.take(5, 3) == watch_answer::stale);
    CHECK(cursor.in_doubt());
    LONGS_EQUAL(5, cursor.after());
    CHECK(cursor.take(5, 6) == watch_answer::current);
    CHECK_FALSE(cursor.in_doubt());
}

TEST(watch_cursor, stale_answers_in_between_do_not_add_up)
{
    fleet::watch_cursor cursor;
    cursor.take(0, 5);
    for (unsigned k = 0; k < 10; ++k)
    {
        CHECK(cursor.take(5, 3) == watch_answer::first_stale);
        CHECK(cursor.take(5, 5) == watch_answer::current);
    }
}

TEST(watch_cursor, an_older_store_is_read_from_the_beginning)
{
    fleet::watch_cursor cursor;
    cursor.take(0, 5);
    cursor.take(5, 3);
    cursor.take(5, 3);
    CHECK(cursor.take(5, 3) == watch_answer::store_older);
    LONGS_EQUAL(0, cursor.after());
    CHECK(cursor.take(0, 3) == watch_answer::current);
    LONGS_EQUAL(3, cursor.after());
}

// One VM with search "s" at version 2, and the events that follow.
TEST_GROUP(older_platform)
{
    virtual_fleet all{1, 1, 1};
    std::map<core::event_id, unsigned> events;
    decltype(fake_platform::objects) old_objects;

    void setup() override
    {
        all.platform.put("search", "s", search_value("s", 100));
        old_objects = all.platform.objects;
        all.platform.put("search", "s", search_value("s", 200));
        all.start(0);
        all.run(seconds(10));
        all.on_event = [this](std::size_t, const core::log_event& it)
        { ++events[it.id]; };
    }

    void restore()
    {
        all.platform.objects = old_objects;
        all.platform.version = 1;
    }

    void restore_stating_era()
    {
        restore();
        ++all.platform.era;
        all.platform.since = all.platform.version;
    }

    const fleet::agent& agent() const
    {
        return *all.members[0].agent;
    }

    std::uint32_t deadline_in_force() const
    {
        return agent().catalog().find_search("s")->default_deadline_ms;
    }
};

TEST(older_platform, one_stale_answer_is_logged_and_not_applied)
{
    const auto objects = all.platform.objects;
    restore();
    for (int k = 0; k < 200 && events[core::event_id::platform_stale] == 0; ++k)
        all.run(base::milliseconds(50));
    all.platform.objects = objects;
    all.platform.version = 2;
    all.run(seconds(10));
    LONGS_EQUAL(1, events[core::event_id::platform_stale]);
    LONGS_EQUAL(0, events[core::event_id::platform_older]);
    LONGS_EQUAL(200, deadline_in_force());
}

TEST(older_platform, a_restored_store_is_logged_and_not_applied)
{
    restore();
    all.run(seconds(30));
    LONGS_EQUAL(1, events[core::event_id::platform_older]);
    CHECK(events[core::event_id::object_older] > 0);
    LONGS_EQUAL(200, deadline_in_force());
    LONGS_EQUAL(2, agent().store().find("search", "s")->version);
}

TEST(older_platform, a_change_in_a_restored_store_is_taken)
{
    restore();
    all.run(seconds(30));
    all.platform.version = 2;
    all.platform.put("search", "s", search_value("s", 300));
    all.changed();
    all.run(seconds(5));
    LONGS_EQUAL(300, deadline_in_force());
}

// Guards against CONFIG of 2026-12-04 for mimosad: after the platform came back
// from a copy, a change that it acknowledged at a version given out before was
// not in force.
TEST(older_platform, a_change_at_a_version_used_before_a_copy_is_taken)
{
    restore_stating_era();
    all.platform.put("search", "s", search_value("s", 300));
    all.changed();
    all.run(seconds(5));
    LONGS_EQUAL(300, deadline_in_force());
}

// Guards against CONFIG of 2026-12-04 for mimosad: by its next call, the
// versions may have passed the one that it knows.
TEST(older_platform, changes_of_a_later_era_are_all_taken)
{
    restore_stating_era();
    auto other = search_value("s", 50);
    other["name"] = "t";
    all.platform.put("search", "t", other);
    all.platform.put("search", "s", search_value("s", 300));
    all.changed();
    all.run(seconds(5));
    LONGS_EQUAL(300, deadline_in_force());
    CHECK(agent().catalog().find_search("t") != nullptr);
}

// Guards against CONFIG of 2026-12-04 for mimosad: what a copy holds in an
// older version must not come back into force.
TEST(older_platform, an_older_object_from_a_copy_is_not_taken)
{
    restore_stating_era();
    all.changed();
    all.run(seconds(10));
    LONGS_EQUAL(1, events[core::event_id::platform_older]);
    LONGS_EQUAL(200, deadline_in_force());
    restore_stating_era();
    all.platform.put("search", "s", search_value("s", 300));
    all.changed();
    all.run(seconds(5));
    LONGS_EQUAL(300, deadline_in_force());
}

TEST(older_platform, changes_of_a_store_that_grew_unseen_are_all_taken)
{
    restore();
    all.platform.down = true;
    all.changed();
    all.run(seconds(20));
    auto other = search_value("s", 50);
    other["name"] = "t";
    all.platform.put("search", "t", other); // version 2, as in the old store
    all.platform.put("search", "s", search_value("s", 300));
    all.platform.down = false;
    all.run(seconds(20));
    LONGS_EQUAL(300, deadline_in_force());
    CHECK(agent().catalog().find_search("t") != nullptr);
}

TEST(older_platform, an_older_list_without_vms_is_logged_and_not_applied)
{
    all.platform.set_vms(all.platform.vms);
    all.run(seconds(2));
    all.platform.set_vms({});
    all.platform.vms_version = 1;
    all.run(seconds(5));
    LONGS_EQUAL(1, events[core::event_id::view_older]);
    LONGS_EQUAL(1, agent().view().entries().size());
}
