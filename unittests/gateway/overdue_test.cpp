// Tests of a VM that stood still for a while: timers, replies and requests
// that were due long ago come at once.
#include "gateway_fixture.hpp"

#include <CppUTest/TestHarness.h>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace gateway_test;
using gateway::execution_semantics;
using gateway::refusal;

namespace
{

// Room for one exchange with each server.
const gateway::service_settings narrow_desk{"desk", 2};

gateway_harness
one_place(execution_semantics semantics = execution_semantics::at_most_once)
{
    gateway_harness out{
        {single(semantics)}, gateway_harness::make_options(), {narrow_desk}};
    out.add_server("x", "desk");
    return out;
}

constexpr milliseconds beyond_timeout{7'000};

} // namespace

TEST_GROUP(overdue){};

// Guards against requests that are answered "not run" and run afterwards, most
// of them twice: their place became free only after their own deadline.
TEST(overdue, a_request_that_waited_past_its_deadline_is_refused_and_never_sent)
{
    auto b = one_place();
    const auto first = b.open("/one/q", milliseconds(9'000));
    LONGS_EQUAL(1, first.sends.size());
    const auto second = b.open("/one/q", milliseconds(9'000));
    CHECK(second.sends.empty());
    const auto out = b.tick(beyond_timeout);
    CHECK(out.sends.empty());
    LONGS_EQUAL(2, out.answers.size());
}

// The same, when the reply that frees the place comes before the timer.
TEST(overdue, a_late_reply_sends_nothing_that_is_past_its_deadline)
{
    for (const bool is_lost : {false, true})
    {
        auto b = one_place();
        const auto first = b.open("/one/q", milliseconds(9'000));
        b.open("/one/q", milliseconds(9'000));
        b.now += beyond_timeout;
        const auto out =
            is_lost ? b.fail(first.sends[0].number, gateway::send_failure::lost)
                    : b.reply(first.sends[0].number);
        CHECK(out.sends.empty());
        CHECK(b.tick(milliseconds(1)).sends.empty());
        LONGS_EQUAL(0, b.subject.open_queries());
    }
}

// An idempotent request is not repeated either, once its caller has given up.
TEST(overdue, nothing_is_repeated_past_the_deadline)
{
    auto b = one_place(execution_semantics::idempotent);
    b.add_server("y", "desk");
    b.open("/one/q", milliseconds(9'000));
    const auto out = b.tick(beyond_timeout);
    CHECK(out.sends.empty());
    CHECK(gateway_harness::refusal_in(out) == refusal::timed_out);
}

// Guards against a send that goes out although its exchange has ended: the
// process carries out the cancels of a step before its sends.
TEST(overdue, an_exchange_that_begins_and_ends_in_one_step_is_not_sent)
{
    gateway::effects out;
    out.sends.emplace_back().number = 1;
    out.sends.emplace_back().number = 2;
    out.relays.emplace_back().number = 3;
    out.cancel(2);
    out.cancel(3);
    out.cancel(4);
    LONGS_EQUAL(1, out.sends.size());
    LONGS_EQUAL(1, out.sends[0].number);
    CHECK(out.relays.empty());
    CHECK(out.cancels == std::vector<gateway::exchange_number>{4});
}

namespace
{

// What the servers and callers of several requests see. A request is named by
// its number in the harness.
class crowd
{
public:
    crowd() { subject.add_server("y", "desk"); }

    void ask()
    {
        auto request = gateway_harness::request("/one/q", milliseconds(9'000));
        const auto number = ++subject.last_query;
        request.id = std::to_string(number);
        gateway::effects out;
        subject.subject.open(number, std::move(request), subject.now, out);
        subject.mark_written(out);
        carry_out(out);
    }

    // One of the running exchanges ends, as `how` says.
    void end_exchange(std::size_t which, std::uint8_t how)
    {
        if (running.empty())
            return;
        const auto it = std::next(running.begin(),
                                  static_cast<long>(which % running.size()));
        const auto [number, id] = *it;
        running.erase(it);
        if (how % 3 == 0)
        {
            --runs[id];
            carry_out(subject.reply(number, gateway_harness::not_executed()));
        }
        else if (how % 3 == 1)
            carry_out(subject.reply(number));
        else
            carry_out(subject.fail(number, gateway::send_failure::lost));
    }

    // Time in which the VM stands still.
    void stand_still(milliseconds length) { subject.now += length; }

    void tick() { carry_out(subject.tick(milliseconds(0))); }

private:
    // In the order of the process: cancels, answers, sends.
    void carry_out(const gateway::effects& out)
    {
        for (const auto number : out.cancels)
            running.erase(number);
        for (const auto& answer : out.answers)
            if (const auto* it = std::get_if<gateway::refused>(&answer.reply))
                if (it->why != refusal::failed && it->why != refusal::timed_out)
                    not_run.insert(std::to_string(answer.number));
        for (const auto& send : out.sends)
        {
            running.emplace(send.number, send.request->id);
            ++runs[send.request->id];
        }
        for (const auto& [id, n] : runs)
        {
            RC_ASSERT(n <= 1);
            RC_ASSERT(n == 0 || !not_run.contains(id));
        }
    }

    gateway_harness subject = one_place();
    std::map<gateway::exchange_number, std::string> running;
    std::map<std::string, int> runs; ///< less those that a server refused
    std::set<std::string> not_run;   ///< according to their answers
};

} // namespace

// For any course of requests, replies and times of standing still: a request
// that must run at most once does so, and none that was refused as not run is
// ever run.
TEST(overdue, not_run_is_true_whenever_the_vm_stood_still)
{
    CHECK(rc::check(
        [](const std::vector<std::uint16_t>& steps)
        {
            crowd all;
            for (const auto step : steps)
            {
                const auto kind = step % 8;
                const auto rest = step / 8;
                if (kind < 3)
                    all.ask();
                else if (kind < 5)
                    all.end_exchange(rest / 3,
                                     static_cast<std::uint8_t>(rest % 3));
                else if (kind < 7)
                    all.stand_still(milliseconds(rest));
                if (kind == 7 || rest % 2 == 0)
                    all.tick();
            }
        }));
}
