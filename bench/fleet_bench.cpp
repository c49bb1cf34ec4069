// Measures what control costs a node as the fleet grows: agents in one process
// with virtual time, messages packed as on the wire. Usage: fleet_bench
// [--json] [MEMBERS...]
#include "../unittests/fleet/virtual_fleet.hpp"

#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <string>
#include <vector>

namespace
{

using namespace mimosacroft;
using namespace mimosacroft::tests;

constexpr std::size_t upstreams = 500;
constexpr double changes_per_day = 1500;
constexpr base::seconds measured{120};
constexpr base::milliseconds poll{10};
constexpr int burst_changes = 50;

struct row
{
    std::size_t members = 0;
    double mean_bytes = 0; ///< sent and received, a second and node
    double most_bytes = 0; ///< of the busiest node
    double cpu_percent = 0;
    double memory_mb = 0;
    double platform_calls = 0; ///< a second, whole fleet
    double spread_ms = 0;      ///< longest time until in force everywhere
    double burst_ms = 0;
};

double cpu_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double heap_mb()
{
    return static_cast<double>(mallinfo2().uordblks) / (1 << 20);
}

nlohmann::json upstream_value(std::size_t n, unsigned slots,
                              std::size_t data_centres)
{
    auto servers = nlohmann::json::array();
    for (int k = 0; k < 8; ++k)
        servers.push_back(
            {{"name", "u" + std::to_string(n) + "-" + std::to_string(k)},
             {"address", "10.0.0.1:8000"}});
    return {{"kind", "upstream"},
            {"name", "u" + std::to_string(n)},
            {"spec",
             {{"data_centre", "dc-" + std::to_string(n % data_centres)},
              {"slots", slots},
              {"servers", servers}}}};
}

bool everywhere(const virtual_fleet& all, std::uint64_t version)
{
    return std::ranges::all_of(
        all.members, [version](const auto& it)
        { return it.agent->store().through() >= version; });
}

// Makes changes and gives the time until the last one is in force everywhere.
double change(virtual_fleet& all, int count, std::size_t data_centres)
{
    static unsigned turn = 0;
    std::uint64_t version = 0;
    for (int n = 0; n < count; ++n)
    {
        const auto at = ++turn % upstreams;
        version =
            all.platform.put("upstream", "u" + std::to_string(at),
                             upstream_value(at, turn % 7 + 1, data_centres));
    }
    all.changed();
    const auto start = all.now;
    while (!everywhere(all, version) && all.now - start < base::seconds(60))
        all.run(poll);
    return static_cast<double>(base::to_ms(all.now - start));
}

row measure(std::size_t members)
{
    row out;
    out.members = members;
    const std::size_t data_centres = members >= 30 ? 6 : 3;
    const double heap = heap_mb();
    virtual_fleet all(members, data_centres, 1);
    for (std::size_t n = 0; n < upstreams; ++n)
        all.platform.put("upstream", "u" + std::to_string(n),
                         upstream_value(n, 2, data_centres));
    for (std::size_t n = 0; n < members; ++n)
        all.start(n);
    all.run(base::seconds(30));
    for (auto& it : all.members)
        it.bytes_sent = it.bytes_received = it.platform_calls = 0;

    const auto start = all.now;
    const double cpu = cpu_seconds();
    const base::milliseconds gap(
        static_cast<long long>(86'400'000 / changes_per_day));
    while (all.now - start < measured)
    {
        out.spread_ms = std::max(out.spread_ms, change(all, 1, data_centres));
        all.run(gap / 2);
    }
    const double seconds = base::to_seconds(all.now - start);
    const double n = static_cast<double>(members);
    out.cpu_percent = (cpu_seconds() - cpu) / seconds / n * 100;
    for (const auto& it : all.members)
    {
        const double bytes =
            static_cast<double>(it.bytes_sent + it.bytes_received) / seconds;
        out.mean_bytes += bytes / n;
        out.most_bytes = std::max(out.most_bytes, bytes);
        out.platform_calls += static_cast<double>(it.platform_calls) / seconds;
    }
    out.memory_mb = (heap_mb() - heap) / n;
    out.burst_ms = change(all, burst_changes, data_centres);
    return out;
}

void print(const row& it, bool json)
{
    const char* form =
        json ? "{\"members\":%zu,\"mean_bytes_s\":%.0f,\"most_bytes_s\":%.0f,"
               "\"cpu_percent\":%.3f,\"memory_mb\":%.1f,"
               "\"platform_calls_s\":%.1f,\"spread_ms\":%.0f,"
               "\"burst_ms\":%.0f}\n"
             : "%8zu %12.0f %12.0f %8.3f %10.1f %14.1f %10.0f %9.0f\n";
    std::printf(form, it.members, it.mean_bytes, it.most_bytes, it.cpu_percent,
                it.memory_mb, it.platform_calls, it.spread_ms, it.burst_ms);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::size_t> sizes;
    bool json = false;
    for (int n = 1; n < argc; ++n)
    {
        if (std::string(argv[n]) == "--json")
            json = true;
        else
            sizes.push_back(std::strtoul(argv[n], nullptr, 10));
    }
    if (sizes.empty())
        sizes = {3, 9, 30, 100, 580};
    if (!json)
        std::printf("%8s %12s %12s %8s %10s %14s %10s %9s\n", "members",
                    "mean B/s", "most B/s", "cpu %", "MB a node",
                    "platform c/s", "spread ms", "burst ms");
    for (const auto members : sizes)
        print(measure(members), json);
}
