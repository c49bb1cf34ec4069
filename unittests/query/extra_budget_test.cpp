// Tests of the budget of extra load.
#include "mimosacroft/query/extra_budget.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>
#include <vector>

using namespace mimosacroft;

TEST_GROUP(extra_budget){};

TEST(extra_budget, never_gives_more_than_its_share_and_burst)
{
    CHECK(rc::check(
        [](const std::vector<bool>& steps)
        {
            query::extra_budget budget({true, 0.05, 3});
            double first = 0;
            double extra = 0;
            for (const bool is_first : steps)
            {
                if (is_first)
                    budget.on_first_attempt();
                first += is_first ? 1 : 0;
                extra += !is_first && budget.take() ? 1 : 0;
                RC_ASSERT(extra <= 3 + 0.05 * first + 1e-9);
            }
        }));
}

TEST(extra_budget, fills_again_with_first_attempts)
{
    query::extra_budget budget({true, 0.05, 1});
    CHECK(budget.take());
    CHECK_FALSE(budget.take());
    for (int n = 0; n < 21; ++n)
        budget.on_first_attempt();
    CHECK(budget.take());
}
