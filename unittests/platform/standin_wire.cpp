// The platform's messages from the other side.
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

std::string text_of(std::optional<std::string_view> it)
{
    return std::string(it.value_or(""));
}

json search_object(const gateway::search& it)
{
    json out = {{"name", it.name},
                {"host", it.host},
                {"pathPrefix", it.path_prefix},
                {"type", it.may_repeat() ? "idempotent" : "non_idempotent"},
                {"attempts", it.attempts},
                {"timeoutMs", it.timeout.count()},
                {"sloMs", it.objective.count()},
                {"priority", it.rank}};
    if (it.is_scattered())
    {
        out["gather"] = it.shards;
        out["topK"] = it.most_records;
        out["minShare"] = it.least_coverage;
    }
    else
        out["service"] = it.services.at(0).service;
    return out;
}

} // namespace

http::request caller_message(const std::string& id, const std::string& host,
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

bool caller_answer::promises_not_run() const
{
    static constexpr auto all =
        std::to_array<unsigned>({404, 408, 421, 429, 503});
    return std::ranges::find(all, status) != all.end();
}

caller_answer read_answer(const http::response& message)
{
    caller_answer out;
    out.status = message.status;
    out.body = message.body;
    const auto one = http::find(message.headers, "Mimosacroft-Server-Stamp");
    if (one)
        out.signatures.emplace_back(*one);
    const auto parts =
        text_of(http::find(message.headers, "Mimosacroft-Part-Stamps"));
    for (const auto& it : base::split(parts, ','))
    {
        const auto begin = it.find_first_not_of(' ');
        if (begin != std::string::npos)
            out.signatures.push_back(it.substr(begin));
    }
    const auto missing =
        http::find(message.headers, "Mimosacroft-Missing-Parts");
    out.missing = base::to_number(missing.value_or("0")).value_or(0);
    return out;
}

server_question read_question(const http::request& message)
{
    return {
        text_of(http::find(message.headers, id_header)),
        text_of(http::find(message.headers, "Mimosacroft-Expect-Instance"))};
}

http::response server_success(const server_question& to,
                              const std::string& signature, std::string body)
{
    return {status_ok,
            {{id_header, to.id}, {"Mimosacroft-Server-Stamp", signature}},
            std::move(body)};
}

http::response server_failure(const server_question& to)
{
    return {status_failed, {{id_header, to.id}}, "failed"};
}

http::response server_refusal(const server_question& to, unsigned status)
{
    return {
        status, {{id_header, to.id}, {"Mimosacroft-Not-Executed", "1"}}, ""};
}

json server_object(const gateway::server_entry& it)
{
    return {
        {"service", it.service},  {"addr", it.address},
        {"zone", it.data_centre}, {"version", "v1"},
        {"capacity", it.slots},   {"state", it.leaving ? "draining" : "ready"},
        {"warmupLeftMs", 0},      {"sequence", 1},
        {"born", it.started_at}};
}

json configuration_object(
    std::uint64_t version, const std::vector<gateway::search>& searches,
    const std::vector<gateway::service_settings>& services)
{
    json out = {{"version", version},
                {"routes", json::array()},
                {"services", json::array()},
                {"limits", json::object()}};
    for (const auto& it : searches)
        out["routes"].push_back(search_object(it));
    for (const auto& it : services)
        out["services"].push_back(
            {{"name", it.name}, {"maxConns", it.most_connections}});
    return out;
}

std::string settings_text(const entry::settings& it)
{
    json out = {
        {"nodeName", it.vm},
        {"zone", it.data_centre},
        {"zones", it.regions},
        {"listen",
         {{"front", it.caller_address},
          {"ready", it.ready_address},
          {"control", it.peer_address}}},
        {"seedAddrs", it.seeds},
        {"platform", {{"addr", it.store_address}}},
        {"bootstrap", it.is_first_start},
        {"bounds",
         {{"retryBudgetRatio", it.extra.ratio},
          {"budgetSlack", it.extra.slack},
          {"budgetWindowS", it.extra.window.count()},
          {"graceS", base::to_seconds(base::duration(it.stop_grace))}}}};
    // YAML holds JSON.
    return out.dump(2) + "\n";
}

} // namespace mimosacroft::tests
