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
