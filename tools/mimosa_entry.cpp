// mimosa-entry: the daemon of an entry VM on the platform.
#include "mimosacroft/base/large_blocks.hpp"
#include "mimosacroft/entry/daemon.hpp"
#include "platform/settings_file.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace
{

using namespace mimosacroft;

constexpr int exit_usage = 2;

/// A value of --without, and the mechanism that it switches off.
struct mechanism_option
{
    std::string_view name;
    bool gateway::mechanisms::* member;
};

constexpr auto mechanism_options = std::to_array<mechanism_option>({
    {"hedging", &gateway::mechanisms::hedging},
    {"relays", &gateway::mechanisms::relaying},
    {"admission", &gateway::mechanisms::admission},
    {"partial-answers", &gateway::mechanisms::partial_answers},
});

struct flags
{
    std::string settings_path;
    std::uint16_t metrics_port = 0; ///< 0: metrics are not served
    gateway::mechanisms use;        ///< all but those of --without
    bool check_only = false;
};

cxxopts::Options make_options()
{
    cxxopts::Options out("mimosa-entry",
                         "An entry VM of mimosacroft on the platform");
    auto add = out.add_options();
    add("settings",
        "settings file; defaults to the one that the platform names in the "
        "environment",
        cxxopts::value<std::string>());
    add("metrics-port",
        "TCP port for GET /metrics, at the IP address for callers; 0: off",
        cxxopts::value<std::uint16_t>()->default_value("0"));
    add("without",
        "comma-separated mechanisms to switch off: hedging, relays, "
        "admission, partial-answers",
        cxxopts::value<std::vector<std::string>>());
    add("check-settings", "check the settings, print any error, and exit");
    add("help", "print this help and exit");
    return out;
}

std::string settings_path_of(const cxxopts::ParseResult& arguments)
{
    if (arguments.count("settings") > 0)
        return arguments["settings"].as<std::string>();
    const auto out = platform::settings_path();
    if (!out)
        throw std::invalid_argument("no settings file given: expected "
                                    "--settings, or a path in the environment");
    return *out;
}

gateway::mechanisms enabled_mechanisms_of(const cxxopts::ParseResult& arguments)
{
    gateway::mechanisms out;
    if (arguments.count("without") == 0)
        return out;
    for (const auto& name : arguments["without"].as<std::vector<std::string>>())
    {
        const auto it =
            std::ranges::find(mechanism_options, name, &mechanism_option::name);
        if (it == mechanism_options.end())
            throw std::invalid_argument("--without: unknown mechanism " + name);
        out.*(it->member) = false;
    }
    return out;
}

flags flags_of(const cxxopts::ParseResult& arguments)
{
    return {settings_path_of(arguments),
            arguments["metrics-port"].as<std::uint16_t>(),
            enabled_mechanisms_of(arguments),
            arguments.count("check-settings") > 0};
}

// Reads the settings file and applies the flags to it. The metrics address is
// the IP address for callers with the metrics port.
base::result<entry::settings> read_settings(const flags& args)
{
    auto out = platform::read_settings(args.settings_path);
    if (!out)
        return out;
    out->use = args.use;
    if (args.metrics_port != 0)
    {
        const auto& address = out->caller_address;
        out->metrics_address = address.substr(0, address.rfind(':') + 1) +
                               std::to_string(args.metrics_port);
    }
    return out;
}

int run(const flags& args)
{
    const auto initial = read_settings(args);
    if (!initial)
    {
        std::fprintf(stderr, "mimosa-entry: %s\n",
                     to_string(initial.error()).c_str());
        return exit_usage;
    }
    if (args.check_only)
    {
        std::printf("settings of %s are valid\n", initial->vm.c_str());
        return EXIT_SUCCESS;
    }
    return entry::run(*initial,
                      [args](entry::settings& out)
                      {
                          auto reloaded = read_settings(args);
                          if (!reloaded)
                              return false;
                          out = std::move(*reloaded);
                          return true;
                      });
}

} // namespace

int main(int argc, char** argv)
{
    base::return_large_blocks();
    auto options = make_options();
    flags args;
    try
    {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0)
        {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        args = flags_of(arguments);
    }
    catch (const std::exception& ex)
    {
        std::fprintf(stderr, "mimosa-entry: %s\n", ex.what());
        return exit_usage;
    }
    try
    {
        return run(args);
    }
    catch (const std::exception& ex)
    {
        std::fprintf(stderr, "mimosa-entry: %s\n", ex.what());
        return EXIT_FAILURE;
    }
}
