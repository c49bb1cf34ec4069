// Tests of claims, against a platform that is played by hand.
#include "mimosacroft/query/claims.hpp"

#include "mimosacroft/base/utc_time.hpp"
#include "query_fixture.hpp"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace mimosacroft;
using namespace mimosacroft::tests;
using base::milliseconds;
using query::claim_verdict;

namespace
{
constexpr std::int64_t day_s = 86'400;
} // namespace

TEST_GROUP(claims)
{
    query::claims claims{{.vm = "vm-0", .platform_address = "127.0.0.1:1"}, 7};
    core::effects out;
    base::instant now = test_start;

    std::uint64_t acquire(const std::string& fingerprint = "f",
                          std::int64_t created_s = 1000)
    {
        return claims.acquire(
            {"name", fingerprint, created_s, test_start + milliseconds(1000)},
            now, out);
    }

    /// Claims a key that was made at second 1000, with this VM's clock as
    /// given.
    std::uint64_t acquire_dated(std::int64_t clock_s)
    {
        return claims.acquire({"t0000001000-name", "f", clock_s,
                               test_start + milliseconds(1000), 1000},
                              now, out);
    }

    void reply_at(const core::http_call& call, unsigned status,
                  const nlohmann::json& body, std::int64_t platform_s)
    {
        claims.on_http_reply(
            call.id,
            wire::http_reply{status,
                             {{"date", base::format_http_date(platform_s)}},
                             body.dump()},
            now, out);
    }

    /// The newest call, and its effects so far are dropped.
    core::http_call take_call()
    {
        CHECK_TRUE(count_of<core::http_call>(out) > 0);
        core::http_call call;
        for (const auto& it : out)
            if (const auto* found = std::get_if<core::http_call>(&it))
                call = *found;
        out.clear();
        return call;
    }

    void reply(const core::http_call& call, unsigned status,
               const nlohmann::json& body)
    {
        claims.on_http_reply(call.id, wire::http_reply{status, {}, body.dump()},
                             now, out);
    }

    void fail(const core::http_call& call, base::error_code code)
    {
        claims.on_http_reply(
            call.id, base::fail(code, base::step::wait, "platform", "lost"),
            now, out);
    }

    /// Runs the timers until a call is made.
    core::http_call next_call()
    {
        for (int n = 0; n < 100 && count_of<core::http_call>(out) == 0; ++n)
        {
            now = claims.next_wakeup();
            claims.on_tick(now, out);
        }
        return take_call();
    }

    static nlohmann::json object_of(const core::http_call& create,
                                    std::uint64_t version = 5)
    {
        return {{"kind", "claim"},
                {"name", "name"},
                {"version", version},
                {"value", nlohmann::json::parse(create.request.body)}};
    }

    claim_verdict verdict()
    {
        const auto all = claims.take_decisions();
        LONGS_EQUAL(1, all.size());
        return all.front().verdict;
    }
};

TEST(claims, wins_by_a_create_that_only_one_can_win)
{
    acquire();
    const auto call = take_call();
    STRCMP_EQUAL("PUT", call.request.method.c_str());
    STRCMP_EQUAL("0", call.request.headers.at("if-match").c_str());
    reply(call, 200, {{"version", 5}});
    CHECK(verdict() == claim_verdict::won);
}

TEST(claims, loses_against_another_claim_without_a_result)
{
    acquire();
    const auto theirs = take_call();
    acquire();
    const auto ours = take_call();
    reply(ours, 409, {{"object", object_of(theirs)}});
    CHECK(verdict() == claim_verdict::unknown);
}

TEST(claims, refuses_a_key_that_was_used_with_another_request)
{
    acquire("other");
    const auto theirs = take_call();
    acquire();
    reply(take_call(), 409, {{"object", object_of(theirs)}});
    CHECK(verdict() == claim_verdict::mismatch);
}

