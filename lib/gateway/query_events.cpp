// Log events of callers' requests.
#include "mimosacroft/gateway/query_events.hpp"

namespace mimosacroft::gateway
{

namespace
{

using base::instant;
using core::event_id;
using core::log_event;

constexpr unsigned status_ok = 200;
// Parts that were answered by their first send are left out. The first of the
// others are enough to explain a query over many shards.
constexpr std::size_t max_listed_parts = 12;

std::string elapsed_ms(const query& q, instant now)
{
    return std::to_string(base::to_ms(now - q.started));
}

std::string describe_send(const send_record& it)
{
    auto out = it.server_id + " sent " + std::to_string(it.sent.count()) + " ";
    if (it.outcome.empty())
        return out + "no answer";
    return out + it.outcome + " " + std::to_string(it.ended.count());
}

// Formats the sends as "service: server sent 0 503 not executed 4, ...;
// service: ...", with times in ms after the request's arrival.
std::string describe_sends(const query& q)
{
    std::string out;
    std::size_t listed = 0;
    for (const auto& p : q.parts)
    {
        const bool is_plain =
            p.state == part_state::done && p.sends.size() <= 1;
        const bool is_relayed_part = p.state == part_state::relayed;
        if ((is_plain || is_relayed_part) && q.parts.size() > 1)
            continue;
        if (++listed > max_listed_parts)
            return out + "; ...";
        out += (out.empty() ? "" : "; ") + p.service + ":";
        for (const auto& it : p.sends)
            out += " " + describe_send(it) + ",";
        if (p.sends.empty())
            out += " nothing sent,";
        out.pop_back();
    }
    return out;
}

log_event make_event(event_id id, const query& q, instant now)
{
    log_event out{id,
                  {{"request", q.request->id},
                   {"search", q.search->name},
                   {"version", std::to_string(q.version)},
                   {"ms", elapsed_ms(q, now)}}};
    if (!q.relay_outcome.empty())
        out.fields.emplace_back("relay", q.relay_outcome);
    return out;
}

log_event finish_event(const query& q, unsigned status, std::size_t missing,
                       instant now)
{
    const bool in_time = now - q.started <= q.search->latency_objective;
    const bool is_plain = status < 300 && missing == 0 && in_time;
    auto out = make_event(is_plain ? event_id::request_answered
                                   : event_id::request_incomplete,
                          q, now);
    out.fields.emplace_back("status", std::to_string(status));
    if (is_plain)
        return out;
    out.fields.emplace_back("missing", std::to_string(missing));
    out.fields.emplace_back("sends", describe_sends(q));
    return out;
}

} // namespace

log_event refusal_event(const caller_request& request, const refused& reply)
{
    log_event out{event_id::request_refused,
                  {{"request", request.id},
                   {"host", request.host},
                   {"reason", std::string(base::name_of(reply.why))}}};
    if (reply.retry_after)
        out.fields.emplace_back("retry_ms",
                                std::to_string(reply.retry_after->count()));
    return out;
}

log_event refusal_event(const query& q, const refused& reply, instant now)
{
    auto out = make_event(event_id::request_refused, q, now);
    out.fields.emplace_back("reason", base::name_of(reply.why));
    if (reply.retry_after)
        out.fields.emplace_back("retry_ms",
                                std::to_string(reply.retry_after->count()));
    out.fields.emplace_back("sends", describe_sends(q));
    return out;
}

log_event answer_event(const query& q, const merged& reply, instant now)
{
    return finish_event(q, status_ok, reply.missing, now);
}

log_event answer_event(const query& q, const server_reply& reply, instant now)
{
    return finish_event(q, reply.message.status, 0, now);
}

log_event caller_left_event(const query& q, instant now)
{
    auto out = make_event(event_id::caller_left, q, now);
    out.fields.emplace_back("sends", describe_sends(q));
    return out;
}

} // namespace mimosacroft::gateway
