// Figures of one run: latency percentiles, coverage, extra load, and the counts
// that must be zero.
#ifndef MIMOSACROFT_LOAD_MEASUREMENT_HPP
#define MIMOSACROFT_LOAD_MEASUREMENT_HPP

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <utility>
#include <vector>

namespace mimosacroft::load
{

/// A point of a latency curve.
struct quantile
{
    double share = 0; ///< of the requests, 0 to 1
    double ms = 0;    ///< that share took at most this long
};

struct measurement
{
    std::string variant;
    std::uint64_t requests = 0;
    std::vector<quantile> latencies; ///< by growing share
    double coverage = 0;             ///< share of shards included
    double extra_load = 0; ///< subqueries run per subquery needed, less one
    std::uint64_t wrong_answers = 0;
    std::uint64_t duplicate_runs = 0;   ///< of requests that may run once
    std::uint64_t over_connections = 0; ///< opened above a server's limit
    std::uint64_t over_slots = 0;       ///< calls that met no free slot
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, double> figures; ///< of this experiment alone
};

/// The points that a report shows of latencies, in ms.
std::vector<quantile> latency_curve(std::vector<double> ms);

/// The latency of a share that latency_curve() gives; 0 if there is none.
double latency_at(const std::vector<quantile>& curve, double share);

/// A figure that must not exceed another.
struct bound
{
    std::string what;
    double seen = 0;
    double most = 0;
    bool holds() const { return seen <= most; }
};

struct experiment_report
{
    std::string experiment;
    std::uint64_t seed = 0;
    std::vector<measurement> variants;
    std::vector<bound> bounds;
};

nlohmann::json to_json(const experiment_report& it);

/// A table for people.
std::string to_table(const experiment_report& it);

} // namespace mimosacroft::load

#endif
