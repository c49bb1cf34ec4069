// The JSON of a claim.
#include "mimosacroft/query/claim_codec.hpp"

#include <nlohmann/json.hpp>

namespace mimosacroft::query
{

namespace
{

using nlohmann::json;

template <typename T, typename Fn>
base::result<T> guarded(const std::string& text, Fn read)
{
    try
    {
        return read(json::parse(text));
    }
    catch (const json::exception& ex)
    {
        return base::fail(base::error_code::invalid, base::step::claim,
                          "platform", ex.what());
    }
}

json to_json(const search_answer& in)
{
    auto included = json::array();
    for (const auto& it : in.included)
        included.push_back({{"shard", it.name}, {"payload", it.payload}});
    auto lacking = json::array();
    for (const auto& it : in.lacking)
        lacking.push_back({{"shard", it.name},
                           {"reason", base::name_of(it.reason)},
                           {"maybe_run", it.maybe_run}});
    return {{"outcome", base::name_of(in.outcome)},
            {"error", in.error},
            {"epoch", in.epoch},
            {"included", std::move(included)},
            {"lacking", std::move(lacking)},
            {"least_coverage", in.least_coverage},
            {"extra_attempts", in.extra_attempts}};
}

search_answer answer_from(const json& in)
{
    search_answer out;
    out.outcome =
        base::value_of<model::outcome>(in.at("outcome").get<std::string>())
            .value_or(model::outcome::unknown);
    out.error = in.at("error").get<std::string>();
    out.epoch = in.at("epoch").get<std::uint64_t>();
    out.least_coverage = in.at("least_coverage").get<double>();
    out.extra_attempts = in.at("extra_attempts").get<std::uint32_t>();
    for (const auto& it : in.at("included"))
        out.included.push_back({it.at("shard").get<std::string>(),
                                it.at("payload").get<std::string>()});
    for (const auto& it : in.at("lacking"))
        out.lacking.push_back({it.at("shard").get<std::string>(),
                               base::value_of<model::lack_reason>(
                                   it.at("reason").get<std::string>())
                                   .value_or(model::lack_reason::failed),
                               it.at("maybe_run").get<bool>()});
    return out;
}

stored_claim claim_from(const json& object)
{
    const auto& value = object.at("value");
    stored_claim out;
    out.version = object.at("version").get<std::uint64_t>();
    out.record.vm = value.at("vm").get<std::string>();
    out.record.incarnation = value.at("incarnation").get<std::uint64_t>();
    out.record.nonce = value.at("nonce").get<std::string>();
    out.record.fingerprint = value.at("fingerprint").get<std::string>();
    out.record.created_s = value.at("created_s").get<std::int64_t>();
    out.record.done = value.at("done").get<bool>();
    if (value.contains("answer"))
        out.record.answer = answer_from(value.at("answer"));
    return out;
}

} // namespace

std::string encode_claim(const claim_record& record)
{
    json out = {{"vm", record.vm},
                {"incarnation", record.incarnation},
                {"nonce", record.nonce},
                {"fingerprint", record.fingerprint},
                {"created_s", record.created_s},
                {"done", record.done}};
    if (record.answer)
        out["answer"] = to_json(*record.answer);
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

base::result<stored_claim> decode_claim(const std::string& object)
{
    return guarded<stored_claim>(object, claim_from);
}

base::result<stored_claim> decode_conflict(const std::string& reply)
{
    return guarded<stored_claim>(reply, [](const json& in)
                                 { return claim_from(in.at("object")); });
}

base::result<std::uint64_t> decode_version(const std::string& reply)
{
    return guarded<std::uint64_t>(
        reply,
        [](const json& in) { return in.at("version").get<std::uint64_t>(); });
}

} // namespace mimosacroft::query
