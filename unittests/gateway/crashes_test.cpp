// Tests of requests under which servers end.
#include "gateway_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace gateway_test;

TEST_GROUP(crashes)
{
    gateway_harness b{
        {scattered(8), single(gateway::execution_semantics::idempotent)}};
    TEST_SETUP()
    {
        b.add_shards(8);
    }

    /// Fails all sends as if their servers had ended. Returns what follows.
    gateway::effects lose(const gateway::effects& sent)
    {
        gateway::effects out;
        for (const auto& it : sent.sends)
        {
            auto next = b.fail(it.number, gateway::send_failure::lost);
            std::ranges::move(next.sends, std::back_inserter(out.sends));
            std::ranges::move(next.answers, std::back_inserter(out.answers));
        }
        return out;
    }
};

// Guards against BUDGET of 2026-12-05 (deadly): under a request that made its
// servers crash, hedges and retries made the other replicas crash as well, and
// each attempt of its callers did it again.
TEST(crashes, a_request_under_which_servers_end_is_not_sent_on)
{
    const auto first = b.open("/all/q");
    LONGS_EQUAL(8, first.sends.size());
    // All are at work on it, so that hedges go out one at a time.
    std::size_t hedges = 0;
    for (int n = 0; n < 10; ++n)
        hedges += b.tick(milliseconds(10)).sends.size();
    CHECK(hedges >= 1);
    CHECK(hedges <= 3);
    gateway::effects all;
    for (gateway::exchange_number n = 1; n <= 8 + hedges; ++n)
        all.sends.push_back({n, "", "", {}, true, {}});
    const auto after = lose(all);
    LONGS_EQUAL(0, after.sends.size());
    CHECK(gateway_harness::refusal_in(after) == gateway::refusal::failed);

    // The next attempt costs one server at most, and the ones after it none.
    const auto probe = b.open("/all/q");
    LONGS_EQUAL(1, probe.sends.size());
    const auto verdict = lose(probe);
    LONGS_EQUAL(0, verdict.sends.size());
    CHECK(gateway_harness::refusal_in(verdict) == gateway::refusal::failed);
    const auto refused = b.open("/all/q");
    LONGS_EQUAL(0, refused.sends.size());
    CHECK(gateway_harness::refusal_in(refused) == gateway::refusal::harmful);
    // Other requests of the search go on.
    LONGS_EQUAL(8, b.open("/all/other").sends.size());
}

// Guards against a second caller whose same request came while servers were
// still at work on the first: it ended the other replicas.
TEST(crashes, other_vms_are_told_while_servers_are_still_at_work)
{
    b.subject.set_fleet({{"near", "10.0.0.8:70", "a", 0},
                         {"far-1", "10.0.0.9:70", "b", 0},
                         {"far-2", "10.0.0.10:70", "b", 0}},
                        4);
    const auto first = b.open("/all/q");
    for (std::size_t n = 0; n < 2; ++n)
        CHECK(b.fail(first.sends[n].number, gateway::send_failure::lost)
                  .news.empty());
    const auto news =
        b.fail(first.sends[2].number, gateway::send_failure::lost).news;
    // The VMs of this data centre, and one of the other, which passes it on.
    LONGS_EQUAL(2, news.size());
    CHECK_FALSE(news[0].pass_on);
    CHECK(news[1].pass_on);
    LONGS_EQUAL(1, news[1].news.crashes.size());
    // Here as well the next one is tried on one server.
    LONGS_EQUAL(1, b.open("/all/q").sends.size());

    gateway_harness other{{scattered(8)}};
    other.add_shards(8);
    gateway::effects out;
    other.subject.on_news(news[0].news, false, other.now, out);
    LONGS_EQUAL(1, other.open("/all/q").sends.size());
    LONGS_EQUAL(8, other.open("/all/other").sends.size());
}

TEST(crashes, a_suspected_request_that_a_server_answers_goes_on_at_once)
{
    lose(b.open("/all/q"));
    const auto probe = b.open("/all/q");
    LONGS_EQUAL(1, probe.sends.size());
    const auto rest = b.reply(probe.sends[0].number);
    LONGS_EQUAL(7, rest.sends.size());
    gateway::effects last;
    for (const auto& it : rest.sends)
        last = b.reply(it.number);
    LONGS_EQUAL(0, gateway_harness::merged_in(last)->missing);
    LONGS_EQUAL(8, b.open("/all/q").sends.size());
}

