// The HTTP and JSON of the upstreams' published protocol.
#include "mimosacroft/query/upstream_codec.hpp"

#include <nlohmann/json.hpp>

namespace mimosacroft::query
{

namespace
{

std::string dump(const nlohmann::json& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

upstream_result read_result(const nlohmann::json& in)
{
    upstream_result out;
    out.id = in.at("id").get<std::string>();
    out.shard = in.at("shard").get<std::string>();
    if (in.contains("epoch"))
        out.epoch = in.at("epoch").get<std::uint64_t>();
    out.status = base::value_of<upstream_status>(
                     in.at("status").get_ref<const std::string&>())
                     .value_or(upstream_status::error);
    if (in.contains("result"))
        out.payload = dump(in.at("result"));
    return out;
}

} // namespace

wire::http_request encode_subqueries(const std::vector<upstream_subquery>& in)
{
    auto list = nlohmann::json::array();
    for (const auto& it : in)
        list.push_back({{"id", it.id},
                        {"search", it.search},
                        {"epoch", it.epoch},
                        {"shard", it.shard},
                        {"deadline_ms", it.deadline_ms},
                        {"body", it.body}});
    wire::http_request out;
    out.method = "POST";
    out.path = "/v1/subqueries";
    out.headers["content-type"] = "application/json";
    out.body = dump({{"subqueries", std::move(list)}});
    return out;
}

base::result<upstream_reply> decode_reply(const std::string& body)
{
    try
    {
        const auto in = nlohmann::json::parse(body);
        upstream_reply out;
        out.incarnation = in.value("incarnation", "");
        out.leaving = in.value("leaving", false);
        if (in.contains("load"))
            out.load = in.at("load").get<double>();
        for (const auto& it : in.at("answers"))
            out.results.push_back(read_result(it));
        return out;
    }
    catch (const nlohmann::json::exception& ex)
    {
        return base::fail(base::error_code::invalid, base::step::receive, "",
                          ex.what());
    }
}

std::optional<upstream_refusal> decode_refusal(const wire::http_reply& reply)
{
    if (reply.status != wire::status_unavailable)
        return std::nullopt;
    try
    {
        const auto in = nlohmann::json::parse(reply.body);
        return upstream_refusal{in.at("refused").get<std::string>(),
                                in.value("incarnation", ""),
                                in.value("leaving", false)};
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

wire::http_request encode_cancel(const std::vector<std::string>& ids)
{
    wire::http_request out;
    out.method = "POST";
    out.path = "/v1/cancel";
    out.headers["content-type"] = "application/json";
    out.body = dump({{"ids", ids}});
    return out;
}

wire::http_request encode_health()
{
    wire::http_request out;
    out.method = "GET";
    out.path = "/v1/health";
    return out;
}

std::optional<upstream_health> decode_health(const wire::http_reply& reply)
{
    if (reply.status != wire::status_ok)
        return std::nullopt;
    try
    {
        const auto in = nlohmann::json::parse(reply.body);
        upstream_health out;
        out.incarnation = in.at("incarnation").get<std::string>();
        out.leaving = in.value("leaving", false);
        if (in.contains("load"))
            out.load = in.at("load").get<double>();
        return out;
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace mimosacroft::query
