// mimosactl: the operators' command.
#include "mimosacroft/base/time.hpp"
#include "mimosacroft/daemon/settings.hpp"
#include "mimosacroft/model/store_era.hpp"
#include "mimosacroft/operate/log_explainer.hpp"
#include "mimosacroft/operate/operator_client.hpp"
#include "mimosacroft/operate/resource_file.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

namespace
{

using namespace mimosacroft;
using daemon::setting_kind;
using operate::apply_one;
using operate::error_text;
using operate::file_resource;
using operate::path_of;
using operate::write_on;
using client = operate::operator_client;
using nlohmann::json;

constexpr base::milliseconds poll_period{200};

const daemon::program this_program = {
    "mimosactl",
    "Operates a fleet of mimosacroft",
    {
        {.name = "server",
         .kind = setting_kind::address,
         .fallback = "127.0.0.1:8080",
         .help = "address of an entry VM"},
        {.name = "operator-token",
         .help = "the operators' token; all but explain --log need it",
         .secret = true},
        {.name = "log",
         .help = "explain: a file with logs of entry VMs; - for the input"},
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
    "| status | explain TRACE | explain --log F REQUEST"};

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

// The JSON of a reply with status 200; complains about any other.
std::optional<json> body_of(const base::result<wire::http_reply>& reply)
{
    if (!reply)
        complain(base::to_string(reply.error()));
    else if (reply->status != wire::status_ok)
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

std::string older_store_line(const json& it)
{
    return "the platform's store came back older (version " +
           std::to_string(it.value("version", std::uint64_t{0})) +
           "); version " +
           std::to_string(it.value("in_force", std::uint64_t{0})) +
           " stays in force and what it holds in older versions is not taken";
}

// A resource that was applied. Its version is ordered over the platform's eras,
// as the versions of the VMs are.
struct written_resource
{
    std::string kind;
    std::string name;
    std::uint64_t version = 0;
};

// Reads what the platform holds: the version, ordered over its eras, or 0 if
// the resource does not exist. Returns nothing if it can't be read.
std::optional<std::uint64_t>
read_version(const client& to, const std::string& kind, const std::string& name)
{
    const auto reply = to.call("GET", path_of(kind, name));
    if (reply && reply->status == wire::status_not_found)
        return 0;
    if (!reply || reply->status != wire::status_ok)
        return std::nullopt;
    const auto in = json::parse(reply->body, nullptr, false);
    if (!in.is_object())
        return std::nullopt;
    return model::ordered_version(in.value("version", std::uint64_t{0}),
                                  {in.value("era", std::uint64_t{0}),
                                   in.value("since", std::uint64_t{0})});
}

// Says what keeps a resource that was applied from being in force, if anything.
// All VMs may have seen higher versions than it has when the platform's store
// came back older: these then stand for changes that the store has lost.
std::optional<std::string> find_newer_in_force(const client& to,
                                               const written_resource& it,
                                               const json& items)
{
    const auto held =
        std::ranges::find_if(items, [&it](const json& one)
                             { return one.value("name", "") == it.name; });
    const bool is_held = held != items.end();
    const auto in_force = is_held
                              ? held->value("config_version", std::uint64_t{0})
                              : std::uint64_t{0};
    if (is_held && in_force <= it.version)
        return std::nullopt;
    // Another operator may have replaced or deleted it meanwhile.
    const auto current = read_version(to, it.kind, it.name);
    if (current && (is_held ? *current >= in_force : *current == 0))
        return std::nullopt;
    return it.kind + " " + it.name + " is written as version " +
           std::to_string(model::store_version(it.version)) +
           " and not in force: " +
           (is_held
                ? "version " + std::to_string(model::store_version(in_force))
                : "its deletion") +
           " stays in force, which the platform's store has lost";
}

std::optional<std::string>
find_newer_in_force(const client& to, const std::vector<written_resource>& all)
{
    for (const auto& it : all)
    {
        const auto in = body_of(to.call("GET", "/v1/resources/" + it.kind));
        if (!in)
            return "what is in force cannot be read";
        if (auto found = find_newer_in_force(to, it, (*in)["items"]))
            return found;
    }
    return std::nullopt;
}

// Waits until every VM that the server knows has what was written in force.
int wait_in_force(const client& to, const std::vector<written_resource>& all,
                  base::milliseconds most)
{
    std::uint64_t version = 0;
    for (const auto& it : all)
        version = std::max(version, it.version);
    const auto version_text =
        "version " + std::to_string(model::store_version(version));
    const auto due = std::chrono::steady_clock::now() + most;
    std::string lagging;
    do
    {
        const auto reply =
            to.call("GET", "/v1/status?version=" + std::to_string(version));
        if (!reply || reply->status != wire::status_ok)
            return complain("the status cannot be read");
        lagging.clear();
        std::size_t n = 0;
        const auto in = json::parse(reply->body);
        if (in.contains("platform_older") &&
            version <= in["platform_older"].value("in_force", version))
            return complain(version_text + " is written and not in force: " +
                            older_store_line(in["platform_older"]));
        for (const auto& it : in["vms"])
        {
            ++n;
            if (it.value("config_version", std::uint64_t{0}) < version)
                lagging += " " + it.value("vm", "");
        }
        if (lagging.empty())
        {
            if (const auto found = find_newer_in_force(to, all))
                return complain(*found);
            std::cout << version_text << " is in force on " << n << " of " << n
                      << " VMs\n";
            return EXIT_SUCCESS;
        }
        std::this_thread::sleep_for(poll_period);
    } while (std::chrono::steady_clock::now() < due);
    return complain(version_text + " is not in force yet on:" + lagging);
}

int apply(const client& to, const daemon::settings& s)
{
    if (s.text("file").empty())
        return usage("apply needs --file");
    std::vector<file_resource> all;
    for (const auto& path : operate::files_of(s.text("file")))
    {
        auto some = operate::read_file(path);
        // Nothing is written unless every file is right.
        if (!some)
            return complain(base::to_string(some.error()));
        std::ranges::move(*some, std::back_inserter(all));
    }
    std::vector<written_resource> written;
    for (const auto& it : all)
    {
        const auto done = apply_one(to, it);
        if (!done)
            return complain(base::to_string(done.error()));
        const std::string kind(base::name_of(it.declared.kind));
        std::cout << kind << " " << it.declared.name
                  << (done->changed
                          ? " applied, version " + std::to_string(done->version)
                          : std::string(" unchanged"))
                  << "\n";
        written.push_back({kind, it.declared.name, done->version});
    }
    if (!s.flag("wait"))
        return EXIT_SUCCESS;
    for (auto& it : written)
        it.version = std::max(it.version,
                              read_version(to, it.kind, it.name).value_or(0));
    return wait_in_force(to, written, base::milliseconds(s.number("wait-ms")));
}

int remove(const client& to, const std::string& kind, const std::string& name)
{
    const auto path = path_of(kind, name);
    const auto current = operate::read_current(to, path);
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
        if (!reply || reply->status != wire::status_ok)
            return complain("the resources cannot be read");
        std::map<std::string, std::uint64_t> now;
        const auto in = json::parse(reply->body);
        for (const auto& it : in["items"])
            now[it.value("kind", "") + " " + it.value("name", "")] =
                it.value("config_version", std::uint64_t{0});
        for (const auto& [key, version] : now)
            if (seen[key] != version)
                std::cout << (first ? "has " : "changed ") << key
                          << ", version " << model::store_version(version)
                          << "\n"
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

int explain_from_log(const std::string& path, const std::string& request)
{
    std::ifstream file;
    if (path != "-")
    {
        file.open(path);
        if (!file)
            return complain("cannot read " + path);
    }
    auto& logs = path == "-" ? std::cin : file;
    const auto found = operate::explain_request(logs, request);
    std::cout << operate::to_text(found, request);
    return found.of_request.empty() ? EXIT_FAILURE : EXIT_SUCCESS;
}

int run(const daemon::settings& s)
{
    const auto& args = s.positional();
    const auto is = [&args](const char* verb, std::size_t n)
    { return !args.empty() && args[0] == verb && args.size() == n + 1; };
    if (is("explain", 1) && !s.text("log").empty())
        return explain_from_log(s.text("log"), args[1]);
    if (s.text("operator-token").empty())
        return usage("setting operator-token: is missing");
    const client to(s.text("server"), s.text("operator-token"));
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
