// Tests of the root's decisions on epochs and outcomes.
#include "mimosacroft/query/root.hpp"

#include "query_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;
using namespace mimosacroft::tests;
using base::milliseconds;

TEST_GROUP(root)
{
    fleet::agent agent{options_of("vm-0", "oostende"), 1};
    query::scatter scatter{agent, 2};
    query::claims claims{{.vm = "vm-0", .platform_address = "127.0.0.1:1"}, 3};
    query::root root{agent, scatter, claims};
    core::effects out;

    void setup() override
    {
        know(agent, 1, {{"vm-0", "oostende"}, {"far", "antwerpen"}});
        declare(agent, 1, {upstream_of("u", "antwerpen"), search_of("s", "i")});
        set_epoch(1);
        query::search_request request;
        request.ticket = 9;
        request.search = "s";
        request.deadline = milliseconds(100);
        root.start(request, test_start, out);
    }

    void set_epoch(std::uint64_t epoch)
    {
        declare(agent, 10 + epoch, {index_of("i", epoch, 2, {"u"})});
    }

    /// The newest forward; the effects so far are dropped.
    wire::forward take_forward()
    {
        const auto* sent = first_of<core::send_peer>(out);
        CHECK_TRUE(sent);
        const auto msg = std::get<wire::forward>(sent->msg);
        out.clear();
        return msg;
    }

    /// Answers a forward: shard 0 is included, shard 1 lacks for `lack`.
    void answer(const wire::forward& to, model::lack_reason lack,
                base::instant now)
    {
        wire::forward_answer msg{to.query, to.attempt, to.epoch, {}, {}};
        msg.shards = {
            {0, true, 0, true, 0, "{}"},
            {1, false, static_cast<std::uint8_t>(lack), false, 0, ""}};
        scatter.on_answer("far", msg, now, out);
        for (auto& it : scatter.take_finished())
            root.on_scattered(it, now, out);
    }
};

TEST(root, runs_the_whole_query_again_at_a_newer_epoch)
{
    const auto first = take_forward();
    set_epoch(2);
    answer(first, model::lack_reason::wrong_epoch, test_start);
    CHECK(root.take_answers().empty());
    const auto second = take_forward();
    LONGS_EQUAL(2, second.epoch);
    LONGS_EQUAL(2, second.shards.size());
    CHECK_FALSE(second.query == first.query);
    // A late answer of the first run is not merged.
    answer(first, model::lack_reason::none, test_start);
    CHECK(root.take_answers().empty());
    answer(second, model::lack_reason::wrong_epoch, test_start);
    const auto got = root.take_answers();
    LONGS_EQUAL(1, got.size());
    LONGS_EQUAL(2, got[0].epoch);
    // The first run may have reached the shard.
    CHECK(got[0].lacking.at(0).maybe_run);
    LONGS_EQUAL(2, got[0].extra_attempts);
}

TEST(root, does_not_run_again_late_or_without_a_newer_epoch)
{
    const auto first = take_forward();
    answer(first, model::lack_reason::wrong_epoch, test_start);
    LONGS_EQUAL(1, root.take_answers().size());

    setup();
    const auto second = take_forward();
    set_epoch(2);
    answer(second, model::lack_reason::wrong_epoch,
           test_start + milliseconds(60));
    const auto got = root.take_answers();
    LONGS_EQUAL(1, got.size());
    LONGS_EQUAL(1, got[0].epoch);
    CHECK(got[0].outcome == model::outcome::partial);
}

TEST(root, answers_by_the_deadline_when_a_leaf_never_does)
{
    take_forward();
    scatter.on_tick(test_start + milliseconds(100), out);
    for (auto& it : scatter.take_finished())
        root.on_scattered(it, test_start + milliseconds(100), out);
    const auto got = root.take_answers();
    LONGS_EQUAL(1, got.size());
    CHECK(got[0].outcome == model::outcome::unknown);
    LONGS_EQUAL(2, got[0].lacking.size());
    CHECK(got[0].lacking[0].reason == model::lack_reason::timeout);
    LONGS_EQUAL(2, got[0].spans.size());
}
