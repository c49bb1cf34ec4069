// Encodes and decodes the calls with which entry VMs read the store's objects
// from each other.
#include "mimosacroft/entry/spread_codec.hpp"

#include "mimosacroft/entry/msgpack_body.hpp"

#include <cstdint>
#include <vector>

namespace mimosacroft::entry
{

namespace
{

using base::milliseconds;

constexpr auto objects_path = "/v1/objects";
constexpr unsigned status_ok = 200;
constexpr unsigned status_gone = 410;
constexpr unsigned status_unavailable = 503;

struct request_message
{
    std::string kind;
    bool is_watch = false;
    std::uint64_t revision = 0;
    std::int64_t wait_ms = 0;
    std::uint64_t era = 0;

    MSGPACK_DEFINE(kind, is_watch, revision, wait_ms, era)
};

struct change_message
{
    std::string name;
    std::string content;
    bool deleted = false;

    MSGPACK_DEFINE(name, content, deleted)
};

struct answer_message
{
    std::vector<change_message> changes;
    std::uint64_t revision = 0;
    std::int64_t age_ms = 0;
    std::uint64_t era = 0;

    MSGPACK_DEFINE(changes, revision, age_ms, era)
};

http::response empty_response(unsigned status)
{
    http::response out;
    out.status = status;
    return out;
}

} // namespace

http::request encode_spread_request(const spread_request& request,
                                    const std::string& address)
{
    request_message message;
    message.kind = request.kind;
    message.is_watch = request.call.step == gateway::follow_step::watch;
    message.revision = request.call.position.revision;
    message.era = request.call.position.era;
    message.wait_ms = request.call.watch_timeout.count();
    http::request out;
    out.method = "POST";
    out.target = objects_path;
    out.headers.push_back({"Host", address});
    out.body = pack(message);
    return out;
}

std::optional<spread_request>
decode_spread_request(const http::request& message)
{
    if (message.target != objects_path)
        return std::nullopt;
    const auto in = unpack<request_message>(message.body);
    if (!in)
        return std::nullopt;
    spread_request out;
    out.kind = in->kind;
    out.call.step =
        in->is_watch ? gateway::follow_step::watch : gateway::follow_step::list;
    out.call.position = {in->era, in->revision};
    out.call.watch_timeout = milliseconds(in->wait_ms);
    return out;
}

http::response encode_spread_answer(const spread_answer& answer)
{
    answer_message message;
    for (const auto& change : answer.batch.changes)
        message.changes.push_back(
            {change.name, change.content, change.deleted});
    message.revision = answer.batch.position.revision;
    message.era = answer.batch.position.era;
    message.age_ms = answer.age.count();
    auto out = empty_response(status_ok);
    out.body = pack(message);
    return out;
}

http::response encode_spread_history_gone()
{
    return empty_response(status_gone);
}

http::response encode_spread_unavailable()
{
    return empty_response(status_unavailable);
}

base::result<spread_answer> decode_spread_answer(const http::response& message)
{
    const auto failure = [](base::error_code code, const char* text)
    { return base::fail(code, base::step::spread, "vm", text); };
    if (message.status == status_gone)
        return failure(
            base::error_code::not_found,
            "the other VM has no history back to the requested revision");
    if (message.status != status_ok)
        return failure(base::error_code::unavailable,
                       "the other VM has incomplete or outdated objects");
    auto in = unpack<answer_message>(message.body);
    if (!in)
        return tl::unexpected(in.error());
    spread_answer out;
    for (auto& change : in->changes)
        out.batch.changes.push_back({std::move(change.name),
                                     std::move(change.content),
                                     change.deleted});
    out.batch.position = {in->era, in->revision};
    out.age = milliseconds(in->age_ms);
    return out;
}

} // namespace mimosacroft::entry
