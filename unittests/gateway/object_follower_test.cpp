// Tests the list and watch calls for one kind of object in the store.
#include "mimosacroft/gateway/object_follower.hpp"

#include <CppUTest/TestHarness.h>
#include <optional>
#include <set>
#include <string>

using namespace mimosacroft;
using base::milliseconds;
using gateway::follow_step;

TEST_GROUP(object_follower)
{
    gateway::object_follower it{{}};
    base::instant now{base::seconds(1'000)};

    static gateway::object_batch batch(std::vector<std::string> names,
                                       std::uint64_t revision, bool more)
    {
        gateway::object_batch out;
        for (auto& name : names)
            out.changes.push_back({std::move(name), "{}", false});
        out.position.revision = revision;
        out.has_more = more;
        return out;
    }

    static std::set<std::string> names_of(
        const std::optional<gateway::object_batch>& list)
    {
        std::set<std::string> out;
        if (list)
            for (const auto& change : list->changes)
                out.insert(change.name);
        return out;
    }

    gateway::follow_call next()
    {
        if (it.next_due() != base::never)
            now = std::max(now, it.next_due());
        const auto out = it.next(now);
        CHECK(out.has_value());
        return *out;
    }
};

TEST(object_follower, lists_page_by_page_then_watches_from_the_first_page)
{
    CHECK(next().step == follow_step::list);
    CHECK_FALSE(it.on_batch(batch({"a", "b"}, 7, true), now).has_value());
    const auto page = next();
    STRCMP_EQUAL("b", page.after.c_str());
    const auto names = names_of(it.on_batch(batch({"c"}, 9, false), now));
    CHECK((names == std::set<std::string>{"a", "b", "c"}));
    const auto watch = next();
    CHECK(watch.step == follow_step::watch);
    LONGS_EQUAL(7, watch.position.revision);
}

TEST(object_follower, one_call_at_a_time_and_paced)
{
    next();
    CHECK_FALSE(it.next(now + base::seconds(60)).has_value());
    it.on_batch(batch({}, 7, false), now);
    next();
    it.on_batch(batch({"a"}, 8, false), now);
    CHECK_FALSE(it.next(now).has_value());
    CHECK(it.next_due() > now);
}

// Guards against a VM that does nothing but follow: changes came faster than it
// could apply them, and its callers got no answers.
TEST(object_follower, rests_after_changes_that_took_long_to_apply)
{
    next();
    it.on_batch(batch({"a"}, 7, false), now);
    next();
    it.on_batch(batch({"a"}, 8, false), now);
    now += milliseconds(150);
    it.on_applied(milliseconds(150), now);
    CHECK(it.next_due() == now + 3 * milliseconds(150));
    // A stop of the whole process looks the same, so that the pause is bounded.
    next();
    it.on_batch(batch({"a"}, 9, false), now);
    now += milliseconds(5'000);
    it.on_applied(milliseconds(5'000), now);
    CHECK(it.next_due() == now + milliseconds(600));
}

// A VM that starts, or has lost the history, is needed at once.
TEST(object_follower, a_list_is_read_without_a_rest)
{
    for (int n = 0; n < 2; ++n)
    {
        next();
        it.on_batch(batch({"a"}, 7, true), now);
        it.on_applied(milliseconds(150), now);
        CHECK(it.next_due() == now);
        next();
        it.on_batch(batch({"b"}, 7, false), now);
        it.on_history_gone(now);
    }
}

TEST(object_follower, lists_again_when_the_history_is_gone)
{
    next();
    it.on_batch(batch({"a"}, 7, false), now);
    next();
    it.on_history_gone(now);
    CHECK(next().step == follow_step::list);
}

TEST(object_follower, resumes_the_watch_after_failures)
{
    next();
    it.on_batch(batch({"a"}, 7, false), now);
    for (int n = 0; n < 5; ++n)
    {
        const auto watch = next();
        LONGS_EQUAL(7, watch.position.revision);
        it.on_failure(now, 1);
        CHECK(it.next_due() > now);
        CHECK(it.next_due() <= now + milliseconds(1'000));
    }
    LONGS_EQUAL(5, it.failures());
}

TEST(object_follower, a_failed_list_restarts_at_the_first_page)
{
    next();
    it.on_batch(batch({"a"}, 7, true), now);
    next();
    it.on_failure(now, 0);
    STRCMP_EQUAL("", next().after.c_str());
    const auto names = names_of(it.on_batch(batch({"b"}, 9, false), now));
    CHECK((names == std::set<std::string>{"b"}));
}

// Guards against CONFIG of 2026-12-04: the store came back from a copy between
// two pages, which then are of two different states.
TEST(object_follower, a_list_starts_again_when_the_store_comes_back_from_a_copy)
{
    next();
    it.on_batch(batch({"a", "b"}, 900, true), now);
    CHECK_FALSE(next().after.empty());
    auto page = batch({"c"}, 30, false);
    page.position.era = 2;
    CHECK_FALSE(it.on_batch(page, now).has_value());
    CHECK(next().after.empty());
    const auto list = it.on_batch(page, now);
    CHECK((names_of(list) == std::set<std::string>{"c"}));
    CHECK((it.position() == gateway::store_position{2, 30}));
}
