// Tests of the work on servers: what is sent, repeated, given up and reported.
#include "leaf_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;
using namespace mimosacroft::tests;
using base::milliseconds;
using model::lack_reason;

namespace
{

lack_reason lack_of(const wire::shard_report& it)
{
    return static_cast<lack_reason>(it.lack);
}

} // namespace

TEST_GROUP(leaf)
{
    leaf_rig rig;

    // Sends one shard, lets each server it goes to answer with `change` made to
    // a true answer, and checks that nothing is merged.
    void refuses(const std::function<void(nlohmann::json&)>& change,
                 lack_reason wanted)
    {
        rig.forward(1, 1);
        for (int n = 0; n < 2; ++n)
        {
            const auto id = rig.work().at(0);
            auto body = rig.answer_to(id);
            change(body);
            rig.reply(id, body);
        }
        const auto reports = rig.reports();
        LONGS_EQUAL(1, reports.size());
        CHECK_FALSE(reports[0].included);
        CHECK(reports[0].maybe_run);
        CHECK(lack_of(reports[0]) == wanted);
        CHECK(rig.leaf.stats(rig.now).bad_answers >= 2);
    }
};

TEST(leaf, answers_when_every_shard_is_reported)
{
    rig.forward(1, 3);
    LONGS_EQUAL(1, rig.work().size());
    rig.reply_ok(rig.work().at(0));
    const auto reports = rig.reports();
    LONGS_EQUAL(3, reports.size());
    CHECK(std::ranges::all_of(reports, &wire::shard_report::included));
    LONGS_EQUAL(0, rig.leaf.open());
}

TEST(leaf, an_answer_without_epoch_is_not_merged)
{
    refuses([](auto& body) { body["answers"][0].erase("epoch"); },
            lack_reason::no_epoch);
}

TEST(leaf, an_answer_of_another_epoch_is_not_merged)
{
    refuses([](auto& body) { body["answers"][0]["epoch"] = 4; },
            lack_reason::wrong_epoch);
}

TEST(leaf, an_answer_of_another_shard_is_not_merged)
{
    refuses([](auto& body) { body["answers"][0]["shard"] = "s9"; },
            lack_reason::bad_answer);
}

TEST(leaf, an_answer_with_a_foreign_id_is_not_merged)
{
    refuses([](auto& body) { body["answers"][0]["id"] = "9-9-9"; },
            lack_reason::bad_answer);
}

TEST(leaf, rubbish_and_half_an_answer_are_not_merged)
{
    refuses([](auto& body) { body = "\x01 no answer"; },
            lack_reason::bad_answer);
    leaf_rig other;
    other.forward(1, 1);
    const auto id = other.work().at(0);
    const auto whole = other.answer_to(id).dump();
    other.reply(id, whole.substr(0, whole.size() / 2));
    CHECK(other.reports().empty());
    LONGS_EQUAL(1, other.leaf.stats(other.now).bad_answers);
}

TEST(leaf, an_answer_that_comes_twice_counts_once)
{
    rig.forward(1, 1);
    const auto id = rig.work().at(0);
    auto body = rig.answer_to(id);
    body["answers"].push_back(body["answers"][0]);
    rig.reply(id, body);
    LONGS_EQUAL(1, rig.reports().size());
    LONGS_EQUAL(1, rig.leaf.stats(rig.now).bad_answers);
}

TEST(leaf, an_answer_after_a_cancel_is_counted_and_dropped)
{
    rig.forward(1, 1);
    const auto id = rig.work().at(0);
    const auto body = rig.answer_to(id);
    rig.cancel(1);
    rig.reply(id, body);
    CHECK(rig.reports().empty());
    LONGS_EQUAL(1, rig.leaf.stats(rig.now).bad_answers);
}

TEST(leaf, a_cancel_before_the_send_means_that_nothing_is_sent)
{
    for (std::uint32_t n = 1; n <= 4; ++n)
        rig.forward(n, 1, 300, false); // fills the slots
    rig.forward(5, 1, 300, false);
    rig.cancel(5);
    const auto ids = rig.work();
    LONGS_EQUAL(4, ids.size());
    for (const auto id : ids)
        rig.reply_ok(id);
    LONGS_EQUAL(0, rig.work().size());
}

