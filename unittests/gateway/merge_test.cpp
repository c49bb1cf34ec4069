// Tests the merging of the records of several shards.
#include "mimosacroft/gateway/merge.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <functional>
#include <rapidcheck.h>

using namespace mimosacroft;

TEST_GROUP(merge){};

namespace
{

std::string record(unsigned char first)
{
    std::string out(gateway::record_bytes, '\0');
    out[0] = static_cast<char>(first);
    return out;
}

} // namespace

TEST(merge, the_greatest_come_first_compared_as_unsigned_bytes)
{
    const auto a = record(1) + record(200);
    const auto b = record(127);
    const auto expected = record(200) + record(127);
    CHECK(gateway::merge_records({a, b}, 2) == expected);
}

TEST(merge, equal_records_all_count_and_a_remainder_does_not)
{
    const auto a = record(5) + record(5) + "rest";
    CHECK(gateway::merge_records({a}, 9) == record(5) + record(5));
}

TEST(merge, is_the_same_in_one_step_and_in_two)
{
    CHECK(rc::check(
        [](const std::vector<std::vector<unsigned char>>& parts)
        {
            std::vector<std::string> bodies;
            for (const auto& it : parts)
            {
                auto& body = bodies.emplace_back();
                for (const auto first : it)
                    body += record(first);
            }
            constexpr std::size_t max_records = 5;
            const std::vector<std::string_view> all(bodies.begin(),
                                                    bodies.end());
            const auto half =
                all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2);
            const auto far =
                gateway::merge_records({half, all.end()}, max_records);
            std::vector<std::string_view> near(all.begin(), half);
            near.push_back(far);
            RC_ASSERT(gateway::merge_records(near, max_records) ==
                      gateway::merge_records(all, max_records));
        }));
}
