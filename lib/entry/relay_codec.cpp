// Encodes and decodes relayed requests and their answers.
#include "mimosacroft/entry/relay_codec.hpp"

#include "mimosacroft/entry/msgpack_body.hpp"

#include <cstdint>
#include <utility>
#include <vector>

namespace mimosacroft::entry
{

namespace
{

using base::milliseconds;

constexpr unsigned status_ok = 200;

enum class answer_kind : std::uint8_t
{
    declined,
    merged,
    refused
};

struct relay_message
{
    std::uint64_t version = 0;
    std::vector<std::uint32_t> shards;
    std::int64_t answer_within_ms = 0;
    std::int64_t time_left_ms = 0;
    std::string id;
    std::string host;
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    MSGPACK_DEFINE(version, shards, answer_within_ms, time_left_ms, id, host,
                   method, target, headers, body)
};

struct answer_message
{
    std::uint8_t kind = 0;
    std::uint8_t reason = 0; ///< a gateway::refusal, if refused
    std::uint64_t missing = 0;
    std::vector<std::string> signatures;
    std::vector<std::uint32_t> shards;
    std::string records;

    MSGPACK_DEFINE(kind, reason, missing, signatures, shards, records)
};

answer_message to_message(const gateway::answer& answer)
{
    answer_message out;
    if (const auto* merged = std::get_if<gateway::merged>(&answer))
    {
        out.kind = static_cast<std::uint8_t>(answer_kind::merged);
        out.missing = merged->missing;
        out.signatures = merged->signatures;
        out.shards = merged->shards;
        out.records = merged->records;
    }
    else if (const auto* refused = std::get_if<gateway::refused>(&answer))
    {
        out.kind = static_cast<std::uint8_t>(answer_kind::refused);
        out.reason = static_cast<std::uint8_t>(refused->why);
    }
    return out;
}

} // namespace

http::request encode_relay(const gateway::relay_effect& effect)
{
    relay_message out;
    out.version = effect.version;
    out.shards = effect.shards;
    out.answer_within_ms = effect.answer_within.count();
    out.time_left_ms = effect.time_left.count();
    out.id = effect.request->id;
    out.host = effect.request->host;
    out.method = effect.request->message.method;
    out.target = effect.request->message.target;
    for (const auto& header : effect.request->message.headers)
        out.headers.emplace_back(header.name, header.value);
    out.body = effect.request->message.body;

    http::request message;
    message.method = "POST";
    message.target = relay_path;
    message.headers.push_back({"Host", effect.address});
    message.body = pack(out);
    return message;
}

base::result<gateway::relayed_request>
decode_relay(const http::request& message)
{
    auto in = unpack<relay_message>(message.body);
    if (!in)
        return tl::unexpected(in.error());
    gateway::relayed_request out;
    out.version = in->version;
    out.shards = std::move(in->shards);
    out.answer_within = milliseconds(in->answer_within_ms);
    out.request.id = std::move(in->id);
    out.request.host = std::move(in->host);
    out.request.deadline = milliseconds(in->time_left_ms);
    out.request.message.method = std::move(in->method);
    out.request.message.target = std::move(in->target);
    for (auto& [name, value] : in->headers)
        out.request.message.headers.push_back(
            {std::move(name), std::move(value)});
    out.request.message.body = std::move(in->body);
    return out;
}

http::response encode_relay_answer(const gateway::answer& answer)
{
    http::response out;
    out.status = status_ok;
    out.body = pack(to_message(answer));
    return out;
}

base::result<gateway::answer> decode_relay_answer(const http::response& message)
{
    if (message.status != status_ok)
        return base::fail(base::error_code::invalid, base::step::forward, "vm",
                          "expected HTTP status 200, got " +
                              std::to_string(message.status));
    auto in = unpack<answer_message>(message.body);
    if (!in)
        return tl::unexpected(in.error());
    switch (static_cast<answer_kind>(in->kind))
    {
    case answer_kind::declined:
        return gateway::answer(gateway::declined{});
    case answer_kind::merged:
        return gateway::answer(
            gateway::merged{std::move(in->signatures), std::move(in->shards),
                            in->missing, std::move(in->records)});
    case answer_kind::refused:
        break;
    }
    const auto reason = base::value_at<gateway::refusal>(in->reason);
    return gateway::answer(gateway::refused{
        reason.value_or(gateway::refusal::failed), std::nullopt});
}

} // namespace mimosacroft::entry
