// Tests of what a VM remembers of requests under which servers ended.
#include "mimosacroft/gateway/crash_ledger.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;
using base::milliseconds;
using gateway::crash_verdict;

TEST_GROUP(crash_ledger)
{
    gateway::crash_ledger ledger;
    base::instant now{base::seconds(1'000)};
};

TEST(crash_ledger, one_server_that_ended_is_no_reason)
{
    CHECK_FALSE(ledger.on_servers_ended(1, 1, now));
    CHECK(ledger.verdict(1, now) == crash_verdict::harmless);
    CHECK(ledger.on_servers_ended(1, 1, now + base::seconds(5)));
    CHECK(ledger.verdict(1, now) == crash_verdict::suspected);
    CHECK(ledger.verdict(2, now) == crash_verdict::harmless);
}

// Servers may end for other reasons while good requests are at work there.
TEST(crash_ledger, a_request_is_condemned_only_by_a_server_that_was_asked_alone)
{
    CHECK(ledger.on_servers_ended(1, 20, now));
    CHECK(ledger.verdict(1, now) == crash_verdict::suspected);
    CHECK(ledger.on_probe_ended(1, now));
    CHECK(ledger.verdict(1, now) == crash_verdict::condemned);
    CHECK_FALSE(ledger.on_probe_ended(1, now));
    CHECK(ledger.on_answered(1));
    CHECK(ledger.empty());
}

TEST(crash_ledger, a_condemned_request_is_tried_again_later)
{
    ledger.on_servers_ended(1, 2, now);
    ledger.on_probe_ended(1, now);
    CHECK(ledger.condemned_for(1, now) > milliseconds(0));
    now += ledger.condemned_for(1, now);
    CHECK(ledger.condemned_for(1, now) == milliseconds(0));
    CHECK(ledger.verdict(1, now) == crash_verdict::suspected);
    now += base::seconds(600);
    CHECK(ledger.verdict(1, now) == crash_verdict::harmless);
    CHECK_FALSE(ledger.on_servers_ended(1, 1, now));
    CHECK(ledger.verdict(1, now) == crash_verdict::harmless);
}

TEST(crash_ledger, other_vms_know_it_no_longer_than_the_first)
{
    ledger.on_servers_ended(1, 2, now);
    ledger.on_probe_ended(1, now);
    gateway::crash_ledger other;
    other.merge(ledger.reports(now), now);
    CHECK(other.verdict(1, now) == crash_verdict::condemned);
    // Passed to and fro, it does not become younger.
    for (int n = 0; n < 300; ++n)
    {
        now += base::seconds(1);
        other.merge(ledger.reports(now), now);
        ledger.merge(other.reports(now), now);
    }
    CHECK(ledger.verdict(1, now) == crash_verdict::harmless);
    CHECK(other.verdict(1, now) == crash_verdict::harmless);
    LONGS_EQUAL(0, other.reports(now).size());
}

TEST(crash_ledger, what_another_vm_says_is_bounded)
{
    ledger.merge({{1, milliseconds(1LL << 60), milliseconds(-5)},
                  {2, milliseconds(-1), milliseconds(1LL << 60)}},
                 now);
    CHECK(ledger.condemned_for(1, now) <= milliseconds(30'000));
    CHECK(ledger.verdict(2, now) != crash_verdict::condemned);
}

TEST(crash_ledger, holds_a_bounded_number_and_drops_the_oldest)
{
    for (std::uint64_t n = 0; n < 2 * gateway::crash_ledger::max_entries; ++n)
        ledger.on_servers_ended(n, 2, now += milliseconds(1));
    LONGS_EQUAL(gateway::crash_ledger::max_entries,
                ledger.count(crash_verdict::suspected, now));
    CHECK(ledger.verdict(0, now) == crash_verdict::harmless);
    CHECK(ledger.reports(now).size() <= 8);
}
