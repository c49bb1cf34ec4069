// What an experiment does.
#include "mimosacroft/load/workload.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace mimosacroft::load
{

namespace
{

/// Until every VM has its configuration and may use its upstreams.
constexpr base::seconds warm_up{10};
/// After the last request, until every caller has its answer or has given up.
constexpr base::seconds run_out{5};
constexpr std::size_t servers_of_upstream = 2;
constexpr std::uint32_t connect_ms = 6;
constexpr std::uint32_t max_deadline_ms = 2000;

std::string upstream_name(std::size_t n)
{
    return "records-" + std::to_string(n);
}

model::upstream upstream_of(const workload& it, std::size_t n)
{
    model::upstream out;
    out.name = upstream_name(n);
    const auto& places = it.bed.data_centres;
    out.data_centre = places[n % places.size()].name;
    out.slots = it.slots;
    out.connections = it.connections;
    out.connect_ms = connect_ms;
    for (std::size_t k = 0; k < servers_of_upstream; ++k)
    {
        const auto port = std::to_string(1 + n * servers_of_upstream + k);
        out.servers.push_back({server_name(n, k), "10.0.0.1:" + port, false});
    }
    return out;
}

void declare_all(testbed& bed, const workload& it)
{
    for (std::size_t n = 0; n < it.upstreams; ++n)
        bed.declare(upstream_of(it, n));
    bed.declare(index_of(it, 1));
    model::search all;
    all.name = survey;
    all.index = records;
    all.max_deadline_ms = max_deadline_ms;
    bed.declare(all);
    model::search one = all;
    one.name = booking;
    one.scope = model::scope::one;
    one.repeatable = false;
    bed.declare(one);
}

// Lets a request come, and has the next one come after a random while, so that
// arrivals are independent of each other.
class arrivals
{
public:
    arrivals(testbed& bed, const workload& it)
        : bed_(bed), work_(it), random_(it.bed.seed + 77),
          end_(bed.time().now() + it.length)
    {
    }

    void next()
    {
        std::exponential_distribution wait(work_.rate);
        const base::microseconds us(
            static_cast<std::int64_t>(wait(random_) * 1e6));
        const auto due = bed_.time().now() + us;
        if (due < end_)
            bed_.time().at(due,
                           [this]
                           {
                               ask();
                               next();
                           });
    }

private:
    bool draw(double share)
    {
        return std::uniform_real_distribution(0.0, 1.0)(random_) < share;
    }

    void ask()
    {
        query::search_request request;
        request.search = draw(work_.once_share) ? booking : survey;
        request.body = nlohmann::json(++number_).dump();
        request.routing_key = request.body;
        request.deadline = work_.deadline;
        request.priority = draw(work_.urgent_share) ? model::priority::urgent
                                                    : model::priority::ordinary;
        bed_.ask(std::move(request));
    }

    testbed& bed_;
    const workload& work_;
    std::mt19937_64 random_;
    base::instant end_;
    std::uint64_t number_ = 0;
};

// Whether an answer is the one to this request, from one epoch, and names each
// shard of that epoch once.
bool is_true(const testbed& bed, const exchange& it)
{
    const auto& answer = *it.answer;
    std::set<std::string> named;
    for (const auto& shard : answer.included)
    {
        const auto in = nlohmann::json::parse(shard.payload, nullptr, false);
        if (!in.is_object() || in.value("shard", "") != shard.name ||
            in.value("epoch", std::uint64_t{0}) != answer.epoch ||
            in.value("echo", "") != it.request.body)
            return false;
        if (!named.insert(shard.name).second)
            return false;
    }
    for (const auto& shard : answer.lacking)
        if (!named.insert(shard.name).second)
            return false;
    if (named.empty())
        return answer.outcome == model::outcome::rejected ||
               answer.outcome == model::outcome::not_run;
    const auto& all = bed.shards_of(records, answer.epoch);
    return it.request.search == survey ? named == all
                                       : std::ranges::includes(all, named);
}

struct tally
{
    std::vector<double> ms;
    std::vector<double> urgent_ms;
    std::uint64_t needed = 0;   ///< shards that the requests went to
    std::uint64_t included = 0; ///< and those that are in the answers
};

bool is_refused(const query::search_answer& it)
{
    return it.outcome == model::outcome::not_run ||
           std::ranges::any_of(
               it.lacking, [](const auto& shard)
               { return shard.reason == model::lack_reason::overload; });
}

void count(const testbed& bed, const workload& work, const exchange& it,
           tally& sum, measurement& out)
{
    const bool urgent = it.request.priority == model::priority::urgent;
    const auto ms = base::to_seconds(it.ended - it.sent) * 1000;
    ++out.requests;
    sum.ms.push_back(ms);
    if (urgent)
        sum.urgent_ms.push_back(ms);
    sum.needed += it.request.search == survey ? work.shards : 1;
    if (!it.answer)
    {
        ++out.outcomes["no_answer"];
        return;
    }
    sum.included += it.answer->included.size();
    ++out.outcomes[std::string(base::name_of(it.answer->outcome))];
    if (!is_true(bed, it))
        ++out.wrong_answers;
    if (is_refused(*it.answer))
        ++out.figures[urgent ? "urgent_refused" : "ordinary_refused"];
    if (it.answer->outcome == model::outcome::answered)
        ++out.figures[urgent ? "urgent_whole" : "ordinary_whole"];
}

double share_of(std::uint64_t part, std::uint64_t all)
{
    return all == 0 ? 0 : static_cast<double>(part) / static_cast<double>(all);
}

} // namespace

testbed_options testbed_of_today(std::uint64_t seed)
{
    testbed_options out;
    out.seed = seed;
    out.data_centres = {{"oostende", "coast", 3},
                        {"antwerpen", "coast", 3},
                        {"brussel", "inland", 3}};
    return out;
}

std::string server_name(std::size_t upstream, std::size_t n)
{
    return upstream_name(upstream) + (n == 0 ? "-a" : "-b");
}

model::index index_of(const workload& it, std::uint64_t epoch)
{
    model::index out;
    out.name = records;
    out.epoch = epoch;
    for (std::size_t n = 0; n < it.shards; ++n)
        out.shards.push_back(
            {"s" + std::to_string(n), {upstream_name(n % it.upstreams)}});
    return out;
}

measurement run(const workload& it)
{
    testbed bed(it.bed);
    declare_all(bed, it);
    bed.time().run_until(bed.time().now() + warm_up);
    for (const auto& one : it.happenings)
        bed.time().after(one.at, [&bed, &one] { one.what(bed); });
    arrivals source(bed, it);
    source.next();
    bed.time().run_until(bed.time().now() + it.length + run_out);

    measurement out;
    out.variant = it.variant;
    tally sum;
    for (const auto& one : bed.ended())
        count(bed, it, one, sum, out);
    std::uint64_t ran = 0;
    std::uint64_t calls = 0;
    for (const auto& [name, server] : bed.servers())
    {
        ran += server->subqueries();
        calls += server->calls();
        out.over_slots += server->over_slots();
    }
    out.latencies = latency_curve(std::move(sum.ms));
    out.coverage = share_of(sum.included, sum.needed);
    out.extra_load = share_of(ran, sum.needed) - 1;
    out.duplicate_runs = bed.duplicate_runs();
    out.over_connections = bed.over_connections();
    out.figures["subqueries_per_call"] = share_of(ran, calls);
    if (it.urgent_share > 0)
    {
        const auto urgent = latency_curve(sum.urgent_ms);
        out.figures["urgent_p99_ms"] = latency_at(urgent, 0.99);
    }
    return out;
}

} // namespace mimosacroft::load
