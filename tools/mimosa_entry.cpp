// mimosa-entry: the daemon of an entry VM on the platform.
#include "mimosacroft/entry/daemon.hpp"
#include "platform/settings_file.hpp"

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <optional>
#include <string>

namespace
{

using namespace mimosacroft;

constexpr int exit_usage = 2;

cxxopts::Options make_options()
{
    cxxopts::Options out("mimosa-entry",
                         "An entry VM of mimosacroft on the platform");
    out.add_options()("settings",
                      "settings file; without it, the one that the platform "
                      "names in the environment",
                      cxxopts::value<std::string>())(
        "metrics-port",
        "TCP port for GET /metrics at the VM's address; 0: none",
        cxxopts::value<std::uint16_t>()->default_value("0"))(
        "check-settings", "reads the settings, says what is wrong, and ends")(
        "help", "shows this text");
    return out;
}

std::optional<std::string> path_of(const cxxopts::ParseResult& arguments)
{
    if (arguments.count("settings") > 0)
        return arguments["settings"].as<std::string>();
    return platform::settings_path();
}

// The settings file, with what the flags add to it.
base::result<entry::settings> read_settings(const std::string& path,
                                            std::uint16_t metrics_port)
{
    auto out = platform::read_settings(path);
    if (out && metrics_port != 0)
    {
        const auto& own = out->caller_address;
        out->metrics_address =
            own.substr(0, own.rfind(':') + 1) + std::to_string(metrics_port);
    }
    return out;
}

int run(const std::string& path, std::uint16_t metrics_port, bool only_check)
{
    const auto start = read_settings(path, metrics_port);
    if (!start)
    {
        std::fprintf(stderr, "mimosa-entry: %s\n",
                     to_string(start.error()).c_str());
        return exit_usage;
    }
    if (only_check)
    {
        std::printf("settings of %s are in order\n", start->vm.c_str());
        return EXIT_SUCCESS;
    }
    return entry::run(*start,
                      [path, metrics_port](entry::settings& out)
                      {
                          auto fresh = read_settings(path, metrics_port);
                          if (!fresh)
                              return false;
                          out = std::move(*fresh);
                          return true;
                      });
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
        const auto path = path_of(arguments);
        if (!path)
        {
            std::fprintf(stderr, "mimosa-entry: no settings file is named\n");
            return exit_usage;
        }
        return run(*path, arguments["metrics-port"].as<std::uint16_t>(),
                   arguments.count("check-settings") > 0);
    }
    catch (const std::exception& ex)
    {
        std::fprintf(stderr, "mimosa-entry: %s\n", ex.what());
        return EXIT_FAILURE;
    }
}
