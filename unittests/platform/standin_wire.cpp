// Encodes and decodes the platform's formats for the peers of an entry VM.
#include "standin_wire.hpp"

#include "mimosacroft/base/text.hpp"

#include <algorithm>
#include <array>

namespace mimosacroft::tests
{

namespace
{

using nlohmann::json;

constexpr auto id_header = "Mimosacroft-Request-Id";
constexpr unsigned status_ok = 200;
constexpr unsigned status_failed = 500;

std::string string_or_empty(std::optional<std::string_view> value)
{
    return std::string(value.value_or(""));
}

json search_json(const gateway::search& search)
{
    json out = {
        {"name", search.name},
        {"host", search.host},
        {"pathPrefix", search.path_prefix},
        {"type", search.is_idempotent() ? "idempotent" : "non_idempotent"},
        {"attempts", search.max_attempts},
        {"timeoutMs", search.timeout.count()},
        {"sloMs", search.latency_objective.count()},
        {"priority", search.priority}};
    if (search.is_scattered())
    {
        out["gather"] = search.shards;
        out["topK"] = search.max_records;
        out["minShare"] = search.min_coverage;
    }
    else
        out["service"] = search.services.at(0).service;
    return out;
}

} // namespace

http::request make_caller_request(const std::string& id,
                                  const std::string& host,
                                  const std::string& path,
                                  base::milliseconds deadline)
{
    return {"GET",
            path,
            {{"Host", host},
             {id_header, id},
             {"Mimosacroft-Deadline-Ms", std::to_string(deadline.count())}},
            ""};
}

bool caller_answer::guarantees_not_executed() const
{
    static constexpr auto statuses =
        std::to_array<unsigned>({404, 408, 421, 429, 503});
    return std::ranges::find(statuses, status) != statuses.end();
}

caller_answer decode_caller_answer(const http::response& message)
{
    caller_answer out;
    out.status = message.status;
    out.body = message.body;
    const auto signature =
        http::find(message.headers, "Mimosacroft-Server-Stamp");
    if (signature)
        out.signatures.emplace_back(*signature);
    const auto parts =
        string_or_empty(http::find(message.headers, "Mimosacroft-Part-Stamps"));
    for (const auto& entry : base::split(parts, ','))
    {
        const auto begin = entry.find_first_not_of(' ');
        if (begin != std::string::npos)
            out.signatures.push_back(entry.substr(begin));
    }
    const auto missing =
        http::find(message.headers, "Mimosacroft-Missing-Parts");
    out.missing = base::to_number(missing.value_or("0")).value_or(0);
    return out;
}

received_request decode_received_request(const http::request& message)
{
    return {string_or_empty(http::find(message.headers, id_header)),
            string_or_empty(
                http::find(message.headers, "Mimosacroft-Expect-Instance"))};
}

http::response make_success_reply(const received_request& to,
                                  const std::string& signature,
                                  std::string body)
{
    return {status_ok,
            {{id_header, to.id}, {"Mimosacroft-Server-Stamp", signature}},
            std::move(body)};
}

void state_limit(http::response& reply, double per_second)
{
    reply.headers.push_back({"Server-Limit", std::to_string(per_second)});
}

void state_leaving(http::response& reply)
{
    reply.headers.push_back({"Server-Leaving", "1"});
}

void state_pause(http::response& reply, base::seconds pause)
{
    reply.headers.push_back({"Retry-After", std::to_string(pause.count())});
}

http::response make_failure_reply(const received_request& to)
{
    return {status_failed, {{id_header, to.id}}, "failed"};
}

http::response make_not_executed_reply(const received_request& to,
                                       unsigned status)
{
    return {
        status, {{id_header, to.id}, {"Mimosacroft-Not-Executed", "1"}}, ""};
}

json server_spec(const gateway::server_entry& entry)
{
    return {{"service", entry.service},
            {"addr", entry.address},
            {"zone", entry.data_centre},
            {"version", "v1"},
            {"capacity", entry.slots},
            {"state", entry.leaving ? "draining" : "ready"},
            {"warmupLeftMs", 0},
            {"sequence", 1},
            {"born", entry.started_at}};
}

json configuration_spec(std::uint64_t version,
                        const std::vector<gateway::search>& searches,
                        const std::vector<gateway::service_settings>& services)
{
    json out = {{"version", version},
                {"routes", json::array()},
                {"services", json::array()},
                {"limits", json::object()}};
    for (const auto& search : searches)
        out["routes"].push_back(search_json(search));
    for (const auto& service : services)
        out["services"].push_back(
            {{"name", service.name}, {"maxConns", service.max_connections}});
    return out;
}

std::string settings_file_text(const entry::settings& settings)
{
    json out = {
        {"nodeName", settings.vm},
        {"zone", settings.data_centre},
        {"zones", settings.regions},
        {"listen",
         {{"front", settings.caller_address},
          {"ready", settings.ready_address},
          {"control", settings.peer_address}}},
        {"seedAddrs", settings.seeds},
        {"platform", {{"addr", settings.store_address}}},
        {"bootstrap", settings.is_fleet_bootstrap},
        {"bounds",
         {{"retryBudgetRatio", settings.extra.ratio},
          {"budgetSlack", settings.extra.slack},
          {"budgetWindowS", settings.extra.window.count()},
          {"graceS", base::to_seconds(base::duration(settings.stop_grace))}}}};
    // JSON is valid YAML.
    return out.dump(2) + "\n";
}

} // namespace mimosacroft::tests
