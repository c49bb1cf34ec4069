// mimosactl: the operators' command.
#include "mimosacroft/daemon/settings.hpp"
#include "mimosacroft/model/schema.hpp"
#include "mimosacroft/net/blocking_http.hpp"
#include "mimosacroft/net/http_server.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace
{

using namespace mimosacroft;
using daemon::setting_kind;
using nlohmann::json;

constexpr base::milliseconds call_timeout{5000};
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
        out.path = path;
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

// Prints a reply's body, or complains.
int show(const base::result<wire::http_reply>& reply)
{
    if (!reply)
        return complain(base::to_string(reply.error()));
    if (reply->status != 200)
        return complain(error_text(*reply));
    const auto in = json::parse(reply->body, nullptr, false);
    std::cout << (in.is_discarded() ? reply->body : in.dump(2)) << "\n";
    return EXIT_SUCCESS;
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

// The resources of a file: one object or a list of objects.
base::result<std::vector<model::declared>> read_file(const std::string& path)
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
    std::vector<model::declared> out;
    for (const auto& it : value)
    {
        auto parsed = model::parse_resource(it.dump());
        if (!parsed)
            return refuse(parsed.error().text);
        out.push_back(std::move(*parsed));
    }
    return out;
}

// Writes one resource on top of the version that is read just before; a change
// that comes between is shown and not overwritten. Gives the new version, or 0
// when nothing had to change.
base::result<std::uint64_t> apply_one(const client& to,
                                      const model::declared& it)
{
    const std::string kind(base::name_of(it.kind));
    const auto path = path_of(kind, it.name);
    const auto refuse = [&path](std::string why)
    {
        return base::fail(base::error_code::conflict, base::step::apply, path,
                          std::move(why));
    };
    const auto current = to.call("GET", path);
    if (!current)
        return tl::unexpected<base::error>(current.error());
    const auto body = model::to_json(it.value);
    std::uint64_t version = 0;
    if (current->status == 200)
    {
        const auto in = json::parse(current->body, nullptr, false);
        version = in.value("version", std::uint64_t{0});
        if (in.contains("value") && in["value"] == json::parse(body))
            return 0;
    }
    else if (current->status != 404)
        return refuse(error_text(*current));
    const auto reply = to.call("PUT", path, body, std::to_string(version));
    if (!reply)
        return tl::unexpected<base::error>(reply.error());
    if (reply->status == 409)
        return refuse("somebody else changed it meanwhile, nothing was "
                      "overwritten; it is now " +
                      reply->body);
    if (reply->status != 200)
        return refuse(error_text(*reply));
    return json::parse(reply->body).value("version", std::uint64_t{0});
}

// Waits until every VM that the server knows has the version in force.
int wait_in_force(const client& to, std::uint64_t version,
                  base::milliseconds most)
{
    const auto due = std::chrono::steady_clock::now() + most;
    std::string lagging;
    do
    {
        const auto reply = to.call("GET", "/v1/status");
        if (!reply || reply->status != 200)
            return complain("the status cannot be read");
        lagging.clear();
        std::size_t n = 0;
        const auto in = json::parse(reply->body);
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
    std::vector<model::declared> all;
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
        const auto version = apply_one(to, it);
        if (!version)
            return complain(base::to_string(version.error()));
        std::cout << base::name_of(it.kind) << " " << it.name
                  << (*version == 0
                          ? std::string(" unchanged")
                          : " applied, version " + std::to_string(*version))
                  << "\n";
        latest = std::max(latest, *version);
    }
    if (!s.flag("wait"))
        return EXIT_SUCCESS;
    return wait_in_force(to, latest, base::milliseconds(s.number("wait-ms")));
}

int remove(const client& to, const std::string& kind, const std::string& name)
{
    const auto current = to.call("GET", path_of(kind, name));
    if (!current)
        return complain(base::to_string(current.error()));
    if (current->status != 200)
        return complain(error_text(*current));
    const auto version =
        json::parse(current->body).value("version", std::uint64_t{0});
    return show(
        to.call("DELETE", path_of(kind, name), "", std::to_string(version)));
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

int explain(const client& to, const std::string& trace)
{
    const auto reply = to.call("GET", "/v1/traces/" + trace);
    if (!reply)
        return complain(base::to_string(reply.error()));
    if (reply->status != 200)
        return complain(error_text(*reply));
    const auto in = json::parse(reply->body);
    const auto& answer = in["answer"];
    std::cout << "search " << answer.value("search", "") << ", outcome "
              << answer.value("outcome", "") << ", epoch "
              << answer.value("epoch", std::uint64_t{0}) << ", "
              << answer.value("took_ms", 0.0) << " ms\n";
    for (const auto& it : answer["coverage"]["lacking"])
        std::cout << "  lacking " << it.value("shard", "") << ": "
                  << it.value("reason", "") << "\n";
    for (const auto& it : in["spans"])
        std::cout << "  " << it.value("name", "") << " " << it.value("vm", "")
                  << " -> " << it.value("peer", "") << " at "
                  << it.value("start_us", 0) << " us for "
                  << it.value("length_us", 0) << " us\n";
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
        return show(to.call("GET", path_of(args[1], args[2])));
    if (is("list", 0))
        return show(to.call("GET", "/v1/resources"));
    if (is("list", 1))
        return show(to.call("GET", "/v1/resources/" + args[1]));
    if (is("delete", 2))
        return remove(to, args[1], args[2]);
    if (is("watch", 0))
        return watch(to);
    if (is("status", 0))
        return show(to.call("GET", "/v1/status"));
    if (is("explain", 1))
        return explain(to, args[1]);
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
