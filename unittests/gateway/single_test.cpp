// Tests of requests to a single service: at-most-once execution, retries, and
// refusals that state correctly whether the request may have run.
#include "gateway_fixture.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace gateway_test;
using gateway::execution_semantics;

TEST_GROUP(single)
{
    gateway_harness non_repeatable{{single(execution_semantics::at_most_once)}};
    gateway_harness repeatable{{single(execution_semantics::idempotent)}};
    TEST_SETUP()
    {
        for (auto* b : {&non_repeatable, &repeatable})
            for (const char* id : {"x", "y", "z"})
                b->add_server(id, "desk");
    }
};

TEST(single, an_answer_is_passed_on)
{
    const auto out = non_repeatable.open("/one/q");
    LONGS_EQUAL(1, out.sends.size());
    const auto answered = non_repeatable.reply(
        out.sends[0].number, gateway_harness::good_reply("body"));
    const auto* reply =
        std::get_if<gateway::server_reply>(&answered.answers.at(0).reply);
    CHECK(reply != nullptr);
    STRCMP_EQUAL("body", reply->message.body.c_str());
}

TEST(single, non_repeatable_request_is_not_sent_again_after_a_loss)
{
    for (const auto why :
         {gateway::send_failure::lost, gateway::send_failure::malformed})
    {
        const auto out = non_repeatable.open("/one/q");
        const auto failed = non_repeatable.fail(out.sends[0].number, why);
        CHECK(failed.sends.empty());
        CHECK(gateway_harness::refusal_in(failed) == gateway::refusal::failed);
    }
}

TEST(single, non_repeatable_request_is_sent_again_if_it_did_not_run)
{
    const auto out = non_repeatable.open("/one/q");
    const auto next = non_repeatable.reply(out.sends[0].number,
                                           gateway_harness::not_executed());
    LONGS_EQUAL(1, next.sends.size());
    CHECK(next.sends[0].server_id != out.sends[0].server_id);
    const auto last = non_repeatable.fail(next.sends[0].number,
                                          gateway::send_failure::not_sent);
    LONGS_EQUAL(1, last.sends.size());
}

// Guards against a late second copy of a rejection: the process keeps a repeat
// off the connections of the sends that are named here.
TEST(single, a_repeat_names_the_earlier_sends_of_its_request)
{
    const auto out = non_repeatable.open("/one/q");
    CHECK(out.sends.at(0).earlier.empty());
    const auto next = non_repeatable.reply(out.sends[0].number,
                                           gateway_harness::not_executed());
    CHECK(next.sends.at(0).earlier == std::vector{out.sends[0].number});
}

TEST(single, refusal_by_all_servers_is_reported_as_not_run)
{
    auto out = non_repeatable.open("/one/q");
    out = non_repeatable.reply(out.sends[0].number,
                               gateway_harness::not_executed());
    out = non_repeatable.reply(out.sends.at(0).number,
                               gateway_harness::not_executed());
    CHECK(gateway_harness::refusal_in(out) == gateway::refusal::overloaded);
}

// Callers take these statuses as a promise that the request did not run. A
// server that sends one without stating that it did no work may have run the
// request, so the status must not be passed on.
TEST(single, status_that_implies_not_run_is_not_passed_on_after_execution)
{
    for (const unsigned status : {408U, 421U, 429U, 503U})
    {
        const auto out = non_repeatable.open("/one/q");
        auto reply = gateway_harness::good_reply();
        reply.message.status = status;
        const auto last =
            non_repeatable.reply(out.sends[0].number, std::move(reply));
        CHECK(gateway_harness::refusal_in(last) == gateway::refusal::failed);
    }
}

TEST(single, repeatable_request_is_sent_again_after_a_loss)
{
    const auto out = repeatable.open("/one/q");
    const auto next =
        repeatable.fail(out.sends[0].number, gateway::send_failure::lost);
    LONGS_EQUAL(1, next.sends.size());
    const auto last = repeatable.reply(next.sends[0].number);
    LONGS_EQUAL(1, last.answers.size());
}

TEST(single, server_that_reports_misdirected_is_forgotten)
{
    const auto out = non_repeatable.open("/one/q");
    auto reply = gateway_harness::not_executed();
    reply.misdirected = true;
    const auto next =
        non_repeatable.reply(out.sends[0].number, std::move(reply));
    LONGS_EQUAL(1, next.sends.size());
    LONGS_EQUAL(2, non_repeatable.subject.servers().of("desk").size());
}

TEST(single, without_a_server_request_is_refused_at_once_with_retry_after)
{
    gateway_harness empty{{single(execution_semantics::at_most_once)}};
    const auto out = empty.open("/one/q", milliseconds(900));
    const auto* reply = std::get_if<gateway::refused>(&out.answers.at(0).reply);
    CHECK(reply->why == gateway::refusal::no_server);
    CHECK(reply->retry_after.has_value());
    CHECK(*reply->retry_after <= milliseconds(300));
}

TEST(single, leaving_servers_get_no_new_work)
{
    gateway::server_entry leaving =
        non_repeatable.subject.servers().of("desk")[0]->entry;
    leaving.leaving = true;
    non_repeatable.subject.servers().apply(leaving, non_repeatable.now);
    for (int n = 0; n < 20; ++n)
    {
        const auto out = non_repeatable.open("/one/q");
        CHECK(out.sends.at(0).server_id != leaving.id);
        non_repeatable.reply(out.sends[0].number);
    }
}

TEST(single, unknown_path_and_missing_configuration_have_different_reasons)
{
    CHECK(gateway_harness::refusal_in(non_repeatable.open("/none/q")) ==
          gateway::refusal::no_such_search);
    gateway::gateway fresh{gateway_harness::make_options()};
    gateway::effects out;
    fresh.open(1, gateway_harness::request("/one/q", milliseconds(900)),
               non_repeatable.now, out);
    CHECK(gateway_harness::refusal_in(out) ==
          gateway::refusal::no_configuration);
}

// For any sequence of outcomes of the sends: a request that must run at most
// once is not sent again after a send that may have run, and it is only refused
// as "not run" if no send may have run.
TEST(single, at_most_once_holds_for_any_course_of_events)
{
    CHECK(rc::check(
        [](const std::vector<std::uint8_t>& steps)
        {
            gateway_harness b{{single(execution_semantics::at_most_once)}};
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
                    out = b.reply(number, gateway_harness::not_executed());
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
            const auto why = gateway_harness::refusal_in(out);
            if (why == gateway::refusal::overloaded ||
                why == gateway::refusal::no_server)
                RC_ASSERT(may_have_run == 0);
        }));
}
