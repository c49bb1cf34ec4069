// The callers' API.
#include "mimosacroft/daemon/caller_api.hpp"

#include "mimosacroft/base/crypto.hpp"
#include "mimosacroft/daemon/event_log.hpp"
#include "mimosacroft/daemon/wall_clock.hpp"
#include "mimosacroft/model/object_reader.hpp"

#include <nlohmann/json.hpp>

namespace mimosacroft::daemon
{

namespace
{

constexpr std::uint64_t max_deadline_ms = 60'000;
constexpr std::size_t trace_id_bytes = 16;
constexpr std::size_t trace_id_digits = 2 * trace_id_bytes;
constexpr std::size_t max_key_length = 200;

const std::string search_prefix = "/v1/searches/";

std::string dump(const nlohmann::json& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// The trace id of a W3C traceparent header, or a new one.
std::string trace_id(const wire::http_request& request)
{
    const auto header = wire::header_of(request.headers, "traceparent");
    if (header.size() >= 3 + trace_id_digits && header[2] == '-')
    {
        auto id = header.substr(3, trace_id_digits);
        if (id.find_first_not_of("0123456789abcdef") == std::string::npos)
            return id;
    }
    return base::to_hex(base::random_bytes(trace_id_bytes));
}

// The result of a shard. A kept trace has none.
nlohmann::json value_of(const query::included_shard& it)
{
    auto out = nlohmann::json::parse(it.payload, nullptr, false);
    return out.is_discarded() ? nlohmann::json() : out;
}

wire::http_reply refuse(runtime& rt, unsigned status, const std::string& why)
{
    rt.metrics().add("mimosa_callers_refused_total");
    write({core::event_id::caller_refused,
           {{"status", std::to_string(status)}, {"reason", why}}});
    return refusal(status, why);
}

} // namespace

wire::http_reply refusal(unsigned status, const std::string& why)
{
    wire::http_reply out;
    out.status = status;
    out.headers["content-type"] = "application/json";
    out.body = dump({{"outcome", "rejected"}, {"error", why}});
    return out;
}

std::string bearer_token(const wire::http_request& request)
{
    static const std::string scheme = "Bearer ";
    const auto header = wire::header_of(request.headers, "authorization");
    return header.starts_with(scheme) ? header.substr(scheme.size())
                                      : std::string();
}

base::result<query::search_request>
parse_search_request(const std::string& body)
{
    const auto refuse = [](std::string why)
    {
        return base::fail(base::error_code::invalid, base::step::parse, "",
                          std::move(why));
    };
    const auto value = nlohmann::json::parse(body, nullptr, false);
    if (value.is_discarded())
        return refuse("body is not valid JSON");
    std::optional<std::string> problem;
    model::object_reader in(value, "", problem);
    query::search_request out;
    if (const auto ms = in.number_or("deadline_ms", 1, max_deadline_ms, 0))
        out.deadline = base::milliseconds(ms);
    const auto least = in.share_or("least_coverage", -1);
    if (least >= 0)
        out.least_coverage = least;
    out.idempotency_key = in.text_or("idempotency_key", "");
    if (out.idempotency_key.size() > max_key_length)
        in.complain("idempotency_key", "a longer text",
                    "a text of up to 200 bytes");
    out.routing_key = in.text_or("routing_key", "");
    // What the query means is between the caller and the upstreams.
    if (const auto* query = in.any("query"))
        out.body = dump(*query);
    in.refuse_unknown_fields();
    if (problem)
        return refuse(*problem);
    return out;
}

unsigned status_of(const query::search_answer& answer)
{
    switch (answer.outcome)
    {
    case model::outcome::answered:
        return wire::status_ok;
    case model::outcome::partial:
        return query::coverage_of(answer) < answer.least_coverage
                   ? wire::status_unavailable
                   : wire::status_ok;
    case model::outcome::not_run:
        return wire::status_unavailable;
    case model::outcome::unknown:
        return wire::status_gateway_timeout;
    case model::outcome::rejected:
        break;
    }
    return wire::status_bad_request;
}

std::string to_json(const query::search_answer& answer)
{
    auto results = nlohmann::json::array();
    for (const auto& it : answer.included)
        results.push_back({{"shard", it.name}, {"result", value_of(it)}});
    auto lacking = nlohmann::json::array();
    for (const auto& it : answer.lacking)
        lacking.push_back({{"shard", it.name},
                           {"reason", base::name_of(it.reason)},
                           {"maybe_run", it.maybe_run}});
    nlohmann::json out = {
        {"outcome", base::name_of(answer.outcome)},
        {"search", answer.search},
        {"epoch", answer.epoch},
        {"coverage",
         {{"included", answer.included.size()},
          {"of", answer.included.size() + answer.lacking.size()},
          {"least", answer.least_coverage},
          {"lacking", std::move(lacking)}}},
        {"results", std::move(results)},
        {"extra_attempts", answer.extra_attempts},
        {"replayed", answer.replayed},
        {"took_ms", base::to_seconds(answer.took) * 1000},
        {"trace", answer.trace}};
    if (!answer.error.empty())
        out["error"] = answer.error;
    return dump(out);
}

wire::http_reply handle_search(runtime& rt, const wire::http_request& request)
{
    if (request.method != "POST")
        return refuse(rt, wire::status_method_not_allowed,
                      "method " + request.method + ", allowed is POST");
    const auto name = request.path.substr(search_prefix.size());
    const auto token = bearer_token(request);
    if (token.empty())
        return refuse(rt, wire::status_unauthorized,
                      "header Authorization: found nothing, allowed is "
                      "Bearer and a token");
    const auto hash = base::sha256_hex(token);
    const auto rule = rt.call(
        [&]() -> std::optional<model::rule>
        {
            const auto* it = rt.node().fleet().catalog().find_rule(hash);
            return it ? std::optional(*it) : std::nullopt;
        });
    if (!rule)
        return refuse(rt, wire::status_unauthorized,
                      "no rule knows this token");
    if (!model::allows(*rule, name))
        return refuse(rt, wire::status_forbidden,
                      "rule " + rule->name + " does not allow the search " +
                          name);
    auto parsed = parse_search_request(request.body);
    if (!parsed)
        return refuse(rt, wire::status_bad_request, parsed.error().text);
    parsed->search = name;
    parsed->priority = rule->priority;
    parsed->trace = trace_id(request);
    parsed->caller = rule->name;
    parsed->received_s = seconds_since_1970();
    const auto answer = rt.search(std::move(*parsed));
    wire::http_reply out;
    out.status = status_of(answer);
    out.headers["content-type"] = "application/json";
    out.body = to_json(answer);
    return out;
}

} // namespace mimosacroft::daemon
