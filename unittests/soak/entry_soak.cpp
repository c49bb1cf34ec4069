// A soak of the entry VM's daemon: real processes, faults from outside, and the
// promises of the pages checked from what callers and servers see.
#include "faults.hpp"

#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace
{

using namespace mimosacroft;
using base::milliseconds;

constexpr milliseconds most_start_time{15'000};
constexpr milliseconds shortest_gap{100};
constexpr milliseconds longest_gap{900};
// After the last fault all is well again within this.
constexpr milliseconds recovery_time{6'000};

struct soak_options
{
    milliseconds length{6'000};
    std::size_t vms = 4;
    std::string folder;
};

std::size_t questions_of(const tests::world& in)
{
    constexpr std::size_t searches = 3;
    return in.vms() * searches;
}

bool starts(tests::world& in)
{
    const auto due = base::now() + most_start_time;
    while (base::now() < due)
        if (in.ask_all() == questions_of(in))
            return true;
    return false;
}

std::vector<std::string> inflict_faults(tests::world& in, std::uint32_t seed,
                                        milliseconds length)
{
    std::minstd_rand random(seed);
    std::vector<std::string> out;
    const auto begin = base::now();
    for (;;)
    {
        const auto at =
            std::chrono::duration_cast<milliseconds>(base::now() - begin);
        if (at >= length)
            return out;
        out.push_back(std::to_string(at.count()) +
                      " ms: " + tests::start_fault(in, random));
        std::uniform_int_distribution<milliseconds::rep> gap(
            shortest_gap.count(), longest_gap.count());
        in.run_for(milliseconds(gap(random)));
    }
}

void report(const tests::world& in, std::uint32_t seed,
            const std::vector<std::string>& broken)
{
    std::map<unsigned, std::size_t> by_status;
    for (const auto& it : in.seen().callers)
        ++by_status[it.answer ? it.answer->status : 0];
    std::printf("seed %u: %zu requests, %zu at servers;", seed,
                in.seen().callers.size(), in.seen().arrivals.size());
    for (const auto& [status, n] : by_status)
        std::printf(" %s %zu",
                    status == 0 ? "none" : std::to_string(status).c_str(), n);
    std::printf("; %zu promises broken\n", broken.size());
    std::fflush(stdout);
}

/// Whether all promises were kept.
bool soak(std::uint32_t seed, const soak_options& options)
{
    const auto folder = options.folder + "/" + std::to_string(seed);
    std::filesystem::create_directories(folder);
    tests::world in({seed, options.vms, folder});
    if (!starts(in))
    {
        std::printf("seed %u: the VMs do not start\n", seed);
        return false;
    }
    in.set_load(true);
    in.set_grey(true);
    const auto faults = inflict_faults(in, seed, options.length);
    in.set_grey(false);
    in.run_for(tests::longest_fault + recovery_time);
    in.plan_work();
    in.set_load(false);
    in.probe_configuration();
    const auto answered = in.ask_all();
    auto broken = in.broken();
    if (answered != questions_of(in))
        broken.push_back("after all faults only " + std::to_string(answered) +
                         " of " + std::to_string(questions_of(in)) +
                         " requests are answered");
    report(in, seed, broken);
    if (broken.empty())
        return true;
    for (const auto& it : faults)
        std::printf("  %s\n", it.c_str());
    for (const auto& it : broken)
        std::printf("  BROKEN %s\n", it.c_str());
    return false;
}

std::vector<std::uint32_t> seeds_of(const cxxopts::ParseResult& arguments)
{
    std::vector<std::uint32_t> out;
    if (arguments.count("seeds-file") > 0)
    {
        std::ifstream in(arguments["seeds-file"].as<std::string>());
        for (std::string line; std::getline(in, line);)
            if (!line.empty() && line.front() != '#')
                out.push_back(static_cast<std::uint32_t>(std::stoul(line)));
    }
    const auto first = arguments["first-seed"].as<std::uint32_t>();
    for (std::uint32_t n = 0; n < arguments["count"].as<std::uint32_t>(); ++n)
        out.push_back(first + n);
    return out;
}

cxxopts::Options make_options()
{
    cxxopts::Options out("entry-soak", "Faults against real entry VMs");
    auto add = out.add_options();
    add("first-seed", "first seed",
        cxxopts::value<std::uint32_t>()->default_value("1"));
    add("count", "seeds from the first on",
        cxxopts::value<std::uint32_t>()->default_value("1"));
    add("seeds-file", "further seeds, one a line",
        cxxopts::value<std::string>());
    add("seconds", "time of faults",
        cxxopts::value<unsigned>()->default_value("6"));
    add("vms", "entry VMs", cxxopts::value<std::size_t>()->default_value("4"));
    add("folder", "for settings files and logs",
        cxxopts::value<std::string>()->default_value(MIMOSA_BINARY_DIR
                                                     "/soak"));
    add("help", "shows this text");
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        auto options = make_options();
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0)
        {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        soak_options with;
        with.length = base::seconds(arguments["seconds"].as<unsigned>());
        with.vms = arguments["vms"].as<std::size_t>();
        with.folder = arguments["folder"].as<std::string>();
        bool kept = true;
        for (const auto seed : seeds_of(arguments))
            kept = soak(seed, with) && kept;
        return kept ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    catch (const std::exception& ex)
    {
        std::fprintf(stderr, "entry-soak: %s\n", ex.what());
        return EXIT_FAILURE;
    }
}
