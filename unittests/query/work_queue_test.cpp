// Tests of the order and the bounds of waiting subqueries.
#include "mimosacroft/query/work_queue.hpp"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace mimosacroft;
using model::priority;

namespace
{

base::instant at(int ms)
{
    return base::instant(base::milliseconds(ms));
}

} // namespace

TEST_GROUP(work_queue){};

TEST(work_queue, serves_urgent_first_and_the_earliest_deadline_in_each_class)
{
    query::work_queue<int> queue;
    queue.push(priority::ordinary, at(10), 4);
    queue.push(priority::urgent, at(30), 2);
    queue.push(priority::urgent, at(20), 1);
    queue.push(priority::ordinary, at(5), 3);
    for (const int wanted : {1, 2, 3, 4})
        LONGS_EQUAL(wanted, queue.pop());
}

TEST(work_queue, ordinary_ones_keep_a_bounded_share)
{
    query::work_queue<int> queue({1000, 8, true});
    for (int n = 0; n < 80; ++n)
        queue.push(priority::urgent, at(n), 1);
    for (int n = 0; n < 80; ++n)
        queue.push(priority::ordinary, at(n), 0);
    int urgent = 0;
    for (int n = 0; n < 80; ++n)
        urgent += queue.pop();
    LONGS_EQUAL(70, urgent);
}

TEST(work_queue, urgent_ones_under_pressure_take_the_ordinary_share)
{
    query::work_queue<int> queue({1000, 2, true});
    for (int n = 0; n < 10; ++n)
    {
        queue.push(priority::urgent, at(n), 1);
        queue.push(priority::ordinary, at(n), 0);
    }
    queue.press_urgent();
    for (int n = 0; n < 10; ++n)
        LONGS_EQUAL(1, queue.pop());
    // The pressure ends with the last urgent one.
    queue.push(priority::urgent, at(1), 1);
    queue.push(priority::urgent, at(2), 1);
    LONGS_EQUAL(0, queue.pop());
}

TEST(work_queue, a_full_queue_evicts_the_latest_ordinary_one_only)
{
    query::work_queue<int> queue({3, 8, true});
    queue.push(priority::ordinary, at(10), 1);
    queue.push(priority::ordinary, at(20), 2);
    queue.push(priority::urgent, at(5), 3);
    CHECK(queue.full());
    LONGS_EQUAL(2, queue.evict_ordinary().value());
    LONGS_EQUAL(1, queue.evict_ordinary().value());
    CHECK_FALSE(queue.evict_ordinary().has_value());
}

TEST(work_queue, a_removed_item_is_not_served)
{
    query::work_queue<int> queue;
    const auto gone = queue.push(priority::urgent, at(1), 1);
    queue.push(priority::ordinary, at(2), 2);
    CHECK(queue.remove(gone));
    CHECK_FALSE(queue.remove(gone));
    LONGS_EQUAL(2, queue.pop());
    CHECK(queue.empty());
}

TEST(work_queue, counts_what_goes_first)
{
    query::work_queue<int> queue;
    queue.push(priority::urgent, at(10), 1);
    queue.push(priority::urgent, at(30), 2);
    queue.push(priority::ordinary, at(5), 3);
    LONGS_EQUAL(1, queue.ahead_of(priority::urgent, at(20)));
    LONGS_EQUAL(3, queue.ahead_of(priority::ordinary, at(6)));
}

TEST(work_queue, without_priorities_the_order_is_that_of_arrival)
{
    query::work_queue<int> queue({10, 8, false});
    queue.push(priority::ordinary, at(30), 1);
    queue.push(priority::urgent, at(10), 2);
    LONGS_EQUAL(1, queue.pop());
    LONGS_EQUAL(2, queue.pop());
}
