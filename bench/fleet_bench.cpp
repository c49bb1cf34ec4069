// Measures what control costs a node as the fleet grows: agents in one process
// with virtual time, messages packed as on the wire. Usage: fleet_bench
// [--kinds] [--outage] [MEMBERS...], or fleet_bench --slopes [MEMBERS...].
// With --kinds the busiest node's bytes are shown by kind of message; with
// --outage the platform is away while they are measured, and nothing changes.
// --slopes measures both and writes the JSON for bench/slopes.
#include "../unittests/fleet/virtual_fleet.hpp"
#include "slopes.hpp"

#include <array>
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

/// In the order of virtual_fleet's kinds.
constexpr std::array<const char*, virtual_fleet::kinds> kind_names{
    "hello",         "proof",           "forward",     "forward_answer",
    "cancel",        "config_push",     "digest",      "view_push",
    "leaving_push",  "view_ask",        "view_answer", "drain_notice",
    "platform list", "platform changes"};

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
    double word_age_s = 0; ///< mean age of what a node knows about another one
    double seconds = 0;    ///< measured
    std::string busiest;
    decltype(virtual_fleet::member::traffic_of) busiest_traffic{};
};

std::uint64_t bytes_of(const virtual_fleet::member& it)
{
    std::uint64_t out = 0;
    for (const auto& kind : it.traffic_of)
        out += kind.bytes();
    return out;
}

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

// A VM that was never heard of counts as heard when the fleet started.
double mean_word_age(const virtual_fleet& all, base::instant start)
{
    double sum = 0;
    for (const auto& it : all.members)
        for (const auto& other : all.members)
        {
            const auto* row = it.agent->members().find(other.options.vm);
            if (&it != &other)
                sum += base::to_seconds(all.now - (row ? row->heard : start));
        }
    const double n = static_cast<double>(all.members.size());
    return sum / n / (n - 1);
}

row measure(std::size_t members, bool outage)
{
    row out;
    out.members = members;
    const std::size_t data_centres = members >= 30 ? 6 : 3;
    const double heap = heap_mb();
    virtual_fleet all(members, data_centres, 1);
    const auto fleet_start = all.now;
    for (std::size_t n = 0; n < upstreams; ++n)
        all.platform.put("upstream", "u" + std::to_string(n),
                         upstream_value(n, 2, data_centres));
    all.start_all(base::seconds(30));
    for (auto& it : all.members)
    {
        it.traffic_of = {};
        it.platform_calls = 0;
    }

    const auto start = all.now;
    const double cpu = cpu_seconds();
    const base::milliseconds gap(
        static_cast<long long>(86'400'000 / changes_per_day));
    all.platform.down = outage;
    while (all.now - start < measured)
    {
        if (!outage)
            out.spread_ms =
                std::max(out.spread_ms, change(all, 1, data_centres));
        all.run(gap / 2);
    }
    const double seconds = out.seconds = base::to_seconds(all.now - start);
    const double n = static_cast<double>(members);
    out.cpu_percent = (cpu_seconds() - cpu) / seconds / n * 100;
    for (const auto& it : all.members)
    {
        const double bytes = static_cast<double>(bytes_of(it)) / seconds;
        out.mean_bytes += bytes / n;
        out.platform_calls += static_cast<double>(it.platform_calls) / seconds;
    }
    const auto& most = *std::ranges::max_element(all.members, {}, bytes_of);
    out.most_bytes = static_cast<double>(bytes_of(most)) / seconds;
    out.busiest = most.options.vm;
    out.busiest_traffic = most.traffic_of;
    out.word_age_s = mean_word_age(all, fleet_start);
    out.memory_mb = (heap_mb() - heap) / n;
    if (!outage)
        out.burst_ms = change(all, burst_changes, data_centres);
    return out;
}

void print_head()
{
    std::printf("%8s %12s %12s %8s %10s %14s %10s %9s %10s\n", "members",
                "mean B/s", "most B/s", "cpu %", "MB a node", "platform c/s",
                "spread ms", "burst ms", "word age s");
}

void print(const row& it)
{
    std::printf("%8zu %12.0f %12.0f %8.3f %10.1f %14.1f %10.0f %9.0f %10.1f\n",
                it.members, it.mean_bytes, it.most_bytes, it.cpu_percent,
                it.memory_mb, it.platform_calls, it.spread_ms, it.burst_ms,
                it.word_age_s);
    std::fflush(stdout);
}

void print_kinds(const row& it)
{
    std::printf("  busiest: %s\n  %-16s %12s %12s %12s\n", it.busiest.c_str(),
                "kind", "messages/s", "sent B/s", "received B/s");
    for (std::size_t n = 0; n < kind_names.size(); ++n)
    {
        const auto& kind = it.busiest_traffic[n];
        const auto rate = [&it](std::uint64_t count)
        { return static_cast<double>(count) / it.seconds; };
        if (kind.bytes() > 0)
            std::printf("  %-16s %12.2f %12.0f %12.0f\n", kind_names[n],
                        rate(kind.messages_sent), rate(kind.bytes_sent),
                        rate(kind.bytes_received));
    }
}

void add(bench::slopes& all, const std::string& prefix, const row& it)
{
    const auto n = static_cast<double>(it.members);
    all.add(prefix + "_mean_bytes_s_by_members", n, it.mean_bytes);
    all.add(prefix + "_most_bytes_s_by_members", n, it.most_bytes);
    all.add(prefix + "_cpu_percent_by_members", n, it.cpu_percent);
    all.add(prefix + "_memory_mb_by_members", n, it.memory_mb);
    all.add(prefix + "_platform_calls_s_by_members", n, it.platform_calls);
    all.add(prefix + "_spread_ms_by_members", n, it.spread_ms);
    all.add(prefix + "_word_age_s_by_members", n, it.word_age_s);
}

void print_slopes(const std::vector<std::size_t>& sizes)
{
    bench::slopes all;
    for (const auto members : sizes)
    {
        add(all, "control", measure(members, false));
        add(all, "outage", measure(members, true));
    }
    all.print("fleet_bench");
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::size_t> sizes;
    std::set<std::string> options;
    for (const auto& it : std::vector<std::string>(argv + 1, argv + argc))
        if (it.starts_with("--"))
            options.insert(it);
        else
            sizes.push_back(std::stoul(it));
    if (sizes.empty())
        sizes = {3, 9, 30, 100, 580};
    if (options.contains("--slopes"))
    {
        print_slopes(sizes);
        return 0;
    }
    print_head();
    for (const auto members : sizes)
    {
        const auto it = measure(members, options.contains("--outage"));
        print(it);
        if (options.contains("--kinds"))
            print_kinds(it);
    }
}
