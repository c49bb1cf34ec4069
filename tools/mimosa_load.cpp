// mimosa-load: sends searches to a running fleet, runs experiments in process,
// and plots their reports. Without a command it sends searches.
#include "mimosacroft/daemon/settings.hpp"
#include "mimosacroft/load/experiments.hpp"
#include "mimosacroft/load/http_load.hpp"
#include "mimosacroft/load/plot.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace
{

using namespace mimosacroft;
using daemon::setting_kind;

const daemon::program experiment_program = {
    "mimosa-load experiment",
    "Runs an experiment in process with virtual time",
    {
        {.name = "list",
         .kind = setting_kind::flag,
         .fallback = "false",
         .help = "print the names of the experiments, one a line"},
        {.name = "json", .help = "file to write the report to, as JSON"},
        {.name = "seed",
         .kind = setting_kind::number,
         .fallback = "1",
         .help = "seed of the random choices",
         .most = 1'000'000},
    },
    "NAME"};

const daemon::program report_program = {
    "mimosa-load report",
    "Plots the reports of experiments as SVG",
    {
        {.name = "out", .help = "file to write", .required = true},
    },
    "FILE..."};

int usage(const std::string& why)
{
    std::cerr << "mimosa-load: " << why << "\n";
    return daemon::exit_usage;
}

std::string names_of_experiments()
{
    std::string out;
    for (const auto& it : load::experiments())
        out += (out.empty() ? "" : ", ") + it.name;
    return out;
}

int list()
{
    for (const auto& it : load::experiments())
        std::cout << it.name << ": " << it.summary << "\n";
    return EXIT_SUCCESS;
}

bool write_file(const std::string& name, const std::string& text)
{
    std::ofstream out(name);
    out << text;
    out.close();
    return out.good();
}

int experiment(const daemon::settings& s)
{
    if (s.flag("list"))
        return list();
    if (s.positional().size() != 1)
        return usage("one experiment is needed, allowed is " +
                     names_of_experiments());
    const auto* it = load::find_experiment(s.positional().front());
    if (!it)
        return usage("experiment: found \"" + s.positional().front() +
                     "\", allowed is " + names_of_experiments());
    const auto report = it->run(s.number("seed"));
    std::cout << load::to_table(report);
    const auto& file = s.text("json");
    if (!file.empty() &&
        !write_file(file, load::to_json(report).dump(1) + "\n"))
        return usage("json: cannot write " + file);
    const bool holds = std::ranges::all_of(report.bounds, &load::bound::holds);
    return holds ? EXIT_SUCCESS : EXIT_FAILURE;
}

int report(const daemon::settings& s)
{
    if (s.positional().empty())
        return usage("a report of an experiment is needed");
    std::vector<load::curve> curves;
    for (const auto& file : s.positional())
    {
        std::ifstream in(file);
        const std::string text(std::istreambuf_iterator<char>(in), {});
        const auto read = load::read_curves(text);
        if (!read)
            return usage(file + ": " + read.error().text);
        curves.insert(curves.end(), read->begin(), read->end());
    }
    if (!write_file(s.text("out"), load::to_svg(curves)))
        return usage("out: cannot write " + s.text("out"));
    return EXIT_SUCCESS;
}

int run_command(int argc, char** argv)
{
    const std::string command = argc > 1 ? argv[1] : "";
    if (command == "experiment")
        return experiment(
            daemon::settings_or_exit(experiment_program, argc - 1, argv + 1));
    if (command == "report")
        return report(
            daemon::settings_or_exit(report_program, argc - 1, argv + 1));
    const int skip = command == "run" ? 1 : 0;
    return load::run_load(daemon::settings_or_exit(load::load_program(),
                                                   argc - skip, argv + skip));
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run_command(argc, argv);
    }
    catch (const std::exception& ex)
    {
        std::fprintf(stderr, "mimosa-load: %s\n", ex.what());
        return EXIT_FAILURE;
    }
}
