// Tests of what servers say of themselves in their answers: that they leave,
// and that they want no request for a while.
#include "gateway_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace gateway_test;

TEST_GROUP(statements)
{
    gateway_harness b{
        {scattered(4), single(gateway::execution_semantics::idempotent)}};
    TEST_SETUP()
    {
        b.add_server("d1", "desk");
        b.add_server("d2", "desk");
    }

    static gateway::server_reply leaving_reply()
    {
        auto out = gateway_harness::good_reply();
        out.leaving = true;
        return out;
    }

    static gateway::server_reply pausing(milliseconds pause)
    {
        auto out = gateway_harness::not_executed();
        out.pause = pause;
        return out;
    }

    gateway::server_entry entry(const char* id, std::int64_t started_at)
    {
        gateway::server_entry out;
        out.id = id;
        out.service = "desk";
        out.address = "10.0.0.1:80";
        out.data_centre = "a";
        out.started_at = started_at;
        return out;
    }

    /// The server that the next request goes to, which it answers.
    std::string ask(gateway::server_reply reply = gateway_harness::good_reply())
    {
        const auto out = b.open("/one/q");
        if (out.sends.empty())
            return "";
        b.reply(out.sends[0].number, std::move(reply));
        return out.sends[0].server_id;
    }
};

// Guards against DRAIN: a server that leaves says so in all its answers, also
// while the store still lists it as ready or can't be reached.
TEST(statements, a_server_that_says_that_it_leaves_gets_no_more_requests)
{
    const auto left = ask(leaving_reply());
    for (int n = 0; n < 50; ++n)
        CHECK(ask() != left);
    // Neither an older entry of the store nor its return after an outage undoes
    // it, but a new incarnation is a new server.
    auto& servers = b.subject.servers();
    servers.apply(entry(left.c_str(), 0), b.now);
    for (int n = 0; n < 20; ++n)
        CHECK(ask() != left);
}

TEST(statements, a_server_that_left_is_remembered_although_its_entry_comes_back)
{
    auto& servers = b.subject.servers();
    for (const char* id : {"d1", "d2"})
        servers.forget(servers.of("desk").front()->number), (void)id;
    servers.apply(entry("d3", 7), b.now);
    servers.apply(entry("d4", 7), b.now);
    const auto left = ask(leaving_reply());
    b.subject.remove_server(left, b.now, milliseconds(1'000));
    b.tick(milliseconds(2'000));
    LONGS_EQUAL(1, servers.size());
    servers.apply(entry(left.c_str(), 7), b.now);
    for (int n = 0; n < 20; ++n)
        CHECK(ask() != left);
    servers.apply(entry(left.c_str(), 8), b.now);
    std::size_t used = 0;
    for (int n = 0; n < 50; ++n)
        used += ask() == left ? 1 : 0;
    CHECK(used > 0);
}

TEST(statements, other_vms_hear_of_a_server_that_leaves)
{
    auto& servers = b.subject.servers();
    servers.apply(entry("d1", 7), b.now);
    gateway::relayed_request request;
    request.news.leaving = {{"d1", 7}, {"unknown", 3}};
    request.version = 99; // declined, but its news counts
    gateway::effects out;
    b.subject.open_relayed(50, std::move(request), b.now, out);
    for (int n = 0; n < 20; ++n)
        STRCMP_EQUAL("d2", ask().c_str());
    // It is passed on, and a server that was not listed yet starts as leaving.
    LONGS_EQUAL(2, servers.recently_left(b.now).size());
    servers.apply(entry("unknown", 3), b.now);
    LONGS_EQUAL(2, servers.leaving());
}

// Guards against BUDGET: a server that turned a request away with 503 and
// Retry-After wants nothing from this VM for so long.
TEST(statements, a_paused_server_gets_nothing_until_its_pause_is_over)
{
    const auto paused = ask(pausing(milliseconds(2'000)));
    for (int n = 0; n < 19; ++n)
    {
        CHECK(ask() != paused);
        b.tick(milliseconds(100));
    }
    b.tick(milliseconds(100));
    std::size_t used = 0;
    for (int n = 0; n < 50; ++n)
        used += ask() == paused ? 1 : 0;
    CHECK(used > 0);
}

TEST(statements, with_all_servers_paused_a_request_is_refused_with_their_time)
{
    const auto first = b.open("/one/q");
    const auto second =
        b.reply(first.sends[0].number, pausing(milliseconds(3'000)));
    const auto last =
        b.reply(second.sends[0].number, pausing(milliseconds(1'500)));
    // Both said that they did not run it.
    const auto refused = b.open("/one/q");
    LONGS_EQUAL(0, refused.sends.size());
    LONGS_EQUAL(1, refused.answers.size());
    const auto& reply = std::get<gateway::refused>(refused.answers[0].reply);
    CHECK(reply.why == gateway::refusal::overloaded);
    CHECK(reply.retry_after == milliseconds(1'500));
    CHECK(gateway_harness::refusal_in(last) == gateway::refusal::overloaded);
}

// With one shard of four paused the answer has the other three; with two it is
// refused at once, and the callers may return when enough shards are back.
TEST(statements, a_paused_shard_is_left_out_at_once)
{
    b.add_shards(4);
    const auto first = b.open("/all/q");
    for (std::size_t n = 1; n < 4; ++n)
        b.reply(first.sends[n].number);
    const auto retry =
        b.reply(first.sends[0].number, pausing(milliseconds(4'000)));
    LONGS_EQUAL(1, retry.sends.size());
    const auto last =
        b.reply(retry.sends[0].number, pausing(milliseconds(5'000)));
    LONGS_EQUAL(1, gateway_harness::merged_in(last)->missing);

    const auto second = b.open("/all/q");
    LONGS_EQUAL(3, second.sends.size());
    const auto again =
        b.reply(second.sends[0].number, pausing(milliseconds(2'000)));
    const auto refused =
        b.reply(again.sends.at(0).number, pausing(milliseconds(1'000)));
    CHECK(gateway_harness::refusal_in(refused).has_value());
    const auto third = b.open("/all/q");
    LONGS_EQUAL(0, third.sends.size());
    const auto& reply = std::get<gateway::refused>(third.answers.at(0).reply);
    CHECK(reply.why == gateway::refusal::overloaded);
    CHECK(reply.retry_after == milliseconds(1'000));
}

TEST(statements, a_pause_is_bounded_and_one_that_cannot_be_read_is_logged_once)
{
    ask(pausing(milliseconds(1LL << 40)));
    LONGS_EQUAL(1, b.subject.servers().paused(b.now + base::seconds(299)));
    LONGS_EQUAL(0, b.subject.servers().paused(b.now + base::seconds(301)));
    std::size_t lines = 0;
    for (int n = 0; n < 5; ++n)
    {
        const auto out = b.open("/one/q");
        auto reply = gateway_harness::not_executed();
        reply.has_invalid_pause = true;
        for (const auto& it :
             b.reply(out.sends.at(0).number, std::move(reply)).events)
            lines += it.id == core::event_id::server_pause_ignored ? 1 : 0;
        b.tick(milliseconds(1'000));
    }
    LONGS_EQUAL(1, lines);
}