TEST(leaf, a_canceled_call_keeps_its_slot_until_the_server_confirms)
{
    rig.forward(1, 1);
    rig.cancel(1);
    LONGS_EQUAL(0, rig.work().size());
    LONGS_EQUAL(1, rig.cancels().size());
    LONGS_EQUAL(1, rig.leaf.stats(rig.now).servers.at(0).held);
    rig.reply(rig.cancels().at(0), {{"ok", true}});
    LONGS_EQUAL(0, rig.leaf.stats(rig.now).servers.at(0).held);
}

TEST(leaf, without_a_confirmation_the_slot_is_held_until_the_deadline)
{
    rig.forward(1, 1);
    rig.cancel(1);
    rig.fail(rig.cancels().at(0), base::error_code::broken);
    rig.tick(milliseconds(299));
    LONGS_EQUAL(1, rig.leaf.stats(rig.now).servers.at(0).held);
    CHECK(rig.leaf.next_wakeup() <= rig.now + milliseconds(1));
    rig.tick(milliseconds(1));
    LONGS_EQUAL(0, rig.leaf.stats(rig.now).servers.at(0).held);
}

TEST(leaf, a_call_that_others_need_is_not_given_up)
{
    for (std::uint32_t n = 1; n <= 4; ++n)
        rig.forward(n, 1, 300, false);
    rig.forward(5, 1);
    rig.forward(6, 1);
    rig.reply_ok(rig.work().at(0));
    const auto shared = rig.work().back();
    LONGS_EQUAL(2, rig.subqueries(shared).size());
    rig.cancel(5);
    LONGS_EQUAL(0, rig.cancels().size());
    rig.cancel(6);
    LONGS_EQUAL(1, rig.cancels().size());
}

TEST(leaf, hedges_a_slow_call_at_another_server_and_cancels_the_loser)
{
    rig.warm_up();
    rig.forward(1, 1);
    const auto slow = rig.work().at(0);
    const auto address = rig.sent.at(slow).address;
    CHECK(rig.leaf.next_wakeup() < rig.now + milliseconds(20));
    rig.tick(milliseconds(20));
    LONGS_EQUAL(2, rig.work().size());
    const auto second = rig.work().at(1);
    CHECK(rig.sent.at(second).address != address);
    rig.reply_ok(second);
    const auto reports = rig.reports();
    LONGS_EQUAL(1, reports.size());
    CHECK(reports[0].included);
    LONGS_EQUAL(1, reports[0].extra_attempts);
    LONGS_EQUAL(0, rig.work().size());
    LONGS_EQUAL(1, rig.cancels().size());
    STRCMP_EQUAL(address.c_str(),
                 rig.sent.at(rig.cancels().at(0)).address.c_str());
}

TEST(leaf, a_failed_copy_waits_for_the_other_one)
{
    rig.warm_up();
    rig.forward(1, 1);
    rig.tick(milliseconds(20));
    rig.fail(rig.work().at(0), base::error_code::broken);
    CHECK(rig.reports().empty());
    rig.reply_ok(rig.work().at(0));
    CHECK(rig.reports().at(0).included);
}

TEST(leaf, does_not_hedge_what_may_not_be_repeated_or_when_switched_off)
{
    rig.warm_up();
    rig.forward(1, 1, 300, false);
    CHECK(rig.sent.at(rig.work().at(0)).fresh_connection);
    rig.tick(milliseconds(100));
    LONGS_EQUAL(1, rig.work().size());
    leaf_rig off({.hedging = false});
    off.warm_up();
    off.forward(1, 1);
    off.tick(milliseconds(100));
    LONGS_EQUAL(1, off.work().size());
}

TEST(leaf, does_not_hedge_while_others_wait)
{
    rig.warm_up();
    for (std::uint32_t n = 1; n <= 5; ++n)
        rig.forward(n, 1, 300, n == 1);
    rig.tick(milliseconds(50));
    LONGS_EQUAL(4, rig.work().size());
    LONGS_EQUAL(0, rig.leaf.stats(rig.now).hedges);
}

