// Tests the tracking of servers and the latency estimates for them.
#include "mimosacroft/gateway/server_pool.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;
using base::milliseconds;

TEST_GROUP(server_pool)
{
    gateway::server_pool pool{"a", {{"a", "r"}, {"b", "r"}, {"c", "other"}}};
    base::instant now{base::seconds(1'000)};

    gateway::server_entry entry(const std::string& id,
                                const std::string& data_centre = "a")
    {
        gateway::server_entry out;
        out.id = id;
        out.service = "s";
        out.address = "10.0.0.1:80";
        out.data_centre = data_centre;
        out.slots = 2;
        return out;
    }

    gateway::server& add(const std::string& id,
                         const std::string& data_centre = "a")
    {
        pool.apply(entry(id, data_centre), now);
        return *pool.of("s").back();
    }

    base::duration cost(const gateway::server& it)
    {
        return gateway::estimate_latency(it, milliseconds(10), now);
    }
};

TEST(server_pool, near_servers_come_first)
{
    const auto& far = add("far", "c");
    const auto& region = add("region", "b");
    const auto& near = add("near");
    CHECK(cost(near) < cost(region));
    CHECK(cost(region) < cost(far));
}

// Failure: a server is a few times slower than the others for some seconds.
TEST(server_pool, a_slow_server_is_avoided_and_later_tried_again)
{
    auto& slow = add("slow");
    const auto& other = add("other", "c");
    for (int n = 0; n < 8; ++n)
    {
        pool.on_sent(slow, now);
        now += milliseconds(100);
        pool.on_reply(slow, now - milliseconds(100), now, milliseconds(10), {});
    }
    CHECK(cost(slow) > cost(other));
    now += base::seconds(30);
    CHECK(cost(slow) < cost(other));
}

TEST(server_pool, one_slow_reply_does_not_make_a_slow_server)
{
    auto& it = add("it");
    const auto& other = add("other", "c");
    pool.on_sent(it, now);
    now += milliseconds(200);
    pool.on_reply(it, now - milliseconds(200), now, milliseconds(10), {});
    CHECK(cost(it) < cost(other));
}

// Failure: a paused server does not reply to its open requests.
TEST(server_pool, a_silent_server_is_avoided_until_it_replies)
{
    auto& it = add("it");
    const auto& other = add("other", "c");
    const auto sent = now;
    pool.on_sent(it, sent);
    now += milliseconds(40);
    CHECK(cost(it) > cost(other));
    pool.on_reply(it, sent, now, milliseconds(40), {});
    CHECK(cost(it) < cost(other));
}

TEST(server_pool, a_failing_server_is_avoided_longer_each_time)
{
    auto& it = add("it");
    base::duration before{};
    for (int n = 0; n < 3; ++n)
    {
        pool.on_sent(it, now);
        pool.on_failure(it, now, now);
        CHECK(cost(it) >= gateway::unlikely_estimate);
        CHECK(it.avoid_until - now > before);
        before = it.avoid_until - now;
    }
}

TEST(server_pool, a_removed_entry_may_come_back_within_the_hold_time)
{
    add("it");
    pool.remove("it", now, milliseconds(2'000));
    CHECK_FALSE(pool.of("s")[0]->listed);
    pool.apply(entry("it"), now + milliseconds(1'000));
    pool.forget_expired(now + milliseconds(5'000));
    LONGS_EQUAL(1, pool.size());
    pool.remove("it", now, milliseconds(2'000));
    pool.forget_expired(now + milliseconds(2'000));
    LONGS_EQUAL(0, pool.size());
}

TEST(server_pool, a_restart_under_the_same_id_is_another_server)
{
    auto& before = add("it");
    pool.on_sent(before, now);
    pool.on_failure(before, now, now);
    const auto number = before.number;
    auto again = entry("it");
    again.started_at = 99;
    CHECK(pool.apply(again, now));
    LONGS_EQUAL(1, pool.of("s").size());
    CHECK(pool.of("s")[0]->number != number);
    LONGS_EQUAL(0, pool.of("s")[0]->failures);
    CHECK(pool.find(number) == nullptr);
}

TEST(server_pool, an_address_that_moved_to_another_service_is_another_server)
{
    add("it");
    auto moved = entry("it");
    moved.service = "t";
    pool.apply(moved, now);
    CHECK(pool.of("s").empty());
    LONGS_EQUAL(1, pool.of("t").size());
}

TEST(server_pool, reported_load_expires_soon)
{
    auto& it = add("it");
    const auto idle = cost(it);
    pool.on_sent(it, now);
    pool.on_reply(it, now, now + milliseconds(11), milliseconds(10),
                  gateway::reported_load{2, 6, 2});
    now += milliseconds(11);
    CHECK(cost(it) > 2 * idle);
    now += milliseconds(300);
    CHECK(cost(it) < 2 * idle);
}

TEST(server_pool, a_server_in_warmup_is_estimated_slower)
{
    const auto& warm = add("warm");
    auto cold = entry("cold");
    cold.warmup_left = milliseconds(3'000);
    pool.apply(cold, now);
    CHECK(cost(*pool.of("s")[1]) > cost(warm));
    now += milliseconds(3'001);
    CHECK(cost(*pool.of("s")[1]) == cost(warm));
}

// A limit holds until an answer lacks it whose request was sent after the limit
// was last stated; an answer that was overtaken says nothing.
TEST(server_pool, a_stated_limit_ends_with_a_later_answer_without_one)
{
    auto& it = add("it");
    const auto state = [&](std::optional<double> limit, base::instant sent_at)
    { return pool.on_stated_limit(it, limit, sent_at, now); };
    CHECK_FALSE(state(std::nullopt, now));
    CHECK(state(25.3, now));
    LONGS_EQUAL(1, pool.limited());
    CHECK_FALSE(state(25.3, now));
    CHECK(state(12.0, now));
    const auto overtaken = now - milliseconds(20);
    now += milliseconds(5);
    CHECK_FALSE(state(std::nullopt, overtaken));
    CHECK(it.limit.has_value());
    CHECK(state(std::nullopt, now));
    LONGS_EQUAL(0, pool.limited());
}

// The shares of all VMs add up to the limit, whichever data centre each is in.
TEST(server_pool, shares_of_a_limit_add_up_to_it)
{
    const std::map<std::string, std::string> regions{
        {"a", "r"}, {"b", "r"}, {"c", "other"}};
    const gateway::fleet_counts fleet{{{"a", 3}, {"b", 2}, {"c", 4}}, 0};
    double total = 0;
    for (const auto& [data_centre, vms] : fleet.by_data_centre)
    {
        gateway::server_pool one(data_centre, regions);
        one.set_fleet(fleet);
        one.apply(entry("it", "b"), now);
        total += static_cast<double>(vms) * one.limit_share(*one.of("s")[0]);
    }
    DOUBLES_EQUAL(1, total, 1e-9);
    // VMs that are assumed to exist leave less to this one.
    pool.set_fleet({{{"a", 1}}, 15});
    DOUBLES_EQUAL(1.0 / 16, pool.limit_share(add("it")), 1e-9);
}