TEST(claims, refuses_a_key_older_than_the_retention)
{
    acquire("f", 1000);
    const auto theirs = take_call();
    acquire("f", 1000 + 24 * 3600 + 1);
    reply(take_call(), 409, {{"object", object_of(theirs)}});
    CHECK(verdict() == claim_verdict::expired);
}

TEST(claims, a_lost_answer_to_the_create_is_read_back)
{
    acquire();
    const auto create = take_call();
    fail(create, base::error_code::broken);
    const auto read = next_call();
    STRCMP_EQUAL("GET", read.request.method.c_str());
    reply(read, 200, object_of(create));
    CHECK(verdict() == claim_verdict::won);
}

TEST(claims, a_lost_create_is_done_again_with_the_same_nonce)
{
    acquire();
    const auto create = take_call();
    fail(create, base::error_code::timeout);
    reply(next_call(), 404, nlohmann::json::object());
    const auto again = next_call();
    STRCMP_EQUAL("PUT", again.request.method.c_str());
    STRCMP_EQUAL(create.request.body.c_str(), again.request.body.c_str());
    // The first create arrives late, after all.
    reply(again, 409, {{"object", object_of(create)}});
    CHECK(verdict() == claim_verdict::won);
}

TEST(claims, a_platform_that_is_away_is_decided_as_not_run_at_the_deadline)
{
    acquire();
    int calls = 0;
    while (claims.open() > 0 && calls < 100)
    {
        ++calls;
        fail(next_call(), base::error_code::unreachable);
        if (claims.next_wakeup() >= test_start + milliseconds(1000))
            claims.on_tick(test_start + milliseconds(1000), out);
    }
    CHECK(verdict() == claim_verdict::not_run);
    CHECK(calls < 10);
}

TEST(claims, an_unclear_claim_that_was_given_up_is_removed)
{
    acquire();
    const auto create = take_call();
    fail(create, base::error_code::timeout);
    now = test_start + milliseconds(1000);
    claims.on_tick(now, out);
    CHECK(verdict() == claim_verdict::not_run);
    const auto read = next_call();
    STRCMP_EQUAL("GET", read.request.method.c_str());
    reply(read, 200, object_of(create, 9));
    const auto removal = take_call();
    STRCMP_EQUAL("DELETE", removal.request.method.c_str());
    STRCMP_EQUAL("9", removal.request.headers.at("if-match").c_str());
    reply(removal, 200, {{"version", 10}});
    LONGS_EQUAL(0, claims.open());
}

TEST(claims, the_recorded_answer_is_given_to_a_re_send)
{
    const auto id = acquire();
    reply(take_call(), 200, {{"version", 5}});
    query::search_answer answer;
    answer.outcome = model::outcome::partial;
    answer.epoch = 3;
    answer.included = {{"s0", R"({"a":1})"}};
    answer.lacking = {{"s1", model::lack_reason::leaf_lost, true}};
    claims.record(id, answer, now, out);
    const auto write = take_call();
    STRCMP_EQUAL("5", write.request.headers.at("if-match").c_str());
    fail(write, base::error_code::broken);
    reply(next_call(), 409, nlohmann::json::object());
    LONGS_EQUAL(0, claims.open());

    (void)claims.take_decisions();
    acquire();
    reply(take_call(), 409, {{"object", object_of(write, 6)}});
    const auto got = claims.take_decisions();
    CHECK(got.at(0).verdict == claim_verdict::replay);
    CHECK(got.at(0).answer->outcome == model::outcome::partial);
    LONGS_EQUAL(3, got.at(0).answer->epoch);
    STRCMP_EQUAL(R"({"a":1})",
                 got.at(0).answer->included.at(0).payload.c_str());
    CHECK(got.at(0).answer->lacking.at(0).maybe_run);
}

TEST(claims, an_answer_too_large_to_keep_leaves_a_claim_that_says_so)
{
    const auto id = acquire();
    reply(take_call(), 200, {{"version", 5}});
    query::search_answer answer;
    answer.included = {{"s0", std::string(1'000'000, 'x')}};
    claims.record(id, answer, now, out);
    const auto write = take_call();
    CHECK(write.request.body.size() < 1000);
    (void)claims.take_decisions();
    acquire();
    reply(take_call(), 409, {{"object", object_of(write, 6)}});
    CHECK(verdict() == claim_verdict::unknown);
}

