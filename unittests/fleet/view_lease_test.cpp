// Tests of confirmations of the list of VMs and of when it is settled.
#include "mimosacroft/fleet/view_lease.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;
using base::milliseconds;
using base::seconds;

namespace
{

constexpr base::instant test_start{seconds(10'000)};

fleet::view view_of(std::uint64_t version, const std::vector<std::string>& vms)
{
    std::vector<wire::view_entry> entries;
    for (const auto& it : vms)
        entries.push_back({it, "oostende", "127.0.0.1:1", false});
    return {version, std::move(entries)};
}

} // namespace

// The lease of VM "a" of three.
TEST_GROUP(view_lease)
{
    fleet::view_lease lease{"a", "oostende", {}};
    std::vector<fleet::view_lease::outgoing> out;

    void setup() override
    {
        lease.on_view(view_of(5, {"a", "b", "c"}), test_start);
    }

    void confirm_by_platform(base::instant asked)
    {
        lease.on_platform(asked, asked, out);
    }

    // Lets time pass until a round of asks is sent; the number it has.
    std::uint64_t round(base::instant now)
    {
        out.clear();
        lease.on_tick(now, out);
        CHECK(!out.empty());
        return std::get<wire::view_ask>(out.front().second).sequence;
    }

    void answer(const std::string& from, std::uint64_t sequence,
                std::uint64_t version, bool counts, base::instant now)
    {
        wire::view_answer msg;
        msg.sequence = sequence;
        msg.view_version = version;
        msg.counts = counts;
        lease.on_answer(from, msg, now, out);
    }
};

TEST(view_lease, a_new_view_is_neither_confirmed_nor_settled)
{
    CHECK_FALSE(lease.fresh(test_start));
    CHECK_FALSE(lease.settled());
}

TEST(view_lease, the_platforms_word_counts_from_the_question_and_lapses)
{
    lease.on_platform(test_start, test_start + milliseconds(900), out);
    CHECK(lease.fresh(test_start + milliseconds(1500)));
    CHECK_FALSE(lease.fresh(test_start + milliseconds(1501)));
}

TEST(view_lease, an_older_confirmation_does_not_replace_a_younger_one)
{
    confirm_by_platform(test_start + seconds(1));
    lease.on_platform(test_start, test_start + seconds(1), out);
    CHECK(lease.confirmed() == test_start + seconds(1));
}

TEST(view_lease, a_newer_view_loses_the_confirmation_of_the_one_before)
{
    confirm_by_platform(test_start);
    lease.on_view(view_of(6, {"a", "b"}), test_start + milliseconds(1));
    CHECK_FALSE(lease.fresh(test_start + milliseconds(1)));
}

TEST(view_lease, a_quorum_at_the_same_view_confirms_it)
{
    confirm_by_platform(test_start);
    const auto now = test_start + seconds(2);
    const auto sequence = round(now);
    CHECK_FALSE(lease.fresh(now));
    answer("b", sequence, 5, true, now + milliseconds(5));
    CHECK(lease.fresh(now + milliseconds(5)));
    CHECK(lease.confirmed() == now);
}

TEST(view_lease, a_vm_at_another_view_does_not_count_for_the_quorum)
{
    confirm_by_platform(test_start);
    const auto now = test_start + seconds(2);
    const auto sequence = round(now);
    answer("b", sequence, 4, true, now);
    answer("c", sequence, 6, true, now);
    CHECK_FALSE(lease.fresh(now));
}

TEST(view_lease, vms_that_were_never_confirmed_make_no_quorum)
{
    confirm_by_platform(test_start);
    const auto now = test_start + seconds(2);
    const auto sequence = round(now);
    answer("b", sequence, 5, false, now);
    answer("c", sequence, 5, false, now);
    CHECK_FALSE(lease.fresh(now));
}

TEST(view_lease, the_platform_does_not_confirm_what_a_vm_knows_to_be_replaced)
{
    confirm_by_platform(test_start);
    answer("b", round(test_start + seconds(2)), 6, true,
           test_start + seconds(2));
    confirm_by_platform(test_start + seconds(3));
    CHECK_FALSE(lease.fresh(test_start + seconds(3)));
    lease.on_view(view_of(6, {"a", "b"}), test_start + seconds(3));
    confirm_by_platform(test_start + seconds(3));
    CHECK(lease.fresh(test_start + seconds(3)));
}

TEST(view_lease, a_late_answer_to_an_earlier_round_does_not_count)
{
    confirm_by_platform(test_start);
    const auto first = round(test_start + seconds(2));
    const auto second = round(test_start + seconds(4));
    CHECK(first != second);
    answer("b", first, 5, true, test_start + seconds(4));
    CHECK_FALSE(lease.fresh(test_start + seconds(4)));
}

TEST(view_lease, settles_when_a_quorum_has_left_the_older_view)
{
    const auto sequence = round(test_start);
    answer("b", sequence, 4, true, test_start);
    CHECK_FALSE(lease.settled());
    answer("c", sequence, 5, true, test_start);
    CHECK(lease.settled());
}

TEST(view_lease, a_quorum_of_the_new_view_alone_does_not_settle_it)
{
    // Of the three VMs of view 5, only "a" is in view 6.
    lease.on_view(view_of(6, {"a", "d", "e"}), test_start);
    const auto sequence = round(test_start);
    answer("d", sequence, 6, true, test_start);
    answer("e", sequence, 6, true, test_start);
    CHECK_FALSE(lease.settled());
    answer("c", sequence, 6, true, test_start);
    CHECK(lease.settled());
}

TEST(view_lease, a_view_whose_vms_are_lost_settles_after_the_orphan_wait)
{
    lease.on_tick(test_start + milliseconds(59'999), out);
    CHECK_FALSE(lease.settled());
    lease.on_tick(test_start + seconds(61), out);
    CHECK(lease.settled());
}

TEST(view_lease, a_confirmation_gets_no_younger_by_being_passed_on)
{
    confirm_by_platform(test_start);
    out.clear();
    const auto asked = test_start + seconds(1);
    lease.on_ask("b", {7, 5, true}, asked, out);
    const auto& msg = std::get<wire::view_answer>(out.back().second);
    CHECK(msg.confirmed);
    LONGS_EQUAL(-1'000'000, msg.offset_us);
}

TEST(view_lease, an_ask_is_held_until_there_is_a_newer_confirmation)
{
    lease.on_ask("b", {7, 5, true}, test_start, out);
    CHECK(out.empty());
    confirm_by_platform(test_start + milliseconds(10));
    LONGS_EQUAL(1, out.size());
    CHECK(std::get<wire::view_answer>(out.front().second).confirmed);
}
