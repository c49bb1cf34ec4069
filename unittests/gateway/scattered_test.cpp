// Tests of queries over many shards: stragglers, failures, coverage, time.
#include "gateway_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace gateway_test;

TEST_GROUP(scattered)
{
    bed b{{scattered(4)}};
    TEST_SETUP()
    {
        b.add_shards(4);
    }
};

TEST(scattered, every_shard_is_asked_once_and_the_answer_names_all)
{
    const auto out = b.open("/all/q");
    LONGS_EQUAL(4, out.sends.size());
    for (std::size_t n = 0; n < 3; ++n)
        CHECK(b.reply(out.sends[n].number).answers.empty());
    const auto last = b.reply(out.sends[3].number);
    const auto* answer = bed::merged_in(last);
    CHECK(answer != nullptr);
    LONGS_EQUAL(4, answer->signatures.size());
    LONGS_EQUAL(0, answer->missing);
}

// Pattern: a server pauses for a fifth of a second while the others answer.
TEST(scattered, a_silent_shard_is_asked_at_its_other_server)
{
    const auto out = b.open("/all/q");
    for (std::size_t n = 0; n < 3; ++n)
        b.reply(out.sends[n].number);
    gateway::effects hedge;
    for (int n = 0; n < 10 && hedge.sends.empty(); ++n)
        hedge = b.tick(milliseconds(10));
    LONGS_EQUAL(1, hedge.sends.size());
    CHECK(hedge.sends[0].server_id != out.sends[3].server_id);
    CHECK(bed::merged_in(b.reply(hedge.sends[0].number)) != nullptr);
}

