// Tests on real processes that a request with an idempotency key runs at most
// once, whatever befalls the entry VM that took it and the platform.
#include "mimosacroft/daemon/wall_clock.hpp"
#include "mimosacroft/query/claim_key.hpp"
#include "process_fleet.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <future>

using namespace mimosacroft;
using namespace mimosacroft::tests;
using nlohmann::json;

namespace
{
fleet_plan plan_at(int offset)
{
    fleet_plan plan;
    plan.port = test_port(offset);
    plan.upstreams = 1;
    plan.shards = 2;
    return plan;
}

json booking(const std::string& key, int body)
{
    return {{"query", body},
            {"routing_key", "board 7"},
            {"idempotency_key", key},
            {"deadline_ms", 1000}};
}

std::string outcome(const json& answer)
{
    return answer.value("outcome", "");
}

/// The most runs of any one booking or lookup, of both servers.
int most_runs(const process_fleet& fleet)
{
    int most = 0;
    for (int n = 0; n < 2; ++n)
    {
        const auto stats = json::parse(
            process_fleet::call(fleet.server(n), "GET", "/standin/stats").body);
        most = std::max(most, stats.at("most_runs").get<int>());
    }
    return most;
}

/// Waits with distinct lookups, so that most_runs stays 1 without a fault.
void await_serving(const process_fleet& fleet)
{
    int n = 0;
    for (int vm = 0; vm < fleet.vm_count(); ++vm)
        CHECK(eventually(
            [&]
            {
                return outcome(fleet.search(
                           vm, "lookup",
                           {{"query", "ready " + std::to_string(++n)}})) ==
                       "answered";
            }));
}

/// Sends a booking and does not wait for its end.
std::future<void> send_aside(const process_fleet& fleet, int vm,
                             const json& body)
{
    const wire::http_request request{"POST",
                                     "/v1/searches/booking",
                                     "",
                                     {{"authorization", "Bearer caller"}},
                                     body.dump()};
    // There is no reply when the VM is killed meanwhile.
    return std::async(std::launch::async, [to = fleet.vm_http(vm), request]
                      { (void)net::exchange(to, request, base::seconds(10)); });
}

int runs(const process_fleet& fleet)
{
    int sum = 0;
    for (int n = 0; n < 2; ++n)
        sum += json::parse(
                   process_fleet::call(fleet.server(n), "GET", "/standin/stats")
                       .body)
                   .at("served")
                   .get<int>();
    return sum;
}

std::string key_of_age(base::seconds age, const std::string& rest)
{
    const auto made_s = daemon::seconds_since_1970() - age.count();
    return "t" + std::to_string(made_s) + "-" + rest;
}

/// Claims of dated keys that the platform holds.
int dated_claims(const process_fleet& fleet)
{
    return json::parse(
               process_fleet::call(fleet.platform(), "GET", "/standin/stats")
                   .body)
        .at("objects")
        .value(query::dated_claim_kind, 0);
}

bool has_event(const process_fleet& fleet, int vm, const std::string& event)
{
    return process_fleet::call(fleet.vm_http(vm), "GET", "/metrics")
               .body.find("{event=\"" + event + "\"}") != std::string::npos;
}

} // namespace

TEST_GROUP(at_most_once){};

TEST(at_most_once, a_re_send_to_another_vm_gets_the_recorded_result)
{
    const process_fleet fleet(plan_at(400));
    await_serving(fleet);
    const auto first = fleet.search(0, "booking", booking("k1", 1));
    STRCMP_EQUAL("answered", outcome(first).c_str());
    CHECK_FALSE(first["replayed"].get<bool>());
    json again;
    CHECK(eventually(
        [&]
        {
            again = fleet.search(1, "booking", booking("k1", 1));
            return outcome(again) == "answered";
        }));
    CHECK(again["replayed"].get<bool>());
    CHECK(first["results"] == again["results"]);
    const auto other = fleet.search(2, "booking", booking("k1", 2));
    STRCMP_EQUAL("rejected", outcome(other).c_str());
    LONGS_EQUAL(1, most_runs(fleet));
}

TEST(at_most_once, a_re_send_after_the_first_vm_was_killed_does_not_run_again)
{
    process_fleet fleet(plan_at(404));
    await_serving(fleet);
    fleet.faults(fleet.server(0), {{"slow_share", 1}, {"slow_ms", 400}});
    fleet.faults(fleet.server(1), {{"slow_share", 1}, {"slow_ms", 400}});
    const auto before = runs(fleet);
    auto first = send_aside(fleet, 0, booking("k2", 1));
    CHECK(eventually([&] { return runs(fleet) > before; }));
    fleet.stop_vm(0);
    first.get();
    for (int n = 1; n < 3; ++n)
    {
        const auto again = fleet.search(n, "booking", booking("k2", 1));
        STRCMP_EQUAL("unknown", outcome(again).c_str());
    }
    LONGS_EQUAL(1, most_runs(fleet));
}