// Servers that end for another reason must not keep good requests from their
// answers.
TEST(crashes, a_request_that_a_server_answered_is_sent_on_as_before)
{
    const auto first = b.open("/all/q");
    for (std::size_t n = 0; n < 4; ++n)
        b.reply(first.sends[n].number);
    gateway::effects retries;
    for (std::size_t n = 4; n < 8; ++n)
    {
        auto next = b.fail(first.sends[n].number, gateway::send_failure::lost);
        std::ranges::move(next.sends, std::back_inserter(retries.sends));
    }
    LONGS_EQUAL(4, retries.sends.size());
    gateway::effects last;
    for (const auto& it : retries.sends)
        last = b.reply(it.number);
    LONGS_EQUAL(0, gateway_harness::merged_in(last)->missing);
    LONGS_EQUAL(8, b.open("/all/q").sends.size());
}

TEST(crashes, retries_wait_for_the_first_answer_and_go_out_with_it)
{
    const auto first = b.open("/all/q");
    for (std::size_t n = 0; n < 2; ++n)
        LONGS_EQUAL(0,
                    b.fail(first.sends[n].number, gateway::send_failure::lost)
                        .sends.size());
    b.reply(first.sends[2].number);
    LONGS_EQUAL(2, b.tick(milliseconds(0)).sends.size());
}

TEST(crashes, a_request_to_one_server_is_tried_alone_when_suspected)
{
    b.add_server("d1", "desk");
    b.add_server("d2", "desk");
    b.add_server("d3", "desk");
    const auto retry = lose(b.open("/one/q"));
    LONGS_EQUAL(1, retry.sends.size());
    const auto last = lose(retry);
    CHECK(gateway_harness::refusal_in(last) == gateway::refusal::failed);
    const auto probe = b.open("/one/q");
    LONGS_EQUAL(1, probe.sends.size());
    LONGS_EQUAL(0, b.tick(milliseconds(300)).sends.size());
    const auto verdict = lose(probe);
    LONGS_EQUAL(0, verdict.sends.size());
    CHECK(gateway_harness::refusal_in(verdict) == gateway::refusal::failed);
    CHECK(gateway_harness::refusal_in(b.open("/one/q")) ==
          gateway::refusal::harmful);
}

// A part whose only server refuses connections was sent some hundred times a
// second.
TEST(crashes, a_server_that_is_down_is_not_tried_without_end)
{
    b.add_server("d1", "desk");
    auto out = b.open("/one/q");
    std::size_t sends = 0;
    for (int n = 0; n < 200; ++n)
    {
        sends += out.sends.size();
        gateway::effects next;
        for (const auto& it : out.sends)
        {
            auto more = b.fail(it.number, gateway::send_failure::not_sent);
            std::ranges::move(more.sends, std::back_inserter(next.sends));
        }
        auto later = b.tick(milliseconds(1));
        std::ranges::move(later.sends, std::back_inserter(next.sends));
        out = std::move(next);
    }
    CHECK(sends <= 3);
}

// The load of deadly on nine VMs: two callers a second ask for what makes its
// servers crash, each twice, beside ninety others.
TEST(crashes, callers_are_served_beside_a_request_that_ends_its_servers)
{
    gateway_fleet fleet{{scattered(8)}};
    for (int n = 0; n < 8; ++n)
    {
        const auto service = "s" + std::to_string(n);
        fleet.add_server("x" + std::to_string(n), service, n % 2 ? "a" : "b");
        fleet.add_server("y" + std::to_string(n), service, n % 2 ? "b" : "c");
    }
    fleet.run(base::seconds(2), "/all/q");
    fleet.harmful_target = "/all/harmful";
    const auto asked_before = fleet.asked;
    const auto served_before = fleet.complete + fleet.partial;
    fleet.run(base::seconds(20), "/all/q");
    const auto asked = static_cast<double>(fleet.asked - asked_before);
    const auto served =
        static_cast<double>(fleet.complete + fleet.partial - served_before);
    CHECK(fleet.max_sends_after_three <= 3);
    LONGS_EQUAL(0, fleet.falsely_not_run);
    CHECK(fleet.ended_servers <= 40);
    CHECK(served >= 0.9 * asked);
}