TEST(claims, a_dated_key_is_claimed_in_the_order_of_time)
{
    query::search_request request;
    request.caller = "a";
    request.idempotency_key = "t1796400000-7";
    const auto name = query::claim_name(request);
    STRCMP_EQUAL("t1796400000-", name.substr(0, 12).c_str());
    CHECK(query::time_of_key(name) == 1796400000);
    for (const auto* key : {"", "t179640000-7", "t1796400000", "T1796400000-7",
                            "1796400000-7", "t17964o0000-7", "k1"})
        CHECK_FALSE(query::time_of_key(key).has_value());
    acquire_dated(1000);
    STRCMP_EQUAL("/v1/objects/dated-claim/t0000001000-name",
                 take_call().request.path.c_str());
}

TEST(claims, a_dated_key_wins_up_to_the_retention_by_both_clocks)
{
    acquire_dated(1000 + day_s);
    reply_at(take_call(), 200, {{"version", 5}}, 1000 + day_s);
    CHECK(verdict() == claim_verdict::won);
}

TEST(claims, a_dated_key_that_is_too_old_creates_nothing)
{
    acquire_dated(1000 + day_s + 1);
    const auto read = take_call();
    STRCMP_EQUAL("GET", read.request.method.c_str());
    reply_at(read, 404, nlohmann::json::object(), 1000 + day_s + 1);
    CHECK(verdict() == claim_verdict::expired);
    LONGS_EQUAL(0, claims.open());
}

TEST(claims, a_dated_key_that_is_too_old_by_one_clock_does_not_run)
{
    // By this VM's clock.
    acquire_dated(1000 + day_s + 3600);
    reply_at(take_call(), 404, nlohmann::json::object(), 1000);
    CHECK(verdict() == claim_verdict::not_run);
    LONGS_EQUAL(0, claims.open());
    // By the platform's: the claim was made and is given back.
    acquire_dated(1000);
    reply_at(take_call(), 200, {{"version", 5}}, 1000 + day_s + 3600);
    CHECK(verdict() == claim_verdict::not_run);
    const auto removal = take_call();
    STRCMP_EQUAL("DELETE", removal.request.method.c_str());
    STRCMP_EQUAL("5", removal.request.headers.at("if-match").c_str());
    reply(removal, 200, {{"version", 6}});
    LONGS_EQUAL(0, claims.open());
}

TEST(claims, a_key_whose_create_is_read_back_too_late_does_not_run)
{
    acquire_dated(1000);
    const auto create = take_call();
    fail(create, base::error_code::broken);
    reply_at(next_call(), 200, object_of(create), 1000 + 2 * day_s);
    CHECK(verdict() == claim_verdict::not_run);
}

TEST(claims, a_recorded_answer_is_given_whatever_one_clock_says)
{
    const auto id = acquire_dated(1000);
    reply_at(take_call(), 200, {{"version", 5}}, 1000);
    claims.record(id, {}, now, out);
    const auto write = take_call();
    (void)claims.take_decisions();
    acquire_dated(1000);
    reply_at(take_call(), 409, {{"object", object_of(write, 6)}},
             1000 + 2 * day_s);
    CHECK(verdict() == claim_verdict::replay);
}

TEST(claims, names_tell_callers_and_searches_apart)
{
    query::search_request one;
    one.caller = "a";
    one.search = "bc";
    one.idempotency_key = "k";
    auto two = one;
    two.caller = "ab";
    two.search = "c";
    CHECK(query::claim_name(one) != query::claim_name(two));
    two = one;
    two.body = "{}";
    CHECK(query::claim_name(one) == query::claim_name(two));
    CHECK(query::claim_fingerprint(one) != query::claim_fingerprint(two));
}
