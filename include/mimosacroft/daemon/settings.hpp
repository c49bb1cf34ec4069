// Settings of a program, from flags and environment variables; flags go first.
// A setting that is wrong stops the start with one line that names the setting,
// the value and what is allowed.
#ifndef MIMOSACROFT_DAEMON_SETTINGS_HPP
#define MIMOSACROFT_DAEMON_SETTINGS_HPP

#include "mimosacroft/base/error.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mimosacroft::daemon
{

enum class setting_kind
{
    text,
    number,  ///< whole, within least and most
    address, ///< ip:port
    flag     ///< true or false; given alone it means true
};

struct setting_spec
{
    std::string name; ///< flag --name, environment variable MIMOSA_NAME
    setting_kind kind = setting_kind::text;
    std::string fallback = {};
    std::string help = {};
    bool required = false;
    bool secret = false; ///< never printed
    std::uint64_t least = 0;
    std::uint64_t most = UINT64_MAX;
};

class settings
{
public:
    struct value
    {
        std::string text;
        std::string source; ///< "flag", "environment" or "default"
    };

    const value& find(const std::string& name) const
    {
        return values_.at(name);
    }
    const std::string& text(const std::string& name) const;
    std::uint64_t number(const std::string& name) const;
    bool flag(const std::string& name) const;

    /// Arguments that are not flags, in order.
    const std::vector<std::string>& positional() const { return positional_; }

    /// One line for each setting: name, value and where it came from.
    std::string report() const;

private:
    friend base::result<settings> parse_settings(const struct program&, int,
                                                 const char* const*);

    std::vector<setting_spec> specs_;
    std::map<std::string, value> values_; ///< one for each spec
    std::vector<std::string> positional_;
};

/// What a program is and takes.
struct program
{
    std::string name;
    std::string summary;
    std::vector<setting_spec> specs;
    std::string arguments =
        {}; ///< help for positional arguments; none if empty
    /// What is wrong with values that are allowed one by one; empty if nothing.
    std::function<std::string(const settings&)> problem = {};
};

/// The line for a setting whose value is not allowed.
std::string refused_setting(const std::string& name, const settings::value& it,
                            const std::string& allowed);

/// Environment variable of a setting: MIMOSA_ and the name in capitals.
std::string environment_name(std::string_view setting);

/// Reads flags, then the environment, then defaults, and checks each value.
base::result<settings> parse_settings(const program& it, int argc,
                                      const char* const* argv);

/// The text of --help.
std::string help_of(const program& it);

/// The program's part of docs/settings.md.
std::string settings_page_of(const program& it);

/// Handles --help, --version, --check-settings and wrong settings, which end
/// the process; otherwise gives the settings.
settings settings_or_exit(const program& it, int argc, const char* const* argv);

/// Exit code for wrong settings and usage.
inline constexpr int exit_usage = 2;

} // namespace mimosacroft::daemon

#endif
