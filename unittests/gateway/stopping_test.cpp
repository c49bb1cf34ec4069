// Tests of a planned stop: what is still taken, and when the last query ends.
#include "gateway_fixture.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace gateway_test;
using gateway::execution_semantics;
using gateway::refusal;

TEST_GROUP(stopping)
{
    gateway_harness b{
        {single(execution_semantics::at_most_once), scattered(4)}};

    TEST_SETUP()
    {
        b.add_server("x", "desk");
        b.add_shards(4);
    }

    /// Requests are refused after `taking`, and the last query ends 2.5 s
    /// later.
    void stop(milliseconds taking)
    {
        const auto refuse_from = b.now + taking;
        b.subject.plan_stop({refuse_from, refuse_from + milliseconds(2'500)});
    }
};

// Guards against requests that come late in the grace of a planned stop: they
// were passed on and cut at its end, without an answer.
TEST(stopping, a_request_that_comes_late_is_refused_as_not_run)
{
    stop(milliseconds(3'000));
    LONGS_EQUAL(1, b.open("/one/q").sends.size());
    b.now += milliseconds(3'000);
    for (const char* target : {"/one/q", "/all/q"})
    {
        const auto out = b.open(target);
        CHECK(out.sends.empty());
        CHECK(gateway_harness::refusal_in(out) == refusal::stopping);
    }
}

// The same for a request that comes in time and can't be done in time.
TEST(stopping, a_request_that_takes_longer_than_is_left_is_refused_at_once)
{
    for (int n = 0; n < 30; ++n)
    {
        const auto out = b.open("/one/q", milliseconds(8'000));
        b.now += milliseconds(2'900);
        b.reply(out.sends.at(0).number);
    }
    stop(milliseconds(3'000));
    LONGS_EQUAL(1, b.open("/one/q", milliseconds(8'000)).sends.size());
    b.now += milliseconds(2'900);
    const auto out = b.open("/one/q", milliseconds(8'000));
    CHECK(out.sends.empty());
    CHECK(gateway_harness::refusal_in(out) == refusal::stopping);
}

// What was taken before has its answer before the process ends, and its servers
// know by when.
TEST(stopping, every_query_ends_before_the_process_does)
{
    const auto before = b.open("/one/q", milliseconds(9'000));
    b.open("/all/q", milliseconds(9'000));
    stop(milliseconds(1'000));
    const auto after = b.open("/one/q", milliseconds(9'000));
    CHECK(after.sends.at(0).time_left <= milliseconds(3'500));
    auto out = b.tick(milliseconds(3'499));
    CHECK(out.answers.size() < 3);
    out = b.tick(milliseconds(1));
    for (const auto& it : out.answers)
        CHECK(std::get<gateway::refused>(it.reply).why == refusal::timed_out);
    LONGS_EQUAL(0, b.subject.open_queries());
    CHECK(before.answers.empty());
}

// What is in for a query over shards is delivered at the end.
TEST(stopping, shards_that_are_in_are_delivered_at_the_end)
{
    gateway_harness slow{{scattered(4)},
                         []
                         {
                             auto out = gateway_harness::make_options();
                             out.use.partial_answers = false;
                             return out;
                         }()};
    slow.add_shards(4);
    const auto out = slow.open("/all/q", milliseconds(9'000));
    for (std::size_t n = 0; n < 3; ++n)
        slow.reply(out.sends.at(n).number);
    slow.subject.plan_stop({slow.now, slow.now + milliseconds(1'000)});
    const auto last = slow.tick(milliseconds(1'000));
    CHECK(gateway_harness::merged_in(last) != nullptr);
}

// Whatever comes when during a stop: each request is answered, at once or by
// the end, and nothing is sent for one that came too late.
TEST(stopping, each_request_is_answered_by_the_end)
{
    CHECK(rc::check(
        [](const std::vector<std::uint8_t>& steps)
        {
            gateway_harness one{{single(execution_semantics::at_most_once)},
                                gateway_harness::make_options(),
                                {{"desk", 4}}};
            one.add_server("x", "desk");
            const auto refuse_from = one.now + milliseconds(3'000);
            const auto end = refuse_from + milliseconds(2'500);
            one.subject.plan_stop({refuse_from, end});
            std::size_t asked = 0;
            std::size_t answered = 0;
            for (const auto step : steps)
            {
                answered +=
                    one.tick(milliseconds(10 * (step % 64))).answers.size();
                const auto out = one.open("/one/q", milliseconds(9'000));
                ++asked;
                answered += out.answers.size();
                RC_ASSERT(one.now < refuse_from || out.sends.empty());
                if (step >= 128 && !out.sends.empty())
                    answered += one.reply(out.sends[0].number).answers.size();
            }
            if (one.now < end)
                answered += one.tick(std::chrono::duration_cast<milliseconds>(
                                         end - one.now))
                                .answers.size();
            RC_ASSERT(answered == asked);
            RC_ASSERT(one.subject.open_queries() == 0U);
        }));
}
