// Settings of a program, from flags and environment variables.
#include "mimosacroft/daemon/settings.hpp"

#include "mimosacroft/base/text.hpp"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <optional>

namespace mimosacroft::daemon
{

namespace
{

tl::unexpected<base::error> wrong(std::string text)
{
    return base::fail(base::error_code::invalid, base::step::settings, "",
                      std::move(text));
}

std::string allowed_by(const setting_spec& spec)
{
    switch (spec.kind)
    {
    case setting_kind::number:
        return spec.most == UINT64_MAX
                   ? "a whole number from " + std::to_string(spec.least)
                   : "a whole number from " + std::to_string(spec.least) +
                         " to " + std::to_string(spec.most);
    case setting_kind::address:
        return "ip:port";
    case setting_kind::flag:
        return "true or false";
    case setting_kind::text:
        break;
    }
    return spec.required ? "a text that is not empty" : "a text";
}

bool is_allowed(const setting_spec& spec, const std::string& text)
{
    switch (spec.kind)
    {
    case setting_kind::number:
    {
        const auto n = base::to_number(text);
        return n && *n >= spec.least && *n <= spec.most;
    }
    case setting_kind::address:
        return base::is_address(text);
    case setting_kind::flag:
        return text == "true" || text == "false";
    case setting_kind::text:
        break;
    }
    return !spec.required || !text.empty();
}

std::string check(const setting_spec& spec, const settings::value& it)
{
    if (it.source == "default")
        return spec.required
                   ? "setting " + spec.name + ": is missing, allowed is " +
                         allowed_by(spec)
                   : std::string();
    if (is_allowed(spec, it.text))
        return {};
    const settings::value shown{spec.secret ? "a secret" : it.text, it.source};
    return refused_setting(spec.name, shown, allowed_by(spec));
}

cxxopts::Options options_of(const program& it)
{
    cxxopts::Options out(it.name, it.summary);
    out.add_options()("help", "Print this help")("version",
                                                 "Print the version")(
        "check-settings", "Print the effective settings and stop")(
        "settings-page", "Print the settings as docs/settings.md shows them");
    for (const auto& spec : it.specs)
    {
        auto value = cxxopts::value<std::string>();
        if (spec.kind == setting_kind::flag)
            value = value->implicit_value("true");
        std::string help = spec.help;
        if (!spec.fallback.empty())
            help += " (default: " + spec.fallback + ")";
        if (spec.required)
            help += " (required)";
        out.add_options()(
            spec.name, help + " [" + environment_name(spec.name) + "]", value);
    }
    out.add_options()("positional", "",
                      cxxopts::value<std::vector<std::string>>());
    out.parse_positional({"positional"});
    out.positional_help(it.arguments);
    return out;
}

settings::value effective(const setting_spec& spec,
                          const cxxopts::ParseResult& parsed)
{
    if (parsed.count(spec.name) > 0)
        return {parsed[spec.name].as<std::string>(), "flag"};
    if (const char* text = std::getenv(environment_name(spec.name).c_str()))
        return {text, "environment"};
    return {spec.fallback, "default"};
}

} // namespace

std::string environment_name(std::string_view setting)
{
    std::string out = "MIMOSA_";
    std::ranges::transform(
        setting, std::back_inserter(out), [](unsigned char c)
        { return c == '-' ? '_' : static_cast<char>(std::toupper(c)); });
    return out;
}

std::string refused_setting(const std::string& name, const settings::value& it,
                            const std::string& allowed)
{
    return "setting " + name + ": found \"" + it.text + "\" (" + it.source +
           "), allowed is " + allowed;
}

const std::string& settings::text(const std::string& name) const
{
    return values_.at(name).text;
}

std::uint64_t settings::number(const std::string& name) const
{
    return base::to_number(text(name)).value_or(0);
}

bool settings::flag(const std::string& name) const
{
    return text(name) == "true";
}

std::string settings::report() const
{
    std::string out;
    for (const auto& spec : specs_)
    {
        const auto& it = values_.at(spec.name);
        out += spec.name + " = " + (spec.secret ? "(secret)" : it.text) +
               "  # " + it.source + "\n";
    }
    return out;
}

base::result<settings> parse_settings(const program& it, int argc,
                                      const char* const* argv)
{
    settings out;
    out.specs_ = it.specs;
    try
    {
        auto options = options_of(it);
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("positional") > 0)
            out.positional_ =
                parsed["positional"].as<std::vector<std::string>>();
        if (it.arguments.empty() && !out.positional_.empty())
            return wrong("argument \"" + out.positional_.front() +
                         "\": allowed are only flags, see --help");
        for (const auto& spec : it.specs)
            out.values_[spec.name] = effective(spec, parsed);
    }
    catch (const cxxopts::exceptions::exception& ex)
    {
        return wrong(std::string(ex.what()) + ", see --help");
    }
    for (const auto& spec : it.specs)
        if (auto problem = check(spec, out.values_.at(spec.name));
            !problem.empty())
            return wrong(std::move(problem));
    if (auto problem = it.problem ? it.problem(out) : std::string();
        !problem.empty())
        return wrong(std::move(problem));
    return out;
}

std::string help_of(const program& it)
{
    return options_of(it).help();
}

std::string settings_page_of(const program& it)
{
    std::string out = "## " + it.name + "\n\n" + it.summary +
                      ".\n\n| flag | environment variable | default | allowed "
                      "| meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const auto& spec : it.specs)
        out += "| --" + spec.name + " | " + environment_name(spec.name) +
               " | " + (spec.required ? "none, required" : spec.fallback) +
               " | " + allowed_by(spec) + " | " + spec.help + " |\n";
    return out;
}

settings settings_or_exit(const program& it, int argc, const char* const* argv)
{
    const std::vector<std::string> args(argv + 1, argv + argc);
    const auto given = [&args](const char* flag)
    { return std::ranges::find(args, flag) != args.end(); };
    if (given("--help"))
    {
        std::cout << help_of(it);
        std::exit(EXIT_SUCCESS);
    }
    if (given("--settings-page"))
    {
        std::cout << settings_page_of(it);
        std::exit(EXIT_SUCCESS);
    }
    if (given("--version"))
    {
        std::cout << it.name << " " << MIMOSA_VERSION << "\n";
        std::exit(EXIT_SUCCESS);
    }
    auto out = parse_settings(it, argc, argv);
    if (!out)
    {
        std::cerr << it.name << ": " << out.error().text << "\n";
        std::exit(exit_usage);
    }
    if (given("--check-settings"))
    {
        std::cout << out->report();
        std::exit(EXIT_SUCCESS);
    }
    return *out;
}

} // namespace mimosacroft::daemon
