// mimosactl: the operators' command.
#include "mimosacroft/daemon/settings.hpp"
#include "mimosacroft/model/schema.hpp"
#include "mimosacroft/net/blocking_http.hpp"
#include "mimosacroft/net/http_server.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <thread>

namespace
{

using namespace mimosacroft;
using daemon::setting_kind;
using nlohmann::json;

constexpr base::milliseconds call_timeout{5000};
constexpr base::milliseconds poll_period{200};
constexpr base::milliseconds read_back_limit{3000};

const daemon::program this_program = {
    "mimosactl",
    "Operates a fleet of mimosacroft",
    {
        {.name = "server",
         .kind = setting_kind::address,
         .fallback = "127.0.0.1:8080",
         .help = "address of an entry VM"},
        {.name = "operator-token",
         .help = "the operators' token",
         .required = true,
         .secret = true},
        {.name = "file",
         .help = "apply: a file or a folder of resources in JSON"},
        {.name = "wait",
         .kind = setting_kind::flag,
         .fallback = "false",
         .help = "apply: until it is in force everywhere in reach"},
        {.name = "wait-ms",
         .kind = setting_kind::number,
         .fallback = "5000",
         .help = "apply --wait: longest wait",
         .least = 100,
         .most = 600'000},
        {.name = "json",
         .kind = setting_kind::flag,
         .fallback = "false",
         .help = "list, status, explain: print JSON in place of a table"},
    },
    "apply --file F | get KIND NAME | list [KIND] | watch | delete KIND NAME "
    "| status | explain TRACE"};

class client
{
public:
    explicit client(const daemon::settings& s)
        : server_(s.text("server")), token_(s.text("operator-token"))
    {
    }

    base::result<wire::http_reply> call(const std::string& method,
                                        const std::string& path,
                                        const std::string& body = {},
                                        const std::string& version = {}) const
    {
        wire::http_request out;
        out.method = method;
        out.path = path.substr(0, path.find('?'));
        if (out.path.size() < path.size())
            out.query = path.substr(out.path.size() + 1);
        out.body = body;
        out.headers["authorization"] = "Bearer " + token_;
        if (!version.empty())
            out.headers["if-match"] = version;
        return net::exchange(server_, out, call_timeout);
    }

private:
    std::string server_;
    std::string token_;
};

int complain(const std::string& text)
{
    std::cerr << "mimosactl: " << text << "\n";
    return EXIT_FAILURE;
}

int usage(const std::string& text)
{
    std::cerr << "mimosactl: " << text << ", see --help\n";
    return daemon::exit_usage;
}

std::string error_text(const wire::http_reply& reply)
{
    const auto in = json::parse(reply.body, nullptr, false);
    if (in.is_object() && in.contains("error"))
        return in["error"].get<std::string>();
    return "status " + std::to_string(reply.status);
}

std::string path_of(const std::string& kind, const std::string& name)
{
    return "/v1/resources/" + kind + "/" + name;
}

// The JSON of a reply with status 200; complains about any other.
std::optional<json> body_of(const base::result<wire::http_reply>& reply)
{
    if (!reply)
        complain(base::to_string(reply.error()));
    else if (reply->status != 200)
        complain(error_text(*reply));
    else
        return json::parse(reply->body, nullptr, false);
    return std::nullopt;
}

int show(const std::optional<json>& value)
{
    if (!value)
        return EXIT_FAILURE;
    std::cout << value->dump(2) << "\n";
    return EXIT_SUCCESS;
}

// Prints rows with columns of equal width; the first row is the head.
void print_table(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows)
    {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t n = 0; n < row.size(); ++n)
            widths[n] = std::max(widths[n], row[n].size());
    }
    for (const auto& row : rows)
    {
        std::string line;
        for (std::size_t n = 0; n < row.size(); ++n)
            line += row[n] + std::string(widths[n] + 2 - row[n].size(), ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        std::cout << line << "\n";
    }
}

// A resource as it is applied, with its version.
json resource_of(const json& object)
{
    auto out = object.value("value", json::object());
    if (!out.is_object())
        out = {{"value", out}};
    out["version"] = object.value("version", std::uint64_t{0});
    return out;
}

// The files of a folder in order of name, or the file itself.
std::vector<std::string> files_of(const std::string& path)
{
    std::vector<std::string> out;
    if (!std::filesystem::is_directory(path))
        return {path};
    for (const auto& it : std::filesystem::directory_iterator(path))
        if (it.path().extension() == ".json")
            out.push_back(it.path().string());
    std::ranges::sort(out);
    return out;
}

/// A resource of a file.
struct file_resource
{
    model::declared declared;
    /// The version that the file was made from, if it says one: the write is
    /// refused when another one is current.
    std::optional<std::uint64_t> version;
};

// Takes the field "version" out of a resource.
base::result<std::optional<std::uint64_t>> take_version(json& value)
{
    if (!value.is_object() || !value.contains("version"))
        return std::nullopt;
    const auto it = value["version"];
    if (!it.is_number_unsigned())
        return base::fail(base::error_code::invalid, base::step::parse, "",
                          "field version: found " + it.dump() +
                              ", allowed is a whole number from 0");
    value.erase("version");
    return it.get<std::uint64_t>();
}

// The resources of a file: one object or a list of objects.
base::result<std::vector<file_resource>> read_file(const std::string& path)
{
    const auto refuse = [&path](const std::string& why)
    {
        return base::fail(base::error_code::invalid, base::step::parse, path,
                          why);
    };
    std::ifstream in(path);
    if (!in)
        return refuse("file cannot be read");
    std::stringstream text;
    text << in.rdbuf();
    auto value = json::parse(text.str(), nullptr, false);
    if (value.is_discarded())
        return refuse("file is not valid JSON");
    if (!value.is_array())
        value = json::array({value});
    std::vector<file_resource> out;
    for (auto& it : value)
    {
        const auto version = take_version(it);
        if (!version)
            return refuse(version.error().text);
        auto parsed = model::parse_resource(it.dump());
        if (!parsed)
            return refuse(parsed.error().text);
        out.push_back({std::move(*parsed), *version});
    }
    return out;
}

/// What the platform holds of a resource.
struct current_state
{
    std::uint64_t version = 0; ///< 0 if it does not exist
    json value;
};

tl::unexpected<base::error>
apply_error(base::error_code code, const std::string& path, std::string why)
{
    return base::fail(code, base::step::apply, path, std::move(why));
}

base::result<current_state> read_current(const client& to,
                                         const std::string& path)
{
    const auto reply = to.call("GET", path);
    if (!reply)
        return tl::unexpected<base::error>(reply.error());
    if (reply->status == 404)
        return current_state{};
    const auto in = json::parse(reply->body, nullptr, false);
    if (reply->status != 200 || !in.is_object())
        return apply_error(base::error_code::unavailable, path,
                           error_text(*reply));
    return current_state{in.value("version", std::uint64_t{0}),
                         in.value("value", json())};
}

std::string describe(const current_state& it)
{
    if (it.version == 0)
        return "it is now deleted";
    return "it is now version " + std::to_string(it.version) + ": " +
           it.value.dump();
}

// Finds out what became of a write whose answer did not come. `wanted` is null
// for a delete. Gives the version that holds what was wanted.
base::result<std::uint64_t> read_back(const client& to, const std::string& path,
                                      const json& wanted, std::uint64_t base,
                                      const std::string& why)
{
    const auto due = std::chrono::steady_clock::now() + read_back_limit;
    auto current = read_current(to, path);
    while (!current && std::chrono::steady_clock::now() < due)
    {
        std::this_thread::sleep_for(poll_period);
        current = read_current(to, path);
    }
    if (!current)
        return apply_error(base::error_code::broken, path,
                           "it is not known whether the change was made, read "
                           "it back later; " +
                               why);
    if (current->value == wanted && current->version != base)
        return current->version;
    if (current->version == base)
        return apply_error(base::error_code::broken, path,
                           "the change was not made up to now; " + why);
    return apply_error(base::error_code::conflict, path,
                       "it is not known whether the change was made before "
                       "another one; " +
                           describe(*current) + "; " + why);
}

// Writes on top of a version, or deletes if `wanted` is null, and reads back
// when the answer is lost. Nothing of another version is overwritten.
base::result<std::uint64_t> write_on(const client& to, const std::string& path,
                                     const json& wanted, std::uint64_t base)
{
    const bool remove = wanted.is_null();
    const auto reply =
        to.call(remove ? "DELETE" : "PUT", path, remove ? "" : wanted.dump(),
                std::to_string(base));
    if (!reply && reply.error().code == base::error_code::unreachable)
        return tl::unexpected<base::error>(reply.error());
    if (!reply)
        return read_back(to, path, wanted, base,
                         base::to_string(reply.error()));
    const auto in = json::parse(reply->body, nullptr, false);
    if (reply->status == 200)
        return in.value("version", std::uint64_t{0});
    if (reply->status == 409)
    {
        const auto now = read_current(to, path);
        return apply_error(
            base::error_code::conflict, path,
            "version " + std::to_string(base) +
                " is not current any more, nothing was overwritten; " +
                (now ? describe(*now) : "the current one cannot be read"));
    }
    if (reply->status >= 500 && in.value("written", "unknown") != "no")
        return read_back(to, path, wanted, base, error_text(*reply));
    return apply_error(base::error_code::invalid, path, error_text(*reply));
}

/// What an apply of one resource ended with.
struct applied_resource
{
    std::uint64_t version = 0; ///< that the platform holds now
    bool changed = false;      ///< something was written
};

// Writes one resource on top of the version that its file names, or else of the
// one that is read just before.
base::result<applied_resource> apply_one(const client& to,
                                         const file_resource& it)
{
    const auto path =
        path_of(std::string(base::name_of(it.declared.kind)), it.declared.name);
    const auto current = read_current(to, path);
    if (!current)
        return apply_error(current.error().code, path,
                           "nothing was written, the current version cannot be "
                           "read; " +
                               current.error().text);
    const auto wanted = json::parse(model::to_json(it.declared.value));
    if (current->version != 0 && current->value == wanted)
        return applied_resource{current->version, false};
    const auto version =
        write_on(to, path, wanted, it.version.value_or(current->version));
    if (!version)
        return tl::unexpected<base::error>(version.error());
    return applied_resource{*version, true};
}

std::string older_store_line(const json& it)
{
    return "the platform's store came back older (version " +
           std::to_string(it.value("version", std::uint64_t{0})) +
           "); version " +
           std::to_string(it.value("in_force", std::uint64_t{0})) +
           " stays in force and what it holds in older versions is not taken";
}

// Waits until every VM that the server knows has the version in force.
int wait_in_force(const client& to, std::uint64_t version,
                  base::milliseconds most)
{
    const auto due = std::chrono::steady_clock::now() + most;
    std::string lagging;
    do
    {
        const auto reply =
            to.call("GET", "/v1/status?version=" + std::to_string(version));
        if (!reply || reply->status != 200)
            return complain("the status cannot be read");
        lagging.clear();
        std::size_t n = 0;
        const auto in = json::parse(reply->body);
        if (in.contains("platform_older") &&
            version <= in["platform_older"].value("in_force", version))
            return complain("version " + std::to_string(version) +
                            " is written and not in force: " +
                            older_store_line(in["platform_older"]));
        for (const auto& it : in["vms"])
        {
            ++n;
            if (it.value("config_version", std::uint64_t{0}) < version)
                lagging += " " + it.value("vm", "");
        }
        if (lagging.empty())
        {
            std::cout << "version " << version << " is in force on " << n
                      << " of " << n << " VMs\n";
            return EXIT_SUCCESS;
        }
        std::this_thread::sleep_for(poll_period);
    } while (std::chrono::steady_clock::now() < due);
    return complain("version " + std::to_string(version) +
                    " is not in force yet on:" + lagging);
}

int apply(const client& to, const daemon::settings& s)
{
    if (s.text("file").empty())
        return usage("apply needs --file");
    std::vector<file_resource> all;
    for (const auto& path : files_of(s.text("file")))
    {
        auto some = read_file(path);
        // Nothing is written unless every file is right.
        if (!some)
            return complain(base::to_string(some.error()));
        std::ranges::move(*some, std::back_inserter(all));
    }
    std::uint64_t latest = 0;
    for (const auto& it : all)
    {
        const auto done = apply_one(to, it);
        if (!done)
            return complain(base::to_string(done.error()));
        std::cout << base::name_of(it.declared.kind) << " " << it.declared.name
                  << (done->changed
                          ? " applied, version " + std::to_string(done->version)
                          : std::string(" unchanged"))
                  << "\n";
        latest = std::max(latest, done->version);
    }
    if (!s.flag("wait"))
        return EXIT_SUCCESS;
    return wait_in_force(to, latest, base::milliseconds(s.number("wait-ms")));
}

int remove(const client& to, const std::string& kind, const std::string& name)
{
    const auto path = path_of(kind, name);
    const auto current = read_current(to, path);
    if (!current)
        return complain(base::to_string(current.error()));
    if (current->version == 0)
        return complain(kind + " " + name + " does not exist");
    const auto done = write_on(to, path, json(), current->version);
    if (!done)
        return complain(base::to_string(done.error()));
    std::cout << kind << " " << name << " deleted\n";
    return EXIT_SUCCESS;
}

int get(const client& to, const std::string& kind, const std::string& name)
{
    const auto object = body_of(to.call("GET", path_of(kind, name)));
    return show(object ? std::optional(resource_of(*object)) : std::nullopt);
}

int list(const client& to, const daemon::settings& s, const std::string& path)
{
    const auto in = body_of(to.call("GET", path));
    if (!in || s.flag("json"))
        return show(in);
    std::vector<std::vector<std::string>> rows = {{"KIND", "NAME", "VERSION"}};
    for (const auto& it : (*in)["items"])
        rows.push_back({it.value("kind", ""), it.value("name", ""),
                        std::to_string(it.value("version", std::uint64_t{0}))});
    print_table(rows);
    return EXIT_SUCCESS;
}

std::string seconds_of(std::int64_t ms)
{
    return std::to_string(ms / 1000) + "." + std::to_string(ms / 100 % 10) +
           " s";
}

std::string heard_of(const json& it)
{
    return it.contains("heard_ms")
               ? seconds_of(it["heard_ms"].get<std::int64_t>()) + " ago"
               : "-";
}

// What is noteworthy of a VM in the status.
std::string note_on(const json& vm, std::uint64_t version)
{
    if (vm.value("leaving", false) || vm.value("draining", false))
        return "leaving";
    if (vm.value("suspected", false))
        return "suspected, no answer for " +
               seconds_of(vm.value("unanswered_ms", std::int64_t{0}));
    return vm.value("config_version", std::uint64_t{0}) < version ? "lags" : "";
}

// The work on servers of the VM that was asked.
void print_leaf(const json& leaf)
{
    const auto n = [&leaf](const char* name)
    { return std::to_string(leaf.value(name, std::uint64_t{0})); };
    std::cout << "its work on servers, since it started "
              << seconds_of(leaf.value("since_ms", std::int64_t{0}))
              << " ago: " << n("first_attempts") << " subqueries, "
              << n("hedges") << " hedges, " << n("retries") << " retries, "
              << n("refusals") << " refused for overload, " << n("bad_answers")
              << " answers that did not fit; " << n("waiting") << " wait now\n";
    std::vector<std::vector<std::string>> rows = {
        {"SERVER", "IN FLIGHT", "MEAN MS", "HIGH MS", "HEARD", "NOTE"}};
    for (const auto& it : leaf["servers"])
        rows.push_back(
            {it.value("server", ""), std::to_string(it.value("in_flight", 0)),
             std::to_string(std::lround(it.value("mean_ms", 0.0))),
             std::to_string(std::lround(it.value("high_ms", 0.0))),
             heard_of(it), it.value("ejected", false) ? "ejected" : ""});
    if (rows.size() > 1)
        print_table(rows);
}

int status(const client& to, const daemon::settings& s)
{
    const auto in = body_of(to.call("GET", "/v1/status"));
    if (!in || s.flag("json"))
        return show(in);
    const auto version = in->value("config_version", std::uint64_t{0});
    std::cout << "seen from " << in->value("vm", "") << " in "
              << in->value("data_centre", "") << ": version " << version
              << ", the platform "
              << (in->value("platform_ok", false) ? "answers"
                                                  : "does not answer");
    if (in->contains("platform_heard_ms"))
        std::cout << ", heard "
                  << seconds_of((*in)["platform_heard_ms"].get<std::int64_t>())
                  << " ago";
    std::cout << "\n";
    if (in->contains("platform_older"))
        std::cout << older_store_line((*in)["platform_older"]) << "\n";
    std::vector<std::vector<std::string>> rows = {
        {"VM", "DATA CENTRE", "VERSION", "HEARD", "NOTE"}};
    for (const auto& it : (*in)["vms"])
    {
        const bool known = it.contains("config_version");
        const auto has = it.value("config_version", std::uint64_t{0});
        rows.push_back({it.value("vm", ""), it.value("data_centre", ""),
                        known ? std::to_string(has) : "unknown", heard_of(it),
                        note_on(it, version)});
    }
    print_table(rows);
    if (in->contains("leaf"))
        print_leaf((*in)["leaf"]);
    for (const auto& it : (*in)["refused"])
        std::cout << "not valid, not in force: " << it.value("kind", "") << " "
                  << it.value("name", "") << " version "
                  << it.value("version", std::uint64_t{0}) << ": "
                  << it.value("reason", "") << "\n";
    return EXIT_SUCCESS;
}

// Prints changes as they come, until interrupted.
int watch(const client& to)
{
    std::map<std::string, std::uint64_t> seen;
    bool first = true;
    for (;;)
    {
        const auto reply = to.call("GET", "/v1/resources");
        if (!reply || reply->status != 200)
            return complain("the resources cannot be read");
        std::map<std::string, std::uint64_t> now;
        const auto in = json::parse(reply->body);
        for (const auto& it : in["items"])
            now[it.value("kind", "") + " " + it.value("name", "")] =
                it.value("version", std::uint64_t{0});
        for (const auto& [key, version] : now)
            if (seen[key] != version)
                std::cout << (first ? "has " : "changed ") << key
                          << ", version " << version << "\n"
                          << std::flush;
        for (const auto& [key, version] : seen)
            if (version != 0 && !now.contains(key))
                std::cout << "deleted " << key << "\n" << std::flush;
        seen = std::move(now);
        first = false;
        std::this_thread::sleep_for(poll_period);
    }
}

int explain(const client& to, const daemon::settings& s,
            const std::string& trace)
{
    const auto body = body_of(to.call("GET", "/v1/traces/" + trace));
    if (!body || s.flag("json"))
        return show(body);
    const auto& in = *body;
    const auto& answer = in["answer"];
    std::cout << "search " << answer.value("search", "") << ", outcome "
              << answer.value("outcome", "") << ", epoch "
              << answer.value("epoch", std::uint64_t{0}) << ", "
              << answer.value("took_ms", 0.0) << " ms\n";
    for (const auto& it : answer["coverage"]["lacking"])
        std::cout << "  lacking " << it.value("shard", "") << ": "
                  << it.value("reason", "") << "\n";
    for (const auto& it : in["spans"])
    {
        const auto peer = it.value("peer", "");
        std::cout << "  " << it.value("name", "") << " " << it.value("vm", "")
                  << (peer.empty() ? "" : " -> " + peer) << " at "
                  << it.value("start_us", 0) << " us for "
                  << it.value("length_us", 0) << " us\n";
    }
    return EXIT_SUCCESS;
}

int run(const daemon::settings& s)
{
    const client to(s);
    const auto& args = s.positional();
    const auto is = [&args](const char* verb, std::size_t n)
    { return !args.empty() && args[0] == verb && args.size() == n + 1; };
    if (is("apply", 0))
        return apply(to, s);
    if (is("get", 2))
        return get(to, args[1], args[2]);
    if (is("list", 0))
        return list(to, s, "/v1/resources");
    if (is("list", 1))
        return list(to, s, "/v1/resources/" + args[1]);
    if (is("delete", 2))
        return remove(to, args[1], args[2]);
    if (is("watch", 0))
        return watch(to);
    if (is("status", 0))
        return status(to, s);
    if (is("explain", 1))
        return explain(to, s, args[1]);
    return usage(args.empty() ? "a command is needed"
                              : "command " + args[0] +
                                    " is unknown or has the wrong arguments");
}

} // namespace

int main(int argc, char** argv)
{
    const auto settings = daemon::settings_or_exit(this_program, argc, argv);
    try
    {
        return run(settings);
    }
    catch (const std::exception& ex)
    {
        return complain(ex.what());
    }
}
