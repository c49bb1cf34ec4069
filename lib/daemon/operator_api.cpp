// The operators' API.
#include "mimosacroft/daemon/operator_api.hpp"

#include "mimosacroft/base/crypto.hpp"
#include "mimosacroft/base/text.hpp"
#include "mimosacroft/daemon/caller_api.hpp"
#include "mimosacroft/daemon/status_page.hpp"
#include "mimosacroft/model/schema.hpp"
#include "mimosacroft/model/store_era.hpp"
#include "mimosacroft/net/http_server.hpp"

#include <nlohmann/json.hpp>

namespace mimosacroft::daemon
{

namespace
{

constexpr base::milliseconds platform_timeout{2000};

const std::string resources_path = "/v1/resources";
const std::string traces_path = "/v1/traces/";

wire::http_reply json_reply(const nlohmann::json& body)
{
    wire::http_reply out;
    out.headers["content-type"] = "application/json";
    out.body =
        body.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
    return out;
}

bool is_operator(const operator_options& options,
                 const wire::http_request& request)
{
    return base::equal_constant_time(base::sha256_hex(bearer_token(request)),
                                     options.token_sha256);
}

struct resource_path
{
    std::string kind;
    std::string name;
};

resource_path split_path(const std::string& path)
{
    resource_path out;
    if (path.size() <= resources_path.size() + 1)
        return out;
    const auto rest = path.substr(resources_path.size() + 1);
    const auto slash = rest.find('/');
    out.kind = rest.substr(0, slash);
    if (slash != std::string::npos)
        out.name = rest.substr(slash + 1);
    return out;
}

nlohmann::json to_json(const wire::config_entry& entry)
{
    nlohmann::json out = nlohmann::json::parse(entry.body, nullptr, false);
    if (!out.is_object())
        out = {{"kind", entry.kind}, {"name", entry.name}};
    out["version"] = model::store_version(entry.version);
    out["config_version"] = entry.version;
    return out;
}

// Lists what this VM has in force, with the version it reaches to. `version` of
// an item is the platform's; `config_version` is ordered over its eras.
wire::http_reply list(runtime& rt, const std::string& kind)
{
    return rt.call(
        [&]
        {
            const auto& store = rt.node().fleet().store();
            auto items = nlohmann::json::array();
            for (const auto& [key, entry] : store.entries())
                if (!entry.deleted && (kind.empty() || key.first == kind))
                    items.push_back(to_json(entry));
            return json_reply(
                {{"version", store.through()}, {"items", std::move(items)}});
        });
}

// An error of the platform. `written` says whether a change was made: "no" or
// "unknown".
wire::http_reply platform_error(const std::string& written,
                                const std::string& why)
{
    auto out = json_reply({{"error", why}, {"written", written}});
    out.status = wire::status_unavailable;
    return out;
}

// Passes a request on to the platform and its reply back.
wire::http_reply pass_on(runtime& rt, const operator_options& options,
                         wire::http_request request)
{
    const bool reads = request.method == "GET";
    const auto reply = rt.exchange(options.platform_address, std::move(request),
                                   platform_timeout);
    if (reply && reply->status < wire::status_internal_error)
        return *reply;
    const auto why = reply ? "the platform answers with status " +
                                 std::to_string(reply->status)
                           : "the platform does not answer: " +
                                 base::to_string(reply.error());
    const bool unsent =
        !reply && reply.error().code == base::error_code::unreachable;
    if (reads || unsent)
        return platform_error("no", why);
    return platform_error("unknown", "it is not known whether the change was "
                                     "made, read it back: " +
                                         why);
}

wire::http_request platform_request(const wire::http_request& from,
                                    const resource_path& at)
{
    wire::http_request out;
    out.method = from.method;
    out.path = "/v1/objects/" + at.kind + "/" + at.name;
    const auto match = wire::header_of(from.headers, "if-match");
    if (!match.empty())
        out.headers["if-match"] = match;
    return out;
}

wire::http_reply put(runtime& rt, const operator_options& options,
                     const wire::http_request& request, const resource_path& at)
{
    const auto parsed = model::parse_resource(request.body);
    if (!parsed)
        return refusal(wire::status_bad_request, parsed.error().text);
    if (base::name_of(parsed->kind) != at.kind || parsed->name != at.name)
        return refusal(wire::status_bad_request,
                       "path and body name different resources");
    auto passed = platform_request(request, at);
    if (!passed.headers.contains("if-match"))
        return refusal(wire::status_bad_request,
                       "header If-Match: found nothing, allowed "
                       "is a version, 0 to create");
    passed.body = model::to_json(parsed->value);
    passed.headers["content-type"] = "application/json";
    return pass_on(rt, options, std::move(passed));
}

} // namespace

wire::http_reply handle_resources(runtime& rt, const operator_options& options,
                                  const wire::http_request& request)
{
    if (!is_operator(options, request))
        return refusal(wire::status_unauthorized,
                       "the operators' token is needed");
    const auto at = split_path(request.path);
    if (!at.kind.empty() && !base::value_of<model::resource_kind>(at.kind))
        return refusal(wire::status_not_found,
                       "kind " + at.kind +
                           ", allowed are search, upstream, index "
                           "and rule");
    if (at.name.empty())
        return request.method == "GET"
                   ? list(rt, at.kind)
                   : refusal(wire::status_method_not_allowed, "allowed is GET");
    if (request.method == "PUT")
        return put(rt, options, request, at);
    if (request.method == "GET" || request.method == "DELETE")
        return pass_on(rt, options, platform_request(request, at));
    return refusal(wire::status_method_not_allowed,
                   "allowed are GET, PUT and DELETE");
}

wire::http_reply handle_status(runtime& rt, const operator_options& options,
                               const wire::http_request& request)
{
    const auto text = net::query_parameter(request.query, "version");
    const auto version = base::to_number(text);
    if (!text.empty() && !version)
        return refusal(wire::status_bad_request,
                       "version: found \"" + text + "\", allowed is a number");
    if (version && !is_operator(options, request))
        return refusal(wire::status_unauthorized,
                       "the operators' token is needed");
    return json_reply(rt.call(
        [&]
        {
            if (version)
                rt.ask_behind(*version);
            return status_json(rt);
        }));
}

wire::http_reply handle_trace(runtime& rt, const operator_options& options,
                              const wire::http_request& request)
{
    if (!is_operator(options, request))
        return refusal(wire::status_unauthorized,
                       "the operators' token is needed");
    const auto id = request.path.substr(traces_path.size());
    const auto found = rt.traces().find(id);
    if (!found)
        return refusal(wire::status_not_found, "this VM keeps no trace " + id);
    auto spans = nlohmann::json::array();
    for (const auto& it : found->spans)
        spans.push_back({{"id", it.id},
                         {"parent", it.parent},
                         {"name", it.name},
                         {"vm", it.vm},
                         {"peer", it.peer},
                         {"start_us", it.start_us},
                         {"length_us", it.length_us},
                         {"note", it.note}});
    return json_reply({{"answer", nlohmann::json::parse(daemon::to_json(*found),
                                                        nullptr, false)},
                       {"spans", std::move(spans)}});
}

} // namespace mimosacroft::daemon
