// What an experiment does: entry VMs and servers of today's sizes, searches at
// a rate, and things that happen meanwhile. Gives the figures of the run.
#ifndef MIMOSACROFT_LOAD_WORKLOAD_HPP
#define MIMOSACROFT_LOAD_WORKLOAD_HPP

#include "mimosacroft/load/measurement.hpp"
#include "mimosacroft/load/testbed.hpp"

#include <functional>
#include <string>
#include <vector>

namespace mimosacroft::load
{

/// Something that happens to the testbed at a time after the first request.
struct happening
{
    base::milliseconds at;
    std::function<void(testbed&)> what;
};

struct workload
{
    std::string variant;
    testbed_options bed;
    std::size_t shards = 100;
    std::size_t upstreams = 20;
    std::uint32_t slots = 2;
    std::uint32_t connections = 25;
    double rate = 100; ///< requests a second
    base::milliseconds length{30000};
    base::milliseconds deadline{300};
    double urgent_share = 0;
    double once_share = 0; ///< share of requests that may run only once
    std::vector<happening> happenings;
};

inline const std::string survey = "survey";   ///< goes to every shard
inline const std::string booking = "booking"; ///< to one shard, at most once
inline const std::string records = "records"; ///< the index of both

/// Three data centres of three VMs, one of them in another region.
testbed_options testbed_of_today(std::uint64_t seed);

/// The index at an epoch.
model::index index_of(const workload& it, std::uint64_t epoch);

/// The name of the server `n` of an upstream.
std::string server_name(std::size_t upstream, std::size_t n);

/// Runs a workload. Equal workloads give equal figures.
measurement run(const workload& it);

} // namespace mimosacroft::load

#endif
