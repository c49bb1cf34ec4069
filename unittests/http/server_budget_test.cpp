// Tests of the budget of bytes, without connections.
#include "mimosacroft/base/clock.hpp"
#include "mimosacroft/http/process_limits.hpp"
#include "mimosacroft/http/server_budget.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <memory>
#include <rapidcheck.h>
#include <vector>

using namespace mimosacroft;
using http::budget_account;
using http::server_budget;

namespace
{

/// Holds what it is told until it is shed.
struct holder
{
    explicit holder(server_budget& budget)
        : account(budget,
                  [this]
                  {
                      held = 0;
                      account.set_sheddable(0, base::now());
                  })
    {
    }

    std::size_t held = 0;
    std::size_t kept = 0;
    budget_account account;
};

} // namespace

TEST_GROUP(server_budget){};

TEST(server_budget, the_sum_stays_within_the_bound_whatever_happens)
{
    const bool holds = rc::check(
        []
        {
            constexpr std::size_t max_bytes = 1'000;
            server_budget budget(max_bytes);
            std::vector<std::unique_ptr<holder>> all;
            const auto steps = *rc::gen::container<std::vector<int>>(
                rc::gen::inRange(0, 4'000));
            for (const int step : steps)
            {
                const auto n = static_cast<std::size_t>(step / 4);
                if (step % 4 == 0 || all.empty())
                    all.push_back(std::make_unique<holder>(budget));
                auto& it = *all.at(n % all.size());
                if (step % 4 == 1)
                {
                    it.held = n;
                    it.account.set_sheddable(n, base::now());
                }
                else if (step % 4 == 2 && it.kept == 0)
                    it.kept = it.account.keep(n) ? n : 0;
                else if (step % 4 == 3)
                {
                    it.account.release_kept();
                    it.kept = 0;
                }
                std::size_t sum = 0;
                std::size_t kept = 0;
                std::size_t largest = 0;
                for (const auto& h : all)
                {
                    sum += h->held + h->kept;
                    kept += h->kept;
                    largest = std::max(largest, h->held + h->kept);
                }
                RC_ASSERT(sum == budget.held_bytes());
                RC_ASSERT(kept <= std::max(max_bytes / 2, largest));
                RC_ASSERT(sum <= std::max(max_bytes, largest + kept));
            }
        });
    CHECK(holds);
}

TEST(server_budget, what_holds_longest_goes_before_what_has_just_come)
{
    const auto now = base::now();
    server_budget budget(100);
    holder old(budget);
    holder fresh(budget);
    old.held = 40;
    old.account.set_sheddable(40, now - base::seconds(5));
    fresh.held = 70;
    fresh.account.set_sheddable(70, now);
    LONGS_EQUAL(0, old.held);
    LONGS_EQUAL(70, fresh.held);
}

TEST(server_budget, the_shares_of_a_process_stay_within_what_it_has)
{
    for (const std::size_t megabytes : {0U, 16U, 64U, 160U, 260U, 4'000U})
        for (const std::size_t sockets : {16U, 100U, 824U, 3'900U})
        {
            const auto it = http::limits_for(megabytes << 20U, sockets);
            CHECK(it.accepted + it.made <= sockets);
            if (megabytes > 0)
                CHECK(it.budget_bytes + 2 * it.unfinished_answer_bytes <=
                      (megabytes << 20U) / 2);
        }
}