TEST(leaf, what_may_not_be_repeated_is_sent_once)
{
    rig.forward(1, 1, 300, false);
    rig.fail(rig.work().at(0), base::error_code::broken);
    LONGS_EQUAL(0, rig.work().size());
    const auto reports = rig.reports();
    LONGS_EQUAL(1, reports.size());
    CHECK(reports[0].maybe_run);
}

TEST(leaf, what_was_refused_before_start_did_not_run_and_goes_elsewhere)
{
    rig.forward(1, 1, 300, false);
    rig.refuse(rig.work().at(0));
    LONGS_EQUAL(1, rig.work().size());
    rig.refuse(rig.work().at(0));
    const auto reports = rig.reports();
    LONGS_EQUAL(1, reports.size());
    CHECK_FALSE(reports[0].maybe_run);
}

TEST(leaf, a_refusal_does_not_undo_an_earlier_attempt_that_may_have_run)
{
    rig.forward(1, 1);
    rig.fail(rig.work().at(0), base::error_code::broken);
    rig.refuse(rig.work().at(0));
    CHECK(rig.reports().at(0).maybe_run);
}

TEST(leaf, at_the_deadline_what_waited_did_not_run)
{
    for (std::uint32_t n = 1; n <= 5; ++n)
        rig.forward(n, 1, 300, false);
    rig.tick(milliseconds(300));
    const auto reports = rig.reports();
    LONGS_EQUAL(5, reports.size());
    LONGS_EQUAL(4,
                std::ranges::count_if(reports, &wire::shard_report::maybe_run));
    LONGS_EQUAL(0, rig.leaf.open());
}

// Guards against work that is sent after its deadline: the process stood still,
// and a reply that frees a slot comes before the timer.
TEST(leaf, what_waited_past_its_deadline_is_never_sent)
{
    for (std::uint32_t n = 1; n <= 4; ++n)
        rig.forward(n, 1, 300, false); // fills the slots
    rig.forward(5, 1, 300, false);
    const auto before = rig.work();
    rig.now += base::seconds(2);
    rig.reply_ok(before.at(0));
    rig.reply_ok(before.at(1));
    LONGS_EQUAL(before.size() - 2, rig.work().size());
    rig.tick(milliseconds(0));
    const auto reports = rig.reports();
    LONGS_EQUAL(5, reports.size());
    LONGS_EQUAL(
        1, std::ranges::count(reports, false, &wire::shard_report::maybe_run));
}

TEST(leaf, refuses_early_what_cannot_make_its_deadline)
{
    rig.warm_up();
    for (std::uint32_t n = 1; n <= 4; ++n)
        rig.forward(n, 1, 300, false);
    rig.forward(5, 1, 5, false);
    const auto reports = rig.reports();
    LONGS_EQUAL(1, reports.size());
    CHECK(lack_of(reports[0]) == lack_reason::overload);
    CHECK_FALSE(reports[0].maybe_run);
}

TEST(leaf, a_full_queue_refuses_ordinary_ones_before_urgent_ones)
{
    rig.forward(1, 256);
    rig.forward(2, 2048);
    CHECK(rig.reports().empty());
    rig.forward(3, 1);
    CHECK(lack_of(rig.reports().at(0)) == lack_reason::overload);
    rig.forward(4, 1, 300, true, model::priority::urgent);
    CHECK(rig.reports().empty()); // one of the second forward went out instead
    LONGS_EQUAL(2, rig.leaf.stats(rig.now).refusals);
}

TEST(leaf, a_server_that_says_it_is_leaving_gets_no_new_work)
{
    rig.forward(1, 1);
    const auto id = rig.work().at(0);
    const auto address = rig.sent.at(id).address;
    auto body = rig.answer_to(id);
    body["leaving"] = true;
    rig.reply(id, body);
    for (std::uint32_t n = 2; n <= 4; ++n)
        rig.forward(n, 1, 300, false);
    LONGS_EQUAL(2, rig.work().size()); // the slots of the other server
    for (const auto it : rig.work())
        CHECK(rig.sent.at(it).address != address);
}

