// mimosa-entry: the daemon of an entry VM on the platform.
#include "mimosacroft/entry/daemon.hpp"
#include "platform/settings_file.hpp"

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

int run(const std::string& path, bool only_check)
{
    const auto start = platform::read_settings(path);
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
                      [path](entry::settings& out)
                      {
                          auto fresh = platform::read_settings(path);
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
        return run(*path, arguments.count("check-settings") > 0);
    }
    catch (const std::exception& ex)
    {
        std::fprintf(stderr, "mimosa-entry: %s\n", ex.what());
        return EXIT_FAILURE;
    }
}
