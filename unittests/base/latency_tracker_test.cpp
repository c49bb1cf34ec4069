// Tests of the mean and the quantiles of recent latencies.
#include "mimosacroft/base/latency_tracker.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;
using base::milliseconds;

TEST_GROUP(latency_tracker){};

TEST(latency_tracker, a_quantile_is_within_a_bucket_of_the_truth)
{
    base::latency_tracker tracker;
    for (int n = 1; n <= 100; ++n)
        tracker.add(milliseconds(n));
    const auto high = base::to_ms(tracker.quantile(0.95));
    CHECK(high >= 95);
    CHECK(high <= 95 * 1.2);
}

TEST(latency_tracker, old_samples_fade)
{
    base::latency_tracker tracker;
    for (int n = 0; n < 1000; ++n)
        tracker.add(milliseconds(100));
    for (int n = 0; n < 5000; ++n)
        tracker.add(milliseconds(1));
    CHECK(tracker.quantile(0.95) < milliseconds(2));
    CHECK(tracker.mean() < milliseconds(2));
}

TEST(latency_tracker, gives_zero_without_samples)
{
    const base::latency_tracker tracker;
    CHECK(tracker.quantile(0.95) == base::duration::zero());
}