TEST(leaf, a_refusal_for_leaving_marks_the_server)
{
    rig.forward(1, 1);
    rig.reply(rig.work().at(0),
              {{"refused", "leaving"}, {"leaving", true}, {"incarnation", "i"}},
              503);
    CHECK(rig.agent.is_leaving("u-0", "i") || rig.agent.is_leaving("u-1", "i"));
    rig.reply_ok(rig.work().at(0));
    CHECK(rig.reports().at(0).included);
}

TEST(leaf, sends_nothing_while_the_ownership_is_not_usable)
{
    rig.tick(base::seconds(4000)); // the view is no longer confirmed
    rig.forward(1, 1);
    LONGS_EQUAL(0, rig.work().size());
    rig.tick(milliseconds(300));
    const auto reports = rig.reports();
    LONGS_EQUAL(1, reports.size());
    CHECK_FALSE(reports[0].maybe_run);
}

TEST(leaf, retries_and_hedges_keep_to_the_budget)
{
    for (std::uint32_t n = 1; n <= 100; ++n)
    {
        rig.forward(n, 1);
        rig.tick(base::seconds(2));
        while (!rig.work().empty())
            rig.fail(rig.work().at(0), base::error_code::broken);
    }
    const auto stats = rig.leaf.stats(rig.now);
    LONGS_EQUAL(100, stats.first_attempts);
    CHECK(stats.retries + stats.hedges <= 10 + 5);
}

TEST(leaf, hedges_keep_to_the_budget)
{
    // So many fast calls that the slow ones do not move the percentile.
    rig.warm_up(500);
    for (std::uint32_t n = 1; n <= 20; ++n)
    {
        rig.forward(n, 1);
        rig.tick(milliseconds(100));
        while (!rig.work().empty())
            rig.reply_ok(rig.work().back());
        for (const auto id : rig.cancels())
            rig.reply(id, {{"ok", true}});
    }
    const auto stats = rig.leaf.stats(rig.now);
    LONGS_EQUAL(520, stats.first_attempts);
    CHECK(stats.hedges >= 5);
    CHECK(stats.hedges <= 10 + 1);
}

TEST(leaf, a_call_takes_a_part_of_the_forwards_that_wait)
{
    const auto size_after = [](std::uint32_t forwards, std::size_t shards)
    {
        leaf_rig it;
        for (std::uint32_t n = 1; n <= 4; ++n)
            it.forward(n, 1, 300, false); // fills the slots
        for (std::uint32_t n = 5; n < 5 + forwards; ++n)
            it.forward(n, shards);
        it.reply_ok(it.work().at(0));
        return it.subqueries(it.work().back()).size();
    };
    LONGS_EQUAL(5, size_after(1, 5));
    LONGS_EQUAL(10, size_after(4, 5));  // the last forward is not cut
    LONGS_EQUAL(20, size_after(16, 5)); // a quarter
    LONGS_EQUAL(64, size_after(400, 5));
    LONGS_EQUAL(64, size_after(2, 100));
}

TEST(leaf, a_whole_batch_that_failed_at_once_goes_elsewhere)
{
    rig.warm_up();
    rig.forward(1, 64);
    const auto address = rig.sent.at(rig.work().at(0)).address;
    rig.reply_failed(rig.work().at(0));
    LONGS_EQUAL(1, rig.work().size());
    CHECK(rig.sent.at(rig.work().at(0)).address != address);
    rig.reply_ok(rig.work().at(0));
    const auto reports = rig.reports();
    LONGS_EQUAL(64, reports.size());
    CHECK(std::ranges::all_of(reports, &wire::shard_report::included));
}

TEST(leaf, a_whole_batch_that_was_refused_before_start_goes_elsewhere)
{
    rig.forward(1, 64);
    rig.tick(milliseconds(50));
    rig.refuse(rig.work().at(0));
    rig.reply_ok(rig.work().at(0));
    const auto reports = rig.reports();
    LONGS_EQUAL(64, reports.size());
    CHECK(std::ranges::all_of(reports, &wire::shard_report::included));
}

TEST(leaf, a_batch_that_failed_after_its_usual_time_pays_the_budget)
{
    rig.warm_up();
    rig.forward(1, 64);
    rig.tick(milliseconds(10));
    rig.reply_failed(rig.work().at(0));
    CHECK(rig.leaf.stats(rig.now).retries <= 10 + 0.05 * 64);
}

