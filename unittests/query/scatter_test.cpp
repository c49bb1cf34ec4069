// Tests of sending a query's shards out and collecting the reports.
#include "mimosacroft/query/scatter.hpp"

#include "query_fixture.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace mimosacroft;
using namespace mimosacroft::tests;
using base::milliseconds;

TEST_GROUP(scatter)
{
    fleet::agent agent{options_of("vm-0", "oostende"), 1};
    query::scatter scatter{agent, 2};
    core::effects out;

    void setup() override
    {
        know(agent, 1, {{"vm-0", "oostende"}, {"far", "antwerpen"}});
        declare(agent, 1, {upstream_of("u", "antwerpen")});
    }

    query::scatter_job job_of(bool repeatable) const
    {
        query::scatter_job job;
        job.request.query = {42, 1};
        job.request.epoch = 3;
        job.request.repeatable = repeatable;
        job.deadline = test_start + milliseconds(100);
        job.tasks = {{0, "s0", "u"}, {1, "s1", "u"}};
        return job;
    }

    wire::forward_answer answer_of(const std::vector<std::uint32_t>& shards)
        const
    {
        wire::forward_answer msg{{42, 1}, 1, 3, {}, {}};
        for (const auto n : shards)
            msg.shards.push_back({n, true, 0, true, 0, "{}"});
        return msg;
    }

    void know_two_far_vms()
    {
        know(agent, 2,
             {{"vm-0", "oostende"},
              {"far", "antwerpen"},
              {"far-2", "antwerpen"}});
    }

    // How many of 20 queries go to a VM.
    std::size_t sent_to(const std::string& vm, base::instant now)
    {
        core::effects sent;
        auto job = job_of(true);
        job.deadline = now + milliseconds(100);
        for (int n = 0; n < 20; ++n)
            scatter.start(job, now, sent);
        return static_cast<std::size_t>(std::ranges::count_if(
            sent,
            [&vm](const core::effect& it)
            {
                const auto* to = std::get_if<core::send_peer>(&it);
                return to && to->vm == vm;
            }));
    }
};

TEST(scatter, a_far_data_centre_gets_one_message)
{
    scatter.start(job_of(true), test_start, out);
    LONGS_EQUAL(1, count_of<core::send_peer>(out));
    const auto* sent = first_of<core::send_peer>(out);
    STRCMP_EQUAL("far", sent->vm.c_str());
    LONGS_EQUAL(2, std::get<wire::forward>(sent->msg).shards.size());
}

TEST(scatter, finishes_when_every_shard_is_reported)
{
    scatter.start(job_of(true), test_start, out);
    scatter.on_answer("far", answer_of({1}), test_start, out);
    CHECK(scatter.take_finished().empty());
    scatter.on_answer("far", answer_of({0}), test_start, out);
    const auto done = scatter.take_finished();
    LONGS_EQUAL(1, done.size());
    CHECK(std::ranges::all_of(done[0].reports, &wire::shard_report::included));
}

TEST(scatter, drops_an_answer_of_another_epoch_query_or_vm)
{
    scatter.start(job_of(true), test_start, out);
    auto wrong = answer_of({0, 1});
    wrong.epoch = 4;
    scatter.on_answer("far", wrong, test_start, out);
    wrong = answer_of({0, 1});
    wrong.query.query = 2;
    scatter.on_answer("far", wrong, test_start, out);
    scatter.on_answer("vm-0", answer_of({0, 1}), test_start, out);
    CHECK(scatter.take_finished().empty());
    LONGS_EQUAL(3, count_of<core::log_event>(out));
}

TEST(scatter, at_the_deadline_what_was_sent_may_have_run)
{
    scatter.start(job_of(true), test_start, out);
    scatter.on_answer("far", answer_of({0}), test_start, out);
    scatter.on_tick(test_start + milliseconds(100), out);
    const auto done = scatter.take_finished();
    LONGS_EQUAL(1, done.size());
    CHECK(done[0].reports[0].included);
    CHECK_FALSE(done[0].reports[1].included);
    CHECK(done[0].reports[1].maybe_run);
}

TEST(scatter, a_link_that_never_came_up_proves_that_nothing_ran)
{
    scatter.start(job_of(false), test_start, out);
    scatter.on_peer_lost("far", false, test_start, out);
    const auto done = scatter.take_finished();
    LONGS_EQUAL(1, done.size());
    CHECK(
        std::ranges::none_of(done[0].reports, &wire::shard_report::maybe_run));
}

TEST(scatter, a_request_that_may_not_be_repeated_is_not_sent_again)
{
    know(agent, 2,
         {{"vm-0", "oostende"}, {"far", "antwerpen"}, {"far-2", "antwerpen"}});
    scatter.start(job_of(false), test_start, out);
    const auto to = first_of<core::send_peer>(out)->vm;
    scatter.on_peer_lost(to, true, test_start, out);
    LONGS_EQUAL(1, count_of<core::send_peer>(out));
    const auto done = scatter.take_finished();
    LONGS_EQUAL(1, done.size());
    CHECK(done[0].reports[0].maybe_run);
}

