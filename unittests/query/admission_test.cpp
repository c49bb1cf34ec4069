// Tests of the limit on a root's open queries.
#include "mimosacroft/query/admission.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;
using base::milliseconds;
using model::priority;

namespace
{

constexpr base::instant start{base::seconds(1000)};

query::admission_options small_limit()
{
    query::admission_options out;
    out.initial_limit = 4;
    out.least_limit = 2;
    return out;
}

} // namespace

TEST_GROUP(admission){};

TEST(admission, refuses_ordinary_queries_at_the_limit)
{
    query::admission it(small_limit());
    for (int n = 0; n < 4; ++n)
        CHECK(it.try_open(priority::ordinary));
    CHECK_FALSE(it.try_open(priority::ordinary));
    it.close(priority::ordinary, 10, 0, start);
    CHECK(it.try_open(priority::ordinary));
}

TEST(admission, urgent_queries_are_taken_while_ordinary_ones_run)
{
    query::admission it(small_limit());
    for (int n = 0; n < 4; ++n)
        CHECK(it.try_open(priority::ordinary));
    CHECK(it.try_open(priority::urgent));
    for (int n = 0; n < 4; ++n)
        it.close(priority::ordinary, 10, 0, start);
    int urgent = 1;
    while (urgent < 100 && it.try_open(priority::urgent))
        ++urgent;
    CHECK(urgent >= it.limit() * small_limit().urgent_factor);
    CHECK(urgent < it.limit() * small_limit().urgent_factor + 1);
}

TEST(admission, the_limit_falls_with_queues_and_grows_back)
{
    query::admission it(small_limit());
    for (int n = 0; n < 4; ++n)
        CHECK(it.try_open(priority::ordinary));
    it.close(priority::ordinary, 10, 5, start);
    CHECK(it.limit() < 4);
    for (int n = 0; n < 50; ++n)
    {
        it.close(priority::ordinary, 10, 0, start + milliseconds(n));
        while (it.try_open(priority::ordinary))
        {
        }
    }
    CHECK(it.limit() > 4);
}

TEST(admission, lost_shards_without_a_queue_do_not_lower_the_limit)
{
    query::admission it(small_limit());
    for (int n = 0; n < 100; ++n)
    {
        CHECK(it.try_open(priority::ordinary));
        it.close(priority::ordinary, 10, 0, start + milliseconds(100 * n));
    }
    CHECK(it.limit() >= 4);
}

TEST(admission, the_limit_never_falls_below_the_least)
{
    query::admission it(small_limit());
    for (int n = 0; n < 100; ++n)
    {
        CHECK(it.try_open(priority::ordinary));
        it.close(priority::ordinary, 10, 10, start + milliseconds(100 * n));
    }
    CHECK(it.limit() >= 2);
}