TEST(leaf, a_batch_whose_connection_broke_at_once_pays_the_budget)
{
    rig.warm_up();
    rig.forward(1, 64);
    rig.fail(rig.work().at(0), base::error_code::broken);
    CHECK(rig.leaf.stats(rig.now).retries <= 10 + 0.05 * 64);
}

TEST(leaf, what_may_not_be_repeated_is_sent_once_though_it_failed_at_once)
{
    rig.warm_up();
    rig.forward(1, 1, 300, false);
    rig.reply_failed(rig.work().at(0));
    LONGS_EQUAL(0, rig.work().size());
    CHECK(rig.reports().at(0).maybe_run);
}

TEST(leaf, retries_of_failures_at_once_keep_to_their_reserve)
{
    rig.warm_up();
    for (std::uint32_t n = 1; n <= 100; ++n)
    {
        rig.forward(n, 64);
        while (!rig.work().empty())
            rig.reply_failed(rig.work().at(0));
    }
    const auto stats = rig.leaf.stats(rig.now);
    LONGS_EQUAL(60 + 6400, stats.first_attempts);
    const double share = 0.05 * static_cast<double>(stats.first_attempts);
    CHECK(static_cast<double>(stats.retries) <= 10 + 320 + 2 * share);
    CHECK(static_cast<double>(stats.retries) >= 320);
}

TEST(leaf, a_restarted_sender_may_use_its_numbers_again)
{
    rig.forward(1, 1);
    wire::forward msg;
    msg.query = {43, 1};
    msg.attempt = 1;
    msg.epoch = epoch_of_tests;
    msg.budget_ms = 300;
    rig.leaf.on_forward("root", msg, {{0, "s0", "u"}}, rig.now, rig.out);
    LONGS_EQUAL(2, rig.leaf.open());
}

TEST(leaf, a_restarted_server_gets_work_again)
{
    rig.forward(1, 1);
    const auto address = rig.sent.at(rig.work().at(0)).address;
    rig.reply(rig.work().at(0),
              {{"refused", "leaving"}, {"leaving", true}, {"incarnation", "i"}},
              503);
    rig.reply_ok(rig.work().at(0));
    rig.tick(base::seconds(1));
    const auto probes = rig.open("/v1/health");
    LONGS_EQUAL(1, probes.size());
    STRCMP_EQUAL(address.c_str(), rig.sent.at(probes[0]).address.c_str());
    rig.reply(probes[0], {{"incarnation", "i"}, {"leaving", true}});
    rig.tick(base::seconds(1));
    rig.reply(rig.open("/v1/health").at(0),
              {{"incarnation", "j"}, {"leaving", false}});
    rig.tick(base::seconds(9)); // the slow start is over
    LONGS_EQUAL(0, rig.open("/v1/health").size());
    for (std::uint32_t n = 2; n <= 5; ++n)
        rig.forward(n, 1, 300, false);
    LONGS_EQUAL(4, rig.work().size());
}

TEST(leaf, a_wait_in_the_queue_is_a_span_of_the_trace)
{
    leaf_rig one({}, 1);
    one.forward(1, 1);
    one.forward(2, 1);
    one.forward(3, 2);
    LONGS_EQUAL(2, one.work().size());
    one.now += milliseconds(5);
    one.reply_ok(one.work().at(0));
    LONGS_EQUAL(1, one.leaf.take_answers().at(0).msg.spans.size());
    one.now += milliseconds(2);
    one.reply_ok(one.work().at(1));
    const auto all = one.leaf.take_answers();
    LONGS_EQUAL(1, all.size());
    const auto& spans = all[0].msg.spans;
    LONGS_EQUAL(2, spans.size());
    STRCMP_EQUAL("upstream", spans[0].name.c_str());
    LONGS_EQUAL(5000, spans[0].start_us);
    const auto& wait = spans[1];
    STRCMP_EQUAL("queue", wait.name.c_str());
    STRCMP_EQUAL("vm-0", wait.vm.c_str());
    LONGS_EQUAL(0, wait.parent);
    LONGS_EQUAL(0, wait.start_us);
    LONGS_EQUAL(5000, wait.length_us);
    CHECK(wait.id != spans[0].id);
}