TEST(at_most_once, a_paused_vm_that_continues_does_not_run_it_again)
{
    process_fleet fleet(plan_at(500));
    await_serving(fleet);
    fleet.faults(fleet.platform(), {{"delay_ms", 300}});
    auto first = send_aside(fleet, 0, booking("k3", 1));
    // The create is on its way; its answer comes while the VM is paused.
    std::this_thread::sleep_for(base::milliseconds(100));
    fleet.vm_process(0).signal(SIGSTOP);
    std::this_thread::sleep_for(base::milliseconds(2500));
    fleet.faults(fleet.platform(), {{"delay_ms", 0}});
    const auto during = fleet.search(1, "booking", booking("k3", 1));
    fleet.vm_process(0).signal(SIGCONT);
    first.get();
    for (int n = 0; n < 3; ++n)
        (void)fleet.search(n, "booking", booking("k3", 1));
    CHECK(outcome(during) == "unknown" || outcome(during) == "answered");
    LONGS_EQUAL(1, most_runs(fleet));
}

TEST(at_most_once, with_the_platform_down_a_keyed_request_is_not_run)
{
    const process_fleet fleet(plan_at(504));
    await_serving(fleet);
    fleet.faults(fleet.platform(), {{"down", true}});
    const auto before = runs(fleet);
    const auto it = fleet.search(0, "booking", booking("k4", 1));
    STRCMP_EQUAL("not_run", outcome(it).c_str());
    LONGS_EQUAL(before, runs(fleet));
    fleet.faults(fleet.platform(), {{"down", false}});
    CHECK(eventually(
        [&]
        {
            return outcome(fleet.search(1, "booking", booking("k4", 1))) ==
                   "answered";
        }));
    LONGS_EQUAL(1, most_runs(fleet));
}

TEST(at_most_once, a_lost_answer_to_the_create_costs_nothing)
{
    const process_fleet fleet(plan_at(600));
    await_serving(fleet);
    fleet.faults(fleet.platform(), {{"lose", 1}});
    const auto it = fleet.search(0, "booking", booking("k5", 1));
    STRCMP_EQUAL("answered", outcome(it).c_str());
    LONGS_EQUAL(1, most_runs(fleet));
}

TEST(at_most_once, old_claims_are_removed_and_their_keys_stay_used_up)
{
    auto plan = plan_at(604);
    plan.vm_flags.insert(plan.vm_flags.end(), {"--claim-sweep-period-s", "1"});
    process_fleet fleet(plan);
    await_serving(fleet);
    const auto young = booking(key_of_age(base::seconds(60), "young"), 1);
    STRCMP_EQUAL("answered",
                 outcome(fleet.search(0, "booking", young)).c_str());
    // With the platform's clock an hour off, each VM sees it and none removes.
    fleet.faults(fleet.platform(), {{"clock_ahead_s", 3600}});
    const auto old = query::claim_lifetime + base::seconds(60);
    constexpr int old_claims = 20;
    for (int n = 0; n < old_claims; ++n)
        process_fleet::call(fleet.platform(), "PUT",
                            "/v1/objects/dated-claim/" +
                                key_of_age(old, std::to_string(n)),
                            "{}", {{"if-match", "0"}});
    // A VM that has seen a list without old claims rests for an hour.
    for (int vm = 0; vm < fleet.vm_count(); ++vm)
        fleet.restart_vm(vm);
    await_serving(fleet);
    for (int vm = 0; vm < fleet.vm_count(); ++vm)
        CHECK(
            eventually([&] { return has_event(fleet, vm, "clock_differs"); }));
    LONGS_EQUAL(old_claims + 1, dated_claims(fleet));

    fleet.faults(fleet.platform(), {{"clock_ahead_s", 0}, {"lose", 3}});
    CHECK(eventually([&] { return dated_claims(fleet) == 1; }));
    const auto again = fleet.search(1, "booking", young);
    STRCMP_EQUAL("answered", outcome(again).c_str());
    CHECK(again["replayed"].get<bool>());
    const auto before = runs(fleet);
    const auto late =
        fleet.search(2, "booking", booking(key_of_age(old, "0"), 2));
    STRCMP_EQUAL("rejected", outcome(late).c_str());
    LONGS_EQUAL(before, runs(fleet));
    LONGS_EQUAL(1, dated_claims(fleet));
    LONGS_EQUAL(1, most_runs(fleet));
}