TEST(scatter, goes_on_with_the_next_upstream_when_no_server_is_reached)
{
    declare(agent, 2,
            {upstream_of("u", "antwerpen"), upstream_of("v", "gent")});
    know(agent, 2,
         {{"vm-0", "oostende"}, {"far", "antwerpen"}, {"other", "gent"}});
    auto job = job_of(false);
    job.alternatives = {{"v"}, {"v"}};
    scatter.start(std::move(job), test_start, out);
    out.clear();
    auto msg = answer_of({0, 1});
    const auto set_lack = [&](std::size_t n, bool maybe_run)
    {
        msg.shards[n].included = false;
        msg.shards[n].maybe_run = maybe_run;
        msg.shards[n].lack =
            static_cast<std::uint8_t>(model::lack_reason::unreachable);
    };
    set_lack(0, false);
    set_lack(1, true);
    scatter.on_answer("far", msg, test_start, out);
    // Shard 1 may have run and may not be repeated.
    const auto* again = first_of<core::send_peer>(out);
    STRCMP_EQUAL("other", again->vm.c_str());
    const auto& shards = std::get<wire::forward>(again->msg).shards;
    LONGS_EQUAL(1, shards.size());
    LONGS_EQUAL(0, shards[0].shard);
    STRCMP_EQUAL("v", shards[0].upstream.c_str());
}

TEST(scatter, a_lost_relay_is_replaced_by_another_and_then_reported)
{
    know(agent, 2,
         {{"vm-0", "oostende"}, {"far", "antwerpen"}, {"far-2", "antwerpen"}});
    scatter.start(job_of(true), test_start, out);
    const auto first = first_of<core::send_peer>(out)->vm;
    out.clear();
    scatter.on_peer_lost(first, true, test_start, out);
    const auto second = first_of<core::send_peer>(out)->vm;
    CHECK(first != second);
    scatter.on_peer_lost(second, false, test_start, out);
    const auto done = scatter.take_finished();
    LONGS_EQUAL(1, done.size());
    const auto& it = done[0].reports[0];
    LONGS_EQUAL(static_cast<int>(model::lack_reason::data_centre_lost),
                it.lack);
    // The first forward was written.
    CHECK(it.maybe_run);
    LONGS_EQUAL(2, done[0].spans.size());
    STRCMP_EQUAL("link lost", done[0].spans[0].note.c_str());
}

TEST(scatter, avoids_a_vm_whose_link_failed_a_moment_ago)
{
    know_two_far_vms();
    scatter.on_peer_lost("far", false, test_start, out);
    LONGS_EQUAL(0, sent_to("far", test_start));
    LONGS_EQUAL(20, sent_to("far-2", test_start));
}

TEST(scatter, avoids_a_vm_that_let_a_deadline_pass_in_silence)
{
    know_two_far_vms();
    scatter.start(job_of(true), test_start, out);
    const auto silent = first_of<core::send_peer>(out)->vm;
    const auto late = test_start + milliseconds(100);
    scatter.on_tick(late, out);
    LONGS_EQUAL(0, sent_to(silent, late));
    // It is asked again after a while.
    CHECK(sent_to(silent, late + base::seconds(2)) > 0);
}

TEST(scatter, asks_the_owner_that_stayed_while_a_new_one_waits)
{
    declare(agent, 2, {upstream_of("u", "oostende")});
    know(agent, 2, {{"a", "oostende"}, {"b", "oostende"}, {"c", "oostende"}});
    const auto owners = agent.ownership().owners_of("u");
    std::vector<std::pair<std::string, std::string>> left;
    for (const std::string vm : {"a", "b", "c"})
        if (vm != owners[0])
            left.emplace_back(vm, "oostende");
    know(agent, 3, left);
    LONGS_EQUAL(2, agent.ownership().owners_of("u").size());
    LONGS_EQUAL(20, sent_to(owners[1], test_start));
}

TEST(scatter, avoids_a_suspected_vm_unless_all_are)
{
    know_two_far_vms();
    auto now = test_start;
    for (std::uint64_t n = 1; n <= 100; ++n)
    {
        now += milliseconds(200);
        agent.on_tick(now, out);
        wire::digest word;
        word.ack = true;
        word.heartbeat = n;
        word.sequence = n;
        if (n <= 60)
            agent.on_digest("far-2", 1, word, now, out);
        if (n == 60)
        {
            CHECK(agent.is_suspected("far", now));
            LONGS_EQUAL(0, sent_to("far", now));
            LONGS_EQUAL(20, sent_to("far-2", now));
        }
    }
    CHECK(agent.is_suspected("far-2", now));
    CHECK(sent_to("far", now) > 0);
    CHECK(sent_to("far-2", now) > 0);
}

TEST(scatter, spans_of_an_answer_get_ids_of_their_own_below_their_forward)
{
    scatter.start(job_of(true), test_start, out);
    auto msg = answer_of({0, 1});
    msg.spans = {{2, 0, "forward", "far", "leaf", 0, 5, ""},
                 {3, 2, "upstream", "leaf", "server", 1, 3, ""}};
    scatter.on_answer("far", msg, test_start + milliseconds(9), out);
    const auto spans = scatter.take_finished().at(0).spans;
    LONGS_EQUAL(3, spans.size());
    const auto& relay = spans[0];
    const auto& upstream = spans[1];
    const auto& forward = spans[2];
    CHECK(relay.id != forward.id);
    LONGS_EQUAL(forward.id, relay.parent);
    LONGS_EQUAL(relay.id, upstream.parent);
}
