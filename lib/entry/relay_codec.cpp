// Encodes and decodes relayed requests and their answers.
#include "mimosacroft/entry/relay_codec.hpp"

#include "mimosacroft/entry/msgpack_body.hpp"

#include <cstdint>
#include <ranges>
#include <utility>
#include <vector>

namespace mimosacroft::entry
{

namespace
{

using base::milliseconds;

constexpr unsigned status_ok = 200;
constexpr auto news_path = "/v1/news";

enum class answer_kind : std::uint8_t
{
    declined,
    merged,
    refused
};

struct server_record
{
    std::string id;
    std::int64_t started_at = 0;

    MSGPACK_DEFINE(id, started_at)
};

struct crash_record
{
    std::uint64_t fingerprint = 0;
    std::int64_t condemned_for_ms = 0;
    std::int64_t age_ms = 0;

    MSGPACK_DEFINE(fingerprint, condemned_for_ms, age_ms)
};

// What a VM adds to each message for another one.
struct side_message
{
    std::uint64_t answered = 0;
    std::uint64_t ended = 0;
    std::vector<server_record> leaving;
    std::vector<crash_record> crashes;

    MSGPACK_DEFINE(answered, ended, leaving, crashes)
};

struct packed_news
{
    bool pass_on = false;
    side_message side;

    MSGPACK_DEFINE(pass_on, side)
};

struct relay_message
{
    std::uint64_t version = 0;
    std::vector<std::uint32_t> shards;
    std::vector<std::vector<gateway::server_tag>> servers;
    std::int64_t answer_within_ms = 0;
    std::int64_t time_left_ms = 0;
    std::string id;
    std::string host;
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    side_message side;

    MSGPACK_DEFINE(version, shards, servers, answer_within_ms, time_left_ms, id,
                   host, method, target, headers, body, side)
};

struct answer_message
{
    std::uint8_t kind = 0;
    std::uint8_t reason = 0; ///< a gateway::refusal, if refused
    std::uint64_t missing = 0;
    std::vector<std::string> signatures;
    std::vector<std::uint32_t> shards;
    std::string records;
    side_message side;

    MSGPACK_DEFINE(kind, reason, missing, signatures, shards, records, side)
};

side_message to_message(const gateway::run_record& record,
                        const gateway::fleet_news& news)
{
    side_message out{record.answered, record.ended, {}, {}};
    for (const auto& it : news.leaving)
        out.leaving.push_back({it.id, it.started_at});
    for (const auto& it : news.crashes)
        out.crashes.push_back(
            {it.fingerprint, it.condemned_for.count(), it.age.count()});
    return out;
}

gateway::run_record record_of(const side_message& in)
{
    return {in.answered, in.ended};
}

// Takes no more than a VM sends.
gateway::fleet_news news_of(const side_message& in)
{
    constexpr std::size_t max_news = 16;
    gateway::fleet_news out;
    for (const auto& it : in.leaving | std::views::take(max_news))
        out.leaving.push_back({it.id, it.started_at});
    for (const auto& it : in.crashes | std::views::take(max_news))
        out.crashes.push_back({it.fingerprint,
                               milliseconds(it.condemned_for_ms),
                               milliseconds(it.age_ms)});
    return out;
}

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

gateway::answer reply_of(answer_message&& in)
{
    switch (static_cast<answer_kind>(in.kind))
    {
    case answer_kind::declined:
        return gateway::declined{};
    case answer_kind::merged:
        return gateway::merged{std::move(in.signatures), std::move(in.shards),
                               in.missing, std::move(in.records)};
    case answer_kind::refused:
        break;
    }
    const auto reason = base::value_at<gateway::refusal>(in.reason);
    return gateway::refused{reason.value_or(gateway::refusal::failed),
                            std::nullopt};
}

} // namespace

http::request encode_relay(const gateway::relay_effect& effect)
{
    relay_message out;
    out.version = effect.version;
    out.shards = effect.shards;
    out.servers = effect.servers;
    out.answer_within_ms = effect.answer_within.count();
    out.time_left_ms = effect.time_left.count();
    out.id = effect.request->id;
    out.host = effect.request->host;
    out.method = effect.request->message.method;
    out.target = effect.request->message.target;
    for (const auto& header : effect.request->message.headers)
        out.headers.emplace_back(header.name, header.value);
    out.body = effect.request->message.body;
    out.side = to_message(effect.record, effect.news);

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
    out.servers = std::move(in->servers);
    out.record = record_of(in->side);
    out.news = news_of(in->side);
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

http::request encode_news(const gateway::news_effect& effect)
{
    http::request out;
    out.method = "POST";
    out.target = news_path;
    out.headers.push_back({"Host", effect.address});
    out.body = pack(packed_news{effect.pass_on, to_message({}, effect.news)});
    return out;
}

std::optional<news_message> decode_news(const http::request& message)
{
    if (message.target != news_path)
        return std::nullopt;
    const auto in = unpack<packed_news>(message.body);
    if (!in)
        return news_message{};
    return news_message{news_of(in->side), in->pass_on};
}

http::response encode_relay_answer(const gateway::relayed_answer& answer)
{
    http::response out;
    out.status = status_ok;
    auto message = to_message(answer.reply);
    message.side = to_message(answer.record, answer.news);
    out.body = pack(message);
    return out;
}

base::result<gateway::relayed_answer>
decode_relay_answer(const http::response& message)
{
    if (message.status != status_ok)
        return base::fail(base::error_code::invalid, base::step::forward, "vm",
                          "expected HTTP status 200, got " +
                              std::to_string(message.status));
    auto in = unpack<answer_message>(message.body);
    if (!in)
        return tl::unexpected(in.error());
    const auto side = std::move(in->side);
    return gateway::relayed_answer{reply_of(std::move(*in)), record_of(side),
                                   news_of(side)};
}

} // namespace mimosacroft::entry
