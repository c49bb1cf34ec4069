// Tests of the choice of a server.
#include "mimosacroft/query/replica_chooser.hpp"

#include "query_fixture.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>

using namespace mimosacroft;
using namespace mimosacroft::tests;
using base::milliseconds;

TEST_GROUP(replica_chooser)
{
    query::replica_chooser chooser;
    model::upstream up = upstream_of("u", "oostende");
    std::map<std::string, std::uint32_t> busy;
    base::instant now = test_start;

    // Both servers become known together, so neither counts as new.
    void setup() override
    {
        choose();
    }

    std::string choose(std::uint32_t slots = 2)
    {
        const auto* it = chooser.choose(up,
                                        {slots, [this](const std::string& name)
                                         { return busy[name]; },
                                         [](const model::server& server)
                                         { return !server.leaving; }, nullptr},
                                        now);
        return it ? it->name : "";
    }

    void learn(const std::string& server, int ms)
    {
        for (int n = 0; n < 40; ++n)
            chooser.on_success(server, milliseconds(ms), now);
    }

    // Makes a server fail until it is out; false if it never is.
    bool fail_out(const std::string& server)
    {
        for (int n = 0; n < 20; ++n)
            if (chooser.on_failure(up, server, now))
                return true;
        return false;
    }
};

TEST(replica_chooser, takes_the_faster_server_and_the_less_busy_one)
{
    learn("u-a", 30);
    learn("u-b", 3);
    now += base::seconds(4);
    STRCMP_EQUAL("u-b", choose(20).c_str());
    busy["u-b"] = 15;
    STRCMP_EQUAL("u-a", choose(20).c_str());
}

TEST(replica_chooser, respects_slots_and_leaving_servers)
{
    busy = {{"u-a", 2}, {"u-b", 1}};
    STRCMP_EQUAL("u-b", choose().c_str());
    up.servers[1].leaving = true;
    STRCMP_EQUAL("", choose().c_str());
}

TEST(replica_chooser, a_reported_load_alone_does_not_decide)
{
    learn("u-a", 20);
    learn("u-b", 10);
    chooser.on_report("u-a", 0, "i1", now);
    chooser.on_report("u-b", 1, "i2", now);
    STRCMP_EQUAL("u-b", choose().c_str());
}

TEST(replica_chooser, a_server_that_fails_fast_draws_no_traffic)
{
    learn("u-a", 10);
    learn("u-b", 10);
    for (int n = 0; n < 4; ++n)
        chooser.on_failure(up, "u-a", now);
    STRCMP_EQUAL("u-b", choose().c_str());
    CHECK_FALSE(chooser.ejected("u-a", now));
}

TEST(replica_chooser, ejects_after_failures_in_a_row_but_never_all)
{
    CHECK(fail_out("u-a"));
    CHECK(chooser.ejected("u-a", now));
    CHECK_FALSE(fail_out("u-b"));
    STRCMP_EQUAL("u-b", choose().c_str());
}

TEST(replica_chooser, an_ejected_server_serves_when_the_others_leave)
{
    fail_out("u-a");
    up.servers[1].leaving = true;
    STRCMP_EQUAL("u-a", choose().c_str());
}

TEST(replica_chooser, an_ejected_server_returns_and_its_next_ejection_is_longer)
{
    const auto first = [&]
    {
        std::optional<base::duration> out;
        while (!out)
            out = chooser.on_failure(up, "u-a", now);
        return *out;
    }();
    now += first;
    CHECK_FALSE(chooser.ejected("u-a", now));
    const auto again = chooser.on_failure(up, "u-a", now);
    CHECK(again.has_value());
    CHECK(again == 2 * first);
}

TEST(replica_chooser, a_returned_server_starts_slowly)
{
    learn("u-a", 10);
    learn("u-b", 10);
    fail_out("u-a");
    now += base::seconds(1);
    for (int n = 0; n < 40; ++n)
        chooser.on_success("u-a", milliseconds(10), now);
    busy = {{"u-a", 1}, {"u-b", 8}};
    STRCMP_EQUAL("u-b", choose(10).c_str());
    now += base::seconds(3);
    STRCMP_EQUAL("u-a", choose(10).c_str());
}

TEST(replica_chooser, a_call_given_up_counts_as_slow)
{
    learn("u-a", 10);
    learn("u-b", 10);
    for (int n = 0; n < 5; ++n)
        chooser.on_abandoned("u-b", milliseconds(90), now);
    STRCMP_EQUAL("u-a", choose().c_str());
}

TEST(replica_chooser, without_latency_only_requests_in_flight_count)
{
    chooser = query::replica_chooser({.by_latency = false});
    learn("u-a", 90);
    learn("u-b", 3);
    busy["u-b"] = 1;
    STRCMP_EQUAL("u-a", choose().c_str());
}
