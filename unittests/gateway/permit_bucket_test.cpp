// Tests the token bucket for sends to a server that states a limit.
#include "mimosacroft/gateway/permit_bucket.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;
using base::milliseconds;

TEST_GROUP(permit_bucket)
{
    base::instant now{base::seconds(1'000)};

    /// Takes every permit that there is for a time, and counts them.
    int take_all(gateway::permit_bucket & it, double rate, milliseconds length)
    {
        int out = 0;
        for (milliseconds n{0}; n < length; n += milliseconds(1))
        {
            now += milliseconds(1);
            it.advance(rate, now);
            for (; it.has_permit(0); it.take())
                ++out;
        }
        return out;
    }
};

TEST(permit_bucket, grants_its_rate_and_stores_one_second_of_it)
{
    gateway::permit_bucket it(0, now);
    const auto n = take_all(it, 5, milliseconds(4'010));
    CHECK(n == 20 || n == 19);
    now += base::seconds(60);
    LONGS_EQUAL(5, take_all(it, 5, milliseconds(1)));
}

TEST(permit_bucket, keeps_back_a_share_of_the_stored_permits)
{
    gateway::permit_bucket it(0, now);
    it.advance(9, now + base::seconds(2));
    int n = 0;
    for (; it.has_permit(0.5); it.take())
        ++n;
    LONGS_EQUAL(5, n);
    CHECK(it.has_permit(0));
}

TEST(permit_bucket, with_a_low_rate_an_unused_permit_lapses)
{
    gateway::permit_bucket it(0, now);
    const double rate = 0.25;
    it.advance(rate, now + milliseconds(3'900));
    CHECK_FALSE(it.has_permit(0));
    it.advance(rate, now + milliseconds(4'500));
    CHECK(it.has_permit(0));
    it.advance(rate, now + milliseconds(5'500));
    CHECK_FALSE(it.has_permit(0));
    it.advance(rate, now + milliseconds(9'500));
    CHECK(it.has_permit(0));
}

TEST(permit_bucket, a_rate_of_zero_grants_nothing)
{
    gateway::permit_bucket it(1, now);
    LONGS_EQUAL(0, take_all(it, 0, milliseconds(500)));
}
