// Tests of requests to one server: at most once, truth of refusals, retries.
#include "gateway_fixture.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace gateway_test;
using gateway::repeatability;

TEST_GROUP(single)
{
    bed once{{single(repeatability::at_most_once)}};
    bed often{{single(repeatability::idempotent)}};
    TEST_SETUP()
    {
        for (auto* b : {&once, &often})
            for (const char* id : {"x", "y", "z"})
                b->add_server(id, "desk");
    }
};

TEST(single, an_answer_is_passed_on)
{
    const auto out = once.open("/one/q");
    LONGS_EQUAL(1, out.sends.size());
    const auto answered =
        once.reply(out.sends[0].number, bed::good_reply("body"));
    const auto* reply =
        std::get_if<gateway::server_reply>(&answered.answers.at(0).reply);
    CHECK(reply != nullptr);
    STRCMP_EQUAL("body", reply->message.body.c_str());
}

TEST(single, what_may_run_once_is_not_sent_again_after_a_loss)
{
    for (const auto why :
         {gateway::send_failure::lost, gateway::send_failure::malformed})
    {
        const auto out = once.open("/one/q");
        const auto failed = once.fail(out.sends[0].number, why);
        CHECK(failed.sends.empty());
        CHECK(bed::refusal_in(failed) == gateway::refusal::failed);
    }
}

TEST(single, what_may_run_once_is_sent_again_if_it_surely_did_not_run)
{
    const auto out = once.open("/one/q");
    const auto next = once.reply(out.sends[0].number, bed::not_executed());
    LONGS_EQUAL(1, next.sends.size());
    CHECK(next.sends[0].server_id != out.sends[0].server_id);
    const auto last =
        once.fail(next.sends[0].number, gateway::send_failure::not_sent);
    LONGS_EQUAL(1, last.sends.size());
}

TEST(single, refused_by_all_it_is_refused_as_not_run)
{
    auto out = once.open("/one/q");
    out = once.reply(out.sends[0].number, bed::not_executed());
    out = once.reply(out.sends.at(0).number, bed::not_executed());
    CHECK(bed::refusal_in(out) == gateway::refusal::overloaded);
}

// The status alone is no promise of the server, but callers read it as one.
TEST(single, a_server_that_ran_it_does_not_make_us_promise_otherwise)
{
    for (const unsigned status : {408U, 421U, 429U, 503U})
    {
        const auto out = once.open("/one/q");
        auto reply = bed::good_reply();
        reply.message.status = status;
        const auto last = once.reply(out.sends[0].number, std::move(reply));
        CHECK(bed::refusal_in(last) == gateway::refusal::failed);
    }
}

TEST(single, what_may_repeat_is_sent_again_after_a_loss)
{
    const auto out = often.open("/one/q");
    const auto next =
        often.fail(out.sends[0].number, gateway::send_failure::lost);
    LONGS_EQUAL(1, next.sends.size());
    const auto last = often.reply(next.sends[0].number);
    LONGS_EQUAL(1, last.answers.size());
}

TEST(single, a_server_that_is_not_the_one_meant_is_forgotten)
{
    const auto out = once.open("/one/q");
    auto reply = bed::not_executed();
    reply.misdirected = true;
    const auto next = once.reply(out.sends[0].number, std::move(reply));
    LONGS_EQUAL(1, next.sends.size());
    LONGS_EQUAL(2, once.it.servers().of("desk").size());
}

TEST(single, without_a_server_it_is_refused_at_once_and_may_come_back)
{
    bed empty{{single(repeatability::at_most_once)}};
    const auto out = empty.open("/one/q", milliseconds(900));
    const auto* reply = std::get_if<gateway::refused>(&out.answers.at(0).reply);
    CHECK(reply->why == gateway::refusal::no_server);
    CHECK(reply->retry_after.has_value());
    CHECK(*reply->retry_after <= milliseconds(300));
}

TEST(single, leaving_servers_get_no_new_work)
{
    gateway::server_entry leaving = once.it.servers().of("desk")[0]->entry;
    leaving.leaving = true;
    once.it.servers().apply(leaving, once.now);
    for (int n = 0; n < 20; ++n)
    {
        const auto out = once.open("/one/q");
        CHECK(out.sends.at(0).server_id != leaving.id);
        once.reply(out.sends[0].number);
    }
}

TEST(single, an_unknown_path_and_no_configuration_are_told_apart)
{
    CHECK(bed::refusal_in(once.open("/none/q")) ==
          gateway::refusal::no_such_search);
    gateway::gateway fresh{bed::make_options()};
    gateway::effects out;
    fresh.open(1, bed::request("/one/q", milliseconds(900)), once.now, out);
    CHECK(bed::refusal_in(out) == gateway::refusal::no_configuration);
}

// Whatever comes of the sends: what may run once has one send at most that may
// have run, and a refusal that promises "not run" has none.
TEST(single, at_most_once_holds_for_any_course_of_events)
{
    CHECK(rc::check(
        [](const std::vector<std::uint8_t>& steps)
        {
            bed b{{single(repeatability::at_most_once)}};
            for (const char* id : {"x", "y", "z"})
                b.add_server(id, "desk");
            auto out = b.open("/one/q");
            int may_have_run = 0;
            for (const auto step : steps)
            {
                if (out.sends.empty() || !out.answers.empty())
                    break;
                const auto number = out.sends.front().number;
                switch (step % 5)
                {
                case 0:
                    out = b.reply(number, bed::not_executed());
                    break;
                case 1:
                    out = b.fail(number, gateway::send_failure::not_sent);
                    break;
                case 2:
                    ++may_have_run;
                    out = b.fail(number, gateway::send_failure::lost);
                    break;
                case 3:
                    ++may_have_run;
                    out = b.reply(number);
                    break;
                default:
                    ++may_have_run;
                    out = b.tick(milliseconds(8'000));
                    break;
                }
                RC_ASSERT(may_have_run == 0 || out.sends.empty());
            }
            const auto why = bed::refusal_in(out);
            if (why == gateway::refusal::overloaded ||
                why == gateway::refusal::no_server)
                RC_ASSERT(may_have_run == 0);
        }));
}
