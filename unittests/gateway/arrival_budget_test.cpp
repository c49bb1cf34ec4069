// Tests the limit on the extra requests that reach a service.
#include "mimosacroft/gateway/arrival_budget.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <rapidcheck.h>
#include <vector>

using namespace mimosacroft;
using base::milliseconds;

TEST_GROUP(arrival_budget){};

namespace
{

struct arrival
{
    base::instant at;
    bool is_extra = false;
};

// Whether the arrivals at the service keep the bound in every window. The
// number of requests is the maximum over the window, the window before it and
// the window that starts half a window earlier.
bool keeps_bound(const std::vector<arrival>& all, double ratio, double slack,
                 base::duration window)
{
    const auto count = [&all](base::instant from, base::instant to, bool extra)
    {
        double n = 0;
        for (const auto& it : all)
            n += it.is_extra == extra && it.at >= from && it.at < to ? 1 : 0;
        return n;
    };
    for (const auto& first : all)
    {
        const auto from = first.at;
        const auto extras = count(from, from + window, true);
        const auto half = from - window / 2;
        const auto requests = std::max({count(from, from + window, false),
                                        count(from - window, from, false),
                                        count(half, half + window, false)});
        if (extras > ratio * requests + slack + 1e-9)
            return false;
    }
    return true;
}

} // namespace

TEST(arrival_budget, keeps_the_bound_in_every_window)
{
    CHECK(rc::check(
        [](const std::vector<std::pair<std::uint8_t, bool>>& steps)
        {
            const gateway::arrival_budget_options options{0.2, 4,
                                                          base::seconds(10)};
            gateway::arrival_budget budget;
            base::instant now{base::seconds(100)};
            std::vector<arrival> all;
            for (const auto& [wait, is_extra] : steps)
            {
                now += milliseconds(wait * 10);
                if (!is_extra)
                    budget.on_request(now);
                if (!is_extra || budget.try_acquire(options, now))
                    all.push_back({now, is_extra});
            }
            RC_ASSERT(
                keeps_bound(all, options.ratio, options.slack, options.window));
        }));
}

TEST(arrival_budget, grants_nothing_without_requests_and_slack)
{
    gateway::arrival_budget budget;
    const base::instant now{base::seconds(100)};
    CHECK_FALSE(budget.try_acquire({0.2, 0, base::seconds(10)}, now));
}

TEST(arrival_budget, grants_again_after_the_window)
{
    const gateway::arrival_budget_options options{0, 2, base::seconds(10)};
    gateway::arrival_budget budget;
    base::instant now{base::seconds(100)};
    CHECK(budget.try_acquire(options, now));
    CHECK_FALSE(budget.try_acquire(options, now + base::seconds(9)));
    CHECK(budget.try_acquire(options, now + base::seconds(12)));
}
