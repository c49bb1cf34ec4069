// The experiments.
#include "mimosacroft/load/experiments.hpp"

#include "mimosacroft/load/workload.hpp"

#include <algorithm>

namespace mimosacroft::load
{

namespace
{

constexpr double most_extra_load = 0.05;
constexpr double most_ms = 300;

/// The mechanisms of leaf and root, some of them switched off.
struct mechanisms
{
    std::string variant;
    query::leaf_options leaf;
    bool admission = true;
};

/// Our own baseline: every mechanism off.
mechanisms all_off()
{
    return {"all off",
            {.hedging = false,
             .replica_choice = false,
             .budget = false,
             .ejection = false,
             .priorities = false},
            false};
}

std::vector<mechanisms> all_mechanisms()
{
    return {{"all on", {}},
            {"hedging off", {.hedging = false}},
            {"replica choice off", {.replica_choice = false}},
            {"budget off", {.budget = false}},
            {"ejection off", {.ejection = false}},
            {"priorities off", {.priorities = false}},
            {"admission off", {}, false},
            all_off()};
}

std::vector<mechanisms> on_and_off()
{
    return {{"all on", {}}, {"admission off", {}, false}, all_off()};
}

workload workload_of(std::uint64_t seed, const mechanisms& it)
{
    workload out;
    out.variant = it.variant;
    out.bed = testbed_of_today(seed);
    out.bed.make_node =
        [it](fleet::agent_options fleet, std::uint64_t node_seed)
    {
        node::node_options options;
        options.leaf = it.leaf;
        options.admission.enabled = it.admission;
        return std::make_unique<node::node>(std::move(fleet), node_seed,
                                            options);
    };
    return out;
}

std::uint64_t sum_of_zeros(const measurement& it)
{
    return it.wrong_answers + it.duplicate_runs + it.over_connections +
           it.over_slots;
}

// The bounds of every experiment: the counts that must be zero.
void add_zero_bounds(experiment_report& out)
{
    for (const auto& it : out.variants)
        out.bounds.push_back({it.variant +
                                  ": wrong answers, duplicate runs, "
                                  "connections and slots above the limit",
                              static_cast<double>(sum_of_zeros(it)), 0});
}

experiment_report finish(std::string name, std::uint64_t seed,
                         std::vector<measurement> variants)
{
    experiment_report out{std::move(name), seed, std::move(variants), {}};
    add_zero_bounds(out);
    return out;
}

// Runs one experiment with each choice of mechanisms.
template <typename Change>
std::vector<measurement> run_each(const std::vector<mechanisms>& choices,
                                  std::uint64_t seed, Change change)
{
    std::vector<measurement> out;
    for (const auto& it : choices)
        out.push_back(run(change(workload_of(seed, it))));
    return out;
}

workload with_stragglers(workload it)
{
    it.bed.servers.slow_share = 0.01;
    it.bed.servers.slow = base::milliseconds(100);
    it.once_share = 0.1;
    return it;
}

experiment_report stragglers(std::uint64_t seed)
{
    auto variants = run_each(all_mechanisms(), seed, with_stragglers);
    auto out = finish("stragglers", seed, std::move(variants));
    const auto& all_on = out.variants.front();
    out.bounds.push_back(
        {"all on: p99, ms", latency_at(all_on.latencies, 0.99), most_ms});
    out.bounds.push_back(
        {"all on: extra load", all_on.extra_load, most_extra_load});
    return out;
}

// Half as much again as the servers can serve: one slot serves one subquery at
// a time, so that calls in batches gain nothing.
workload with_overload(workload it)
{
    constexpr double overload = 1.5;
    constexpr base::microseconds each{4000};
    it.shards = 20;
    it.upstreams = 4;
    it.bed.servers.service = base::microseconds(0);
    it.bed.servers.each = each;
    const auto subqueries_per_upstream =
        static_cast<double>(it.shards) / static_cast<double>(it.upstreams);
    const double slots_of_upstream = 2.0 * it.slots;
    it.rate = overload * slots_of_upstream / base::to_seconds(each) /
              subqueries_per_upstream;
    it.urgent_share = 0.2;
    it.length = base::seconds(20);
    return it;
}

experiment_report overload(std::uint64_t seed)
{
    auto variants = run_each(on_and_off(), seed, with_overload);
    auto out = finish("overload", seed, std::move(variants));
    const auto& seen = out.variants.front().figures;
    const auto figure = [&seen](const std::string& name)
    {
        const auto it = seen.find(name);
        return it == seen.end() ? 0.0 : it->second;
    };
    out.bounds.push_back(
        {"all on: urgent requests refused while ordinary ones "
         "ran",
         figure("ordinary_whole") > 0 ? figure("urgent_refused") : 0, 0});
    return out;
}

// One server of each upstream is ten times as slow and states no load; its
// replica states full load.
workload with_lying_load(workload it)
{
    const auto lie = [n = it.upstreams](testbed& bed)
    {
        for (std::size_t k = 0; k < n; ++k)
        {
            auto& slow = bed.server(server_name(k, 0)).traits();
            slow.service *= 10;
            slow.stated_load = 0;
            bed.server(server_name(k, 1)).traits().stated_load = 1;
        }
    };
    it.happenings.push_back({base::milliseconds(0), lie});
    return it;
}

experiment_report lying_load(std::uint64_t seed)
{
    auto variants = run_each(on_and_off(), seed, with_lying_load);
    auto out = finish("lying-load", seed, std::move(variants));
    out.bounds.push_back({"all on: p99, ms",
                          latency_at(out.variants.front().latencies, 0.99),
                          most_ms});
    return out;
}

// One server of every fourth upstream fails each call at once.
workload with_fail_fast(workload it)
{
    constexpr std::size_t failing_one_in = 4;
    const auto break_some = [n = it.upstreams](testbed& bed)
    {
        for (std::size_t k = 0; k < n; k += failing_one_in)
            bed.server(server_name(k, 0)).traits().fail_share = 1;
    };
    it.happenings.push_back({base::seconds(5), break_some});
    return it;
}

experiment_report fail_fast(std::uint64_t seed)
{
    auto variants = run_each(on_and_off(), seed, with_fail_fast);
    auto out = finish("fail-fast", seed, std::move(variants));
    out.bounds.push_back({"all on: share of shards lacking",
                          1 - out.variants.front().coverage, 0});
    return out;
}

// One VM is killed; later another one stands still for longer than any
// deadline, and then goes on.
workload with_leaf_loss(workload it)
{
    it.once_share = 0.1;
    it.happenings.push_back(
        {base::seconds(5), [](testbed& bed) { bed.kill(0); }});
    it.happenings.push_back(
        {base::seconds(15), [](testbed& bed) { bed.pause(4); }});
    it.happenings.push_back(
        {base::seconds(18), [](testbed& bed) { bed.resume(4); }});
    return it;
}

experiment_report leaf_loss(std::uint64_t seed)
{
    auto variants = run_each(on_and_off(), seed, with_leaf_loss);
    return finish("leaf-loss", seed, std::move(variants));
}

// The servers get the new epoch up to 200 ms later, and then hold it and the
// one before.
void change_epoch(testbed& bed, const workload& it, std::uint64_t epoch)
{
    constexpr std::size_t steps = 10;
    constexpr base::milliseconds step{20};
    bed.declare(index_of(it, epoch));
    std::size_t n = 0;
    for (const auto& [name, server] : bed.servers())
        bed.time().after(step * (n++ % steps + 1),
                         [epoch, &traits = server->traits()]
                         {
                             traits.oldest_epoch = epoch - 1;
                             traits.newest_epoch = epoch;
                         });
}

workload with_epoch_changes(workload it)
{
    it.bed.servers.newest_epoch = 1;
    const workload work = it;
    const auto last = base::to_ms(it.length) / 1000;
    for (long long n = 1; n < last; ++n)
        it.happenings.push_back(
            {base::seconds(n), [work, n](testbed& bed)
             { change_epoch(bed, work, static_cast<std::uint64_t>(n) + 1); }});
    return it;
}

experiment_report epoch_change(std::uint64_t seed)
{
    auto variants = run_each(on_and_off(), seed, with_epoch_changes);
    return finish("epoch-change", seed, std::move(variants));
}

// Three slots, so that an even share of three VMs is one whole slot.
workload with_three_slots(workload it, std::string variant, bool even)
{
    it.variant = std::move(variant);
    it.slots = 3;
    it.connections = 100;
    it.bed.even_shares = even;
    return it;
}

experiment_report owners(std::uint64_t seed)
{
    const auto base = workload_of(seed, on_and_off().front());
    return finish("owners", seed,
                  {run(with_three_slots(base, "owners", false)),
                   run(with_three_slots(base, "even shares", true)),
                   run(with_three_slots(with_stragglers(base),
                                        "owners, stragglers", false)),
                   run(with_three_slots(with_stragglers(base),
                                        "even, stragglers", true))});
}

} // namespace

const std::vector<experiment>& experiments()
{
    static const std::vector<experiment> all = {
        {"stragglers",
         "100 shards, 1 in 100 attempts slow by 100 ms; each mechanism off",
         stragglers},
        {"overload", "1.5 times what the servers can serve, 1 in 5 urgent",
         overload},
        {"lying-load", "slow servers state no load, their replicas full load",
         lying_load},
        {"fail-fast", "one server of every fourth upstream fails at once",
         fail_fast},
        {"leaf-loss", "one VM is killed, another one paused for 3 s",
         leaf_loss},
        {"epoch-change", "a new epoch every second, servers follow in 200 ms",
         epoch_change},
        {"owners", "two owners of a server against even shares of three VMs",
         owners},
    };
    return all;
}

const experiment* find_experiment(const std::string& name)
{
    const auto it = std::ranges::find(experiments(), name, &experiment::name);
    return it == experiments().end() ? nullptr : &*it;
}

} // namespace mimosacroft::load
