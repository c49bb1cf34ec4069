// mimosa-entry: the daemon of an entry VM on the platform.
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

/// What --without takes.
struct mechanism_name
{
    std::string_view name;
    bool gateway::mechanisms::* member;
};

constexpr auto mechanism_names = std::to_array<mechanism_name>({
    {"hedging", &gateway::mechanisms::hedging},
    {"relays", &gateway::mechanisms::relaying},
    {"admission", &gateway::mechanisms::admission},
    {"partial-answers", &gateway::mechanisms::partial_answers},
});

struct flags
{
    std::string settings_path;
    std::uint16_t metrics_port = 0; ///< 0: none
    gateway::mechanisms use;
    bool only_check = false;
};

cxxopts::Options make_options()
{
    cxxopts::Options out("mimosa-entry",
                         "An entry VM of mimosacroft on the platform");
    auto add = out.add_options();
    add("settings",
        "settings file; without it, the one that the platform names in the "
        "environment",
        cxxopts::value<std::string>());
    add("metrics-port",
        "TCP port for GET /metrics at the VM's address; 0: none",
        cxxopts::value<std::uint16_t>()->default_value("0"));
    add("without",
        "mechanisms that are not used, with commas: hedging, relays, "
        "admission, partial-answers",
        cxxopts::value<std::vector<std::string>>());
    add("check-settings", "reads the settings, says what is wrong, and ends");
    add("help", "shows this text");
    return out;
}

std::string path_of(const cxxopts::ParseResult& arguments)
{
    if (arguments.count("settings") > 0)
        return arguments["settings"].as<std::string>();
    const auto out = platform::settings_path();
    if (!out)
        throw std::invalid_argument("no settings file is named");
    return *out;
}

gateway::mechanisms mechanisms_of(const cxxopts::ParseResult& arguments)
{
    gateway::mechanisms out;
    if (arguments.count("without") == 0)
        return out;
    for (const auto& name : arguments["without"].as<std::vector<std::string>>())
    {
        const auto it =
            std::ranges::find(mechanism_names, name, &mechanism_name::name);
        if (it == mechanism_names.end())
            throw std::invalid_argument("--without: unknown mechanism " + name);
        out.*(it->member) = false;
    }
    return out;
}

flags flags_of(const cxxopts::ParseResult& arguments)
{
    return {path_of(arguments), arguments["metrics-port"].as<std::uint16_t>(),
            mechanisms_of(arguments), arguments.count("check-settings") > 0};
}

// The settings file, with what the flags add to it.
base::result<entry::settings> read_settings(const flags& with)
{
    auto out = platform::read_settings(with.settings_path);
    if (!out)
        return out;
    out->use = with.use;
    if (with.metrics_port != 0)
    {
        const auto& own = out->caller_address;
        out->metrics_address = own.substr(0, own.rfind(':') + 1) +
                               std::to_string(with.metrics_port);
    }
    return out;
}

int run(const flags& with)
{
    const auto start = read_settings(with);
    if (!start)
    {
        std::fprintf(stderr, "mimosa-entry: %s\n",
                     to_string(start.error()).c_str());
        return exit_usage;
    }
    if (with.only_check)
    {
        std::printf("settings of %s are in order\n", start->vm.c_str());
        return EXIT_SUCCESS;
    }
    return entry::run(*start, [with] { return read_settings(with); });
}

} // namespace

int main(int argc, char** argv)
{
    auto options = make_options();
    flags with;
    try
    {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0)
        {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        with = flags_of(arguments);
    }
    catch (const std::exception& ex)
    {
        std::fprintf(stderr, "mimosa-entry: %s\n", ex.what());
        return exit_usage;
    }
    try
    {
        return run(with);
    }
    catch (const std::exception& ex)
    {
        std::fprintf(stderr, "mimosa-entry: %s\n", ex.what());
        return EXIT_FAILURE;
    }
}
