// Tests of the models that experiments run on: a model that is kinder than what
// it stands for would hide faults.
#include "mimosacroft/load/event_queue.hpp"
#include "mimosacroft/load/model_server.hpp"
#include "mimosacroft/load/plot.hpp"
#include "mimosacroft/load/workload.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <nlohmann/json.hpp>

using namespace mimosacroft;

namespace
{

load::workload small_workload()
{
    load::workload out;
    out.variant = "small";
    out.bed = load::testbed_of_today(7);
    out.bed.make_node = [](fleet::agent_options fleet, std::uint64_t seed)
    { return std::make_unique<node::node>(std::move(fleet), seed); };
    out.shards = 10;
    out.upstreams = 5;
    out.length = base::seconds(1);
    out.once_share = 0.2;
    return out;
}

} // namespace

TEST_GROUP(load_model){};

TEST(load_model, event_queue_runs_in_order_of_time_then_of_adding)
{
    load::event_queue queue;
    std::string seen;
    const auto at = [](int n) { return base::instant(base::seconds(n)); };
    queue.at(at(2), [&] { seen += "c"; });
    queue.at(at(1), [&] { seen += "a"; });
    queue.at(at(1), [&] { seen += "b"; });
    queue.at(at(9), [&] { seen += "late"; });
    queue.run_until(at(5));
    STRCMP_EQUAL("abc", seen.c_str());
    CHECK(queue.now() == at(5));
}

TEST(load_model, server_refuses_and_counts_calls_above_its_slots)
{
    load::server_traits traits;
    traits.slots = 1;
    load::model_server server("a", traits, 1);
    CHECK(server.begin(1, {{"x", "s", 3, "s0", 100, "q"}}).holds_slot);
    CHECK_FALSE(server.begin(2, {}).holds_slot);
    LONGS_EQUAL(1, server.over_slots());
    LONGS_EQUAL(503, server.finish(2, {})->status);
    server.cancel(1);
    CHECK_FALSE(server.finish(1, {}).has_value());
    CHECK(server.begin(3, {}).holds_slot);
}

TEST(load_model, server_answers_what_the_leaf_reads)
{
    load::server_traits traits;
    traits.newest_epoch = 3;
    load::model_server server("a", traits, 1);
    const std::vector<query::upstream_subquery> asked = {
        {"x", "s", 3, "s0", 100, "q"}, {"y", "s", 4, "s1", 100, "q"}};
    const auto read =
        load::decode_subqueries(query::encode_subqueries(asked).body);
    CHECK(read.has_value());
    server.begin(1, *read);
    const auto reply = query::decode_reply(server.finish(1, *read)->body);
    CHECK(reply.has_value());
    CHECK(reply->results[0].status == query::upstream_status::ok);
    CHECK(reply->results[0].epoch == 3);
    CHECK(reply->results[1].status == query::upstream_status::not_yet);
}

TEST(load_model, equal_workloads_give_equal_figures)
{
    const auto first = load::run(small_workload());
    const auto second = load::run(small_workload());
    CHECK(first.requests > 50);
    LONGS_EQUAL(first.requests, second.requests);
    DOUBLES_EQUAL(load::latency_at(first.latencies, 0.99),
                  load::latency_at(second.latencies, 0.99), 0);
    LONGS_EQUAL(0, first.wrong_answers);
    DOUBLES_EQUAL(1, first.coverage, 0);
}

TEST(load_model, a_server_that_fails_shows_in_the_figures)
{
    auto work = small_workload();
    work.bed.servers.fail_share = 1;
    const auto seen = load::run(work);
    DOUBLES_EQUAL(0, seen.coverage, 0);
    LONGS_EQUAL(0, seen.outcomes.count("answered"));
}

TEST(load_model, a_killed_vm_costs_no_wrong_answer_and_no_second_run)
{
    auto work = small_workload();
    work.happenings.push_back(
        {base::milliseconds(300), [](load::testbed& bed) { bed.kill(1); }});
    const auto seen = load::run(work);
    LONGS_EQUAL(0, seen.wrong_answers);
    LONGS_EQUAL(0, seen.duplicate_runs);
    LONGS_EQUAL(0, seen.over_slots);
}

TEST_GROUP(load_report){};

TEST(load_report, percentiles_are_nearest_ranks)
{
    std::vector<double> ms;
    for (int n = 200; n >= 1; --n)
        ms.push_back(n);
    const auto seen = load::latency_curve(ms);
    DOUBLES_EQUAL(100, load::latency_at(seen, 0.5), 0);
    DOUBLES_EQUAL(198, load::latency_at(seen, 0.99), 0);
    DOUBLES_EQUAL(200, load::latency_at(seen, 0.999), 0);
}

TEST(load_report, a_plot_is_drawn_from_a_report)
{
    load::experiment_report report{"e", 1, {}, {{"x", 2, 1}}};
    report.variants.emplace_back().variant = "<all on>";
    report.variants.back().latencies = load::latency_curve({1, 2, 30});
    const auto json = load::to_json(report);
    CHECK_FALSE(json["bounds"][0]["holds"].get<bool>());
    const auto curves = load::read_curves(json.dump());
    CHECK(curves.has_value());
    const auto svg = load::to_svg(*curves);
    CHECK(svg.find("e: &lt;all on>") != std::string::npos);
    CHECK(svg.find("<polyline") != std::string::npos);
    CHECK_FALSE(load::read_curves("{}").has_value());
}
