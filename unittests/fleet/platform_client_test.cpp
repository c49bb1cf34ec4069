// Tests of the calls to the platform: back-off, jitter, budget and the truth on
// whether it answers.
#include "mimosacroft/fleet/platform_client.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <set>

using namespace mimosacroft;
using base::milliseconds;
using base::seconds;

namespace
{

constexpr base::instant test_start{seconds(10'000)};

fleet::platform_client client(std::uint64_t seed = 1)
{
    return {{.address = "127.0.0.1:1"}, seed};
}

// The pause that follows a number of failures in a row.
base::duration pause_after(unsigned failures, std::uint64_t seed = 1)
{
    auto it = client(seed);
    core::effects out;
    for (unsigned k = 0; k < failures; ++k)
        it.note_reply(false, test_start, out);
    return it.next_call(seconds(0), test_start) - test_start;
}

std::uint64_t get(fleet::platform_client& it, base::instant now)
{
    core::effects out;
    return it.get("/v1/vms", "", milliseconds(0), now, out);
}

std::vector<core::event_id> events_of(const core::effects& all)
{
    std::vector<core::event_id> out;
    for (const auto& it : all)
        if (const auto* event = std::get_if<core::log_event>(&it))
            out.push_back(event->id);
    return out;
}

} // namespace

TEST_GROUP(platform_client){};

TEST(platform_client, pauses_double_with_failures_up_to_the_longest)
{
    const std::vector<milliseconds> longest{
        milliseconds(500), milliseconds(1000), milliseconds(2000),
        milliseconds(2000), milliseconds(2000)};
    for (unsigned n = 0; n < longest.size(); ++n)
        for (std::uint64_t seed = 1; seed <= 50; ++seed)
        {
            CHECK(pause_after(n + 1, seed) <= longest[n]);
            CHECK(pause_after(n + 1, seed) >= longest[n] / 2);
        }
    CHECK(pause_after(100'000) <= milliseconds(2000));
}

TEST(platform_client, pauses_of_vms_differ)
{
    std::set<base::duration> all;
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
        all.insert(pause_after(1, seed));
    CHECK(all.size() > 25);
}

TEST(platform_client, a_good_answer_ends_the_back_off)
{
    auto it = client();
    core::effects out;
    it.note_reply(false, test_start, out);
    it.note_reply(true, test_start, out);
    CHECK(it.next_call(seconds(3), test_start) == test_start + seconds(3));
}

TEST(platform_client, calls_keep_to_the_budget_and_refused_ones_are_counted)
{
    auto it = client();
    for (unsigned k = 0; k < 1000; ++k)
        get(it, test_start + k * milliseconds(10));
    // A burst of 8, then 4 a second for 10 s.
    CHECK(it.calls() >= 47);
    CHECK(it.calls() <= 48);
    LONGS_EQUAL(1000, it.calls() + it.held_back());
}

TEST(platform_client, an_idle_time_saves_up_no_more_than_one_burst)
{
    auto it = client();
    get(it, test_start);
    unsigned taken = 0;
    for (unsigned k = 0; k < 100; ++k)
        taken += get(it, test_start + seconds(3600)) != 0 ? 1 : 0;
    LONGS_EQUAL(8, taken);
}

TEST(platform_client, a_call_ends_after_the_wait_and_the_timeout)
{
    auto it = client();
    core::effects out;
    it.get("/v1/changes", "", seconds(5), test_start, out);
    const auto& call = std::get<core::http_call>(out.front());
    CHECK(call.deadline == test_start + seconds(6));
}

TEST(platform_client, loss_and_return_are_each_logged_once)
{
    auto it = client();
    core::effects out;
    for (const bool ok : {true, true, false, false, false, true, true})
        it.note_reply(ok, test_start, out);
    CHECK(events_of(out) == std::vector({core::event_id::platform_back,
                                         core::event_id::platform_lost,
                                         core::event_id::platform_back}));
}

TEST(platform_client, a_lost_answer_does_not_count_as_heard)
{
    auto it = client();
    core::effects out;
    it.note_reply(true, test_start, out);
    it.note_reply(false, test_start + seconds(1), out);
    CHECK(it.heard() == test_start);
    CHECK_FALSE(it.ok());
}