// Pattern: servers of one shard are all silent; the others' answers are worth
// more in time than the whole is late.
TEST(scattered, near_the_objective_what_is_there_is_the_answer)
{
    const auto out = b.open("/all/q");
    for (std::size_t n = 0; n < 3; ++n)
        b.reply(out.sends[n].number);
    const gateway::merged* answer = nullptr;
    gateway::effects last;
    for (int n = 0; n < 15 && !answer; ++n)
    {
        last = b.tick(milliseconds(10));
        answer = bed::merged_in(last);
    }
    CHECK(answer != nullptr);
    LONGS_EQUAL(3, answer->signatures.size());
    LONGS_EQUAL(1, answer->missing);
    CHECK(b.now <= base::instant{base::seconds(1'000)} + milliseconds(150));
}

TEST(scattered, too_few_shards_give_no_answer_at_the_objective)
{
    const auto out = b.open("/all/q");
    for (std::size_t n = 0; n < 2; ++n)
        b.reply(out.sends[n].number);
    for (int n = 0; n < 30; ++n)
        CHECK(b.tick(milliseconds(10)).answers.empty());
    // Enough of them are there late: that is the answer.
    CHECK(bed::merged_in(b.reply(out.sends[2].number)) != nullptr);
}

// A timer that stays due made the process spin while shards were lacking.
TEST(scattered, no_timer_is_due_again_at_once_while_shards_lack)
{
    b.open("/all/q");
    for (int n = 0; n < 200; ++n)
    {
        b.tick(milliseconds(10));
        CHECK(b.it.open_queries() == 0 || b.it.next_due() > b.now);
    }
}

TEST(scattered, time_is_up_with_a_final_answer_before_the_deadline)
{
    b.open("/all/q", milliseconds(900));
    std::optional<gateway::refusal> why;
    milliseconds passed{0};
    while (!why && passed < milliseconds(2'000))
    {
        why = bed::refusal_in(b.tick(milliseconds(5)));
        passed += milliseconds(5);
    }
    CHECK(why == gateway::refusal::timed_out);
    CHECK(passed <= milliseconds(900));
}

TEST(scattered, is_refused_at_once_if_too_many_shards_have_no_server)
{
    b.it.servers().forget(b.it.servers().of("s0")[0]->number);
    b.it.servers().forget(b.it.servers().of("s0")[0]->number);
    LONGS_EQUAL(3, b.open("/all/q").sends.size());
    b.it.servers().forget(b.it.servers().of("s1")[0]->number);
    b.it.servers().forget(b.it.servers().of("s1")[0]->number);
    const auto out = b.open("/all/q");
    CHECK(out.sends.empty());
    CHECK(bed::refusal_in(out) == gateway::refusal::no_server);
}

TEST(scattered, a_failure_with_a_signature_is_no_part)
{
    const auto out = b.open("/all/q");
    auto failure = bed::good_reply();
    failure.message.status = 500;
    const auto next = b.reply(out.sends[0].number, std::move(failure));
    LONGS_EQUAL(1, next.sends.size());
    for (std::size_t n = 1; n < 4; ++n)
        b.reply(out.sends[n].number);
    const auto last = b.reply(next.sends[0].number);
    LONGS_EQUAL(0, bed::merged_in(last)->missing);
}

// Seen at a server that fails at its deadline, long after its other replica
// answered: the failure took the place of the answer.
TEST(scattered, a_late_failure_of_a_hedge_does_not_replace_the_answer)
{
    const auto out = b.open("/all/q");
    for (std::size_t n = 0; n < 2; ++n)
        b.reply(out.sends[n].number);
    gateway::effects hedge;
    for (int n = 0; n < 10 && hedge.sends.empty(); ++n)
        hedge = b.tick(milliseconds(10));
    LONGS_EQUAL(2, hedge.sends.size());
    b.reply(out.sends[2].number, bed::good_reply("0123456789abcdef"));
    for (const auto& send : hedge.sends)
    {
        auto failure = bed::good_reply();
        failure.signature = "of a failure";
        failure.message.status = 504;
        b.reply(send.number, std::move(failure));
    }
    const auto last = b.reply(out.sends[3].number);
    const auto* answer = bed::merged_in(last);
    CHECK(answer != nullptr);
    CHECK(std::ranges::count(answer->signatures, "of a failure") == 0);
    STRCMP_EQUAL("0123456789abcdef", answer->records.c_str());
}

TEST(scattered, an_unsigned_answer_is_no_part)
{
    const auto out = b.open("/all/q");
    auto unsigned_reply = bed::good_reply();
    unsigned_reply.signature.clear();
    LONGS_EQUAL(
        1,
        b.reply(out.sends[0].number, std::move(unsigned_reply)).sends.size());
}

// At most `attempts` servers, and never more than the budget allows.
TEST(scattered, no_second_send_without_budget)
{
    auto options = bed::make_options();
    options.extra.slack = 0;
    options.extra.ratio = 0;
    bed poor({scattered(4)}, options);
    poor.add_shards(4);
    poor.open("/all/q");
    for (int n = 0; n < 30; ++n)
        CHECK(poor.tick(milliseconds(10)).sends.empty());
}

TEST(scattered, no_shard_is_sent_to_more_servers_than_allowed)
{
    auto out = b.open("/all/q");
    std::size_t sends = out.sends.size();
    for (int n = 0; n < 200; ++n)
        sends += b.tick(milliseconds(10)).sends.size();
    LONGS_EQUAL(8, sends);
}

TEST(scattered, a_caller_that_left_costs_servers_no_more_work_soon)
{
    const auto out = b.open("/all/q");
    gateway::effects left;
    b.it.leave(b.last_query, b.now, left);
    CHECK(left.answers.empty());
    std::size_t dropped = left.drops.size();
    for (int n = 0; n < 5; ++n)
        dropped += b.tick(milliseconds(100)).drops.size();
    LONGS_EQUAL(out.sends.size(), dropped);
    LONGS_EQUAL(0, b.it.open_exchanges());
}

TEST(scattered, an_older_configuration_is_never_put_in_force)
{
    const auto of = [](std::uint64_t version)
    {
        return std::make_shared<const gateway::catalog>(
            version, std::vector<gateway::search>{},
            std::vector<gateway::service_settings>{}, gateway::caller_limits{});
    };
    CHECK(b.it.apply(of(7)));
    CHECK_FALSE(b.it.apply(of(6)));
    CHECK_FALSE(b.it.apply(of(7)));
    LONGS_EQUAL(7, b.it.current()->version());
}

TEST(scattered, a_query_keeps_the_configuration_that_it_began_with)
{
    const auto out = b.open("/all/q");
    auto next = scattered(4);
    next.shards = {"t0", "t1", "t2", "t3"};
    b.it.apply(std::make_shared<const gateway::catalog>(
        2, std::vector{next}, std::vector<gateway::service_settings>{},
        gateway::caller_limits{}));
    gateway::effects last;
    for (const auto& send : out.sends)
        last = b.reply(send.number);
    LONGS_EQUAL(4, bed::merged_in(last)->signatures.size());
}

// A caller that comes back has less time left; the objective counts from its
// first attempt.
TEST(scattered, a_return_is_answered_within_what_is_left_of_the_objective)
{
    const auto first = b.open("/all/q", milliseconds(2'500));
    for (const auto& send : first.sends)
        b.reply(send.number);
    const auto out = b.open("/all/q", milliseconds(2'420));
    for (std::size_t n = 0; n < 3; ++n)
        b.reply(out.sends[n].number);
    const auto opened = b.now;
    const gateway::merged* answer = nullptr;
    gateway::effects last;
    for (int n = 0; n < 30 && !answer; ++n)
    {
        last = b.tick(milliseconds(5));
        answer = bed::merged_in(last);
    }
    CHECK(answer != nullptr);
    CHECK(b.now - opened <= milliseconds(70));
}

// Pattern: three times the usual callers at once. What queues beyond the
// servers' room would only make others late as well.
TEST(scattered, what_no_server_has_room_for_is_refused_at_once)
{
    for (std::size_t n = 0; n < 4; ++n)
        for (auto* it : b.it.servers().of("s" + std::to_string(n)))
        {
            it->load = gateway::stated_load{2, 60, 2};
            it->load_at = b.now;
        }
    const auto out = b.open("/all/q");
    CHECK(out.sends.empty());
    const auto* reply = std::get_if<gateway::refused>(&out.answers.at(0).reply);
    CHECK(reply->why == gateway::refusal::overloaded);
    CHECK(reply->retry_after.has_value());
    // Some queue is no reason: the answer may be late, but it comes.
    b.now += milliseconds(300);
    LONGS_EQUAL(4, b.open("/all/q").sends.size());
}
