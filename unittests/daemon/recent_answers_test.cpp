// The summary of the last minute's answers.
#include "mimosacroft/daemon/recent_answers.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;

namespace
{

query::search_answer answer_of(int ms, model::outcome outcome)
{
    query::search_answer out;
    out.outcome = outcome;
    out.took = base::milliseconds(ms);
    return out;
}

} // namespace

TEST_GROUP(recent_answers)
{
    const base::instant start{base::seconds(1000)};
    daemon::recent_answers recent;
};

TEST(recent_answers, says_how_fast_how_whole_and_who_was_slow)
{
    for (int n = 1; n <= 99; ++n)
        recent.add(answer_of(n, model::outcome::answered), start);
    auto partial = answer_of(300, model::outcome::partial);
    partial.lacking.push_back({"s1", model::lack_reason::timeout, true});
    wire::span call;
    call.name = "upstream";
    call.peer = "slow";
    call.length_us = 9000;
    partial.spans.push_back(call);
    recent.add(partial, start + base::seconds(1));

    const auto it = recent.summary(start + base::seconds(2));
    LONGS_EQUAL(100, it.answers);
    LONGS_EQUAL(2000, base::to_ms(it.covers));
    LONGS_EQUAL(50, base::to_ms(it.median));
    LONGS_EQUAL(99, base::to_ms(it.p99));
    LONGS_EQUAL(1, it.outcomes.at(model::outcome::partial));
    LONGS_EQUAL(1, it.lacking.at("s1"));
    STRCMP_EQUAL("slow", it.slowest.at(0).server.c_str());
}

TEST(recent_answers, forgets_what_is_older_than_a_minute)
{
    recent.add(answer_of(1, model::outcome::answered), start);
    LONGS_EQUAL(0, recent.summary(start + base::seconds(61)).answers);
    LONGS_EQUAL(1, recent.summary(start + base::seconds(59)).answers);
}
