// Tests of the marks on servers that take no new work.
#include "mimosacroft/fleet/leaving_set.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;
using base::milliseconds;
using base::seconds;

namespace
{

constexpr base::instant test_start{seconds(10'000)};
constexpr auto retention = fleet::leaving_set::retention;

} // namespace

TEST_GROUP(leaving_set){};

TEST(leaving_set, an_old_rumour_does_not_bar_a_new_incarnation)
{
    fleet::leaving_set set;
    set.note_incarnation("a", "2", test_start);
    CHECK(set.add({"a", "1", 5}, test_start));
    CHECK_FALSE(set.bars("a"));
    CHECK(set.contains("a", "1"));
}

TEST(leaving_set, a_mark_bars_a_server_of_which_nothing_was_heard)
{
    fleet::leaving_set set;
    set.add({"a", "1", 5}, test_start);
    CHECK(set.bars("a"));
    CHECK_FALSE(set.bars("b"));
    set.note_incarnation("a", "2", test_start);
    CHECK_FALSE(set.bars("a"));
}

TEST(leaving_set, a_late_word_of_an_earlier_incarnation_does_not_readmit)
{
    fleet::leaving_set set;
    set.note_incarnation("a", "1", test_start);
    set.note_incarnation("a", "2", test_start + seconds(2));
    set.add({"a", "2", 0}, test_start + seconds(2));
    set.note_incarnation("a", "1", test_start + seconds(1));
    CHECK(set.bars("a"));
}

TEST(leaving_set, a_late_word_of_an_unknown_incarnation_does_not_bar)
{
    fleet::leaving_set set;
    // The call to 2 was sent later than the one that 1 answers at its end.
    set.note_incarnation("a", "2", test_start + seconds(1));
    set.note_incarnation("a", "1", test_start);
    set.add({"a", "1", 0}, test_start + seconds(2));
    CHECK_FALSE(set.bars("a"));
}

TEST(leaving_set, a_mark_is_added_once)
{
    fleet::leaving_set set;
    CHECK(set.add({"a", "1", 0}, test_start));
    CHECK_FALSE(set.add({"a", "1", 0}, test_start));
    LONGS_EQUAL(1, set.size());
}

TEST(leaving_set, a_mark_ends_with_its_retention)
{
    fleet::leaving_set set;
    set.add({"a", "1", 60}, test_start);
    set.expire(test_start + retention - seconds(61));
    CHECK(set.contains("a", "1"));
    set.expire(test_start + retention - seconds(60));
    CHECK_FALSE(set.contains("a", "1"));
    CHECK_FALSE(set.add({"a", "1", 3600}, test_start));
}

TEST(leaving_set, equal_sets_have_equal_sums)
{
    fleet::leaving_set one;
    fleet::leaving_set other;
    one.add({"a", "1", 0}, test_start);
    one.add({"b", "1", 0}, test_start);
    other.add({"b", "1", 9}, test_start);
    CHECK(one.fingerprint() != other.fingerprint());
    other.add({"a", "1", 9}, test_start);
    CHECK(one.fingerprint() == other.fingerprint());
    one.expire(test_start + retention);
    LONGS_EQUAL(0, one.fingerprint());
}

TEST(leaving_set, a_mark_that_two_vms_pass_to_and_fro_ends)
{
    fleet::leaving_set sets[2];
    auto now = test_start;
    sets[0].add({"a", "1", 0}, now);
    for (std::size_t n = 0; now < test_start + 2 * retention; ++n)
    {
        now += milliseconds(900);
        auto& from = sets[n % 2];
        auto& to = sets[(n + 1) % 2];
        from.expire(now);
        to.expire(now);
        for (const auto& mark : from.marks(retention, now))
            to.add(mark, now);
    }
    LONGS_EQUAL(0, sets[0].size() + sets[1].size());
}
