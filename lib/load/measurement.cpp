// Figures of one run.
#include "mimosacroft/load/measurement.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace mimosacroft::load
{

namespace
{

constexpr std::array curve_shares = {0.01,  0.05,  0.1,   0.25, 0.5,
                                     0.75,  0.9,   0.95,  0.98, 0.99,
                                     0.995, 0.998, 0.999, 1.0};

nlohmann::json to_json(const measurement& it)
{
    auto latencies = nlohmann::json::array();
    for (const auto& q : it.latencies)
        latencies.push_back({q.share, q.ms});
    return {{"variant", it.variant},
            {"requests", it.requests},
            {"p50_ms", latency_at(it.latencies, 0.5)},
            {"p95_ms", latency_at(it.latencies, 0.95)},
            {"p99_ms", latency_at(it.latencies, 0.99)},
            {"p999_ms", latency_at(it.latencies, 0.999)},
            {"coverage", it.coverage},
            {"extra_load", it.extra_load},
            {"wrong_answers", it.wrong_answers},
            {"duplicate_runs", it.duplicate_runs},
            {"over_connections", it.over_connections},
            {"over_slots", it.over_slots},
            {"outcomes", it.outcomes},
            {"figures", it.figures},
            {"latencies", std::move(latencies)}};
}

template <typename... Args>
std::string format(const char* form, Args... args)
{
    std::array<char, 256> buf{};
    std::snprintf(buf.data(), buf.size(), form, args...);
    return buf.data();
}

std::string to_row(const measurement& it)
{
    std::string out = format(
        "%-22s %8llu %8.1f %8.1f %8.1f %8.1f %9.5f %8.2f%% %5llu %5llu %5llu "
        "%5llu\n",
        it.variant.c_str(), static_cast<unsigned long long>(it.requests),
        latency_at(it.latencies, 0.5), latency_at(it.latencies, 0.95),
        latency_at(it.latencies, 0.99), latency_at(it.latencies, 0.999),
        it.coverage, it.extra_load * 100,
        static_cast<unsigned long long>(it.wrong_answers),
        static_cast<unsigned long long>(it.duplicate_runs),
        static_cast<unsigned long long>(it.over_connections),
        static_cast<unsigned long long>(it.over_slots));
    std::string notes;
    for (const auto& [name, n] : it.outcomes)
        notes += " " + name + " " + std::to_string(n);
    for (const auto& [name, value] : it.figures)
        notes += format("  %s %g", name.c_str(), value);
    return out + "   " + notes + "\n";
}

} // namespace

std::vector<quantile> latency_curve(std::vector<double> ms)
{
    std::ranges::sort(ms);
    std::vector<quantile> out;
    if (ms.empty())
        return out;
    const auto n = static_cast<double>(ms.size());
    for (const auto share : curve_shares)
    {
        // The nearest rank: the least value that `share` of all do not exceed.
        const auto rank = std::max(std::ceil(share * n - 1e-9), 1.0);
        out.push_back({share, ms[static_cast<std::size_t>(rank) - 1]});
    }
    return out;
}

double latency_at(const std::vector<quantile>& curve, double share)
{
    const auto it = std::ranges::find(curve, share, &quantile::share);
    return it == curve.end() ? 0 : it->ms;
}

nlohmann::json to_json(const experiment_report& it)
{
    auto variants = nlohmann::json::array();
    for (const auto& one : it.variants)
        variants.push_back(to_json(one));
    auto bounds = nlohmann::json::array();
    for (const auto& one : it.bounds)
        bounds.push_back({{"what", one.what},
                          {"seen", one.seen},
                          {"most", one.most},
                          {"holds", one.holds()}});
    return {{"experiment", it.experiment},
            {"seed", it.seed},
            {"variants", std::move(variants)},
            {"bounds", std::move(bounds)}};
}

std::string to_table(const experiment_report& it)
{
    std::string out = "experiment " + it.experiment + ", seed " +
                      std::to_string(it.seed) + "\n";
    out +=
        format("%-22s %8s %8s %8s %8s %8s %9s %9s %5s %5s %5s %5s\n", "variant",
               "requests", "p50 ms", "p95 ms", "p99 ms", "p99.9 ms", "coverage",
               "extra", "wrong", "dupl", "conn", "slots");
    for (const auto& one : it.variants)
        out += to_row(one);
    for (const auto& one : it.bounds)
        out += format("%s: %s, seen %g, at most %g\n",
                      one.holds() ? "holds" : "FAILS", one.what.c_str(),
                      one.seen, one.most);
    return out;
}

} // namespace mimosacroft::load
