// The log lines about callers' requests.
#include "mimosacroft/gateway/query_events.hpp"

namespace mimosacroft::gateway
{

namespace
{

using base::instant;
using core::event_id;
using core::log_event;

constexpr unsigned status_ok = 200;
// Parts that went well say nothing; of those that did not, the first tell
// enough of a query over many shards.
constexpr std::size_t most_listed_parts = 12;

std::string age_of(const query& q, instant now)
{
    return std::to_string(base::to_ms(now - q.started));
}

std::string to_text(const send_record& it)
{
    auto out = it.server_id + " sent " + std::to_string(it.sent.count()) + " ";
    if (it.outcome.empty())
        return out + "no answer";
    return out + it.outcome + " " + std::to_string(it.ended.count());
}

// "service: server sent 0 503 not executed 4, ...; service: ..." with times in
// ms after the request's arrival.
std::string sends_of(const query& q)
{
    std::string out;
    std::size_t listed = 0;
    for (const auto& p : q.parts)
    {
        const bool plain = p.state == part_state::done && p.sends.size() <= 1;
        const bool elsewhere = p.state == part_state::relayed;
        if ((plain || elsewhere) && q.parts.size() > 1)
            continue;
        if (++listed > most_listed_parts)
            return out + "; ...";
        out += (out.empty() ? "" : "; ") + p.service + ":";
        for (const auto& it : p.sends)
            out += " " + to_text(it) + ",";
        if (p.sends.empty())
            out += " nothing sent,";
        out.pop_back();
    }
    return out;
}

log_event event_of(event_id id, const query& q, instant now)
{
    log_event out{id,
                  {{"request", q.request->id},
                   {"search", q.search->name},
                   {"version", std::to_string(q.version)},
                   {"ms", age_of(q, now)}}};
    if (!q.relay_outcome.empty())
        out.fields.emplace_back("relay", q.relay_outcome);
    return out;
}

log_event finished(const query& q, unsigned status, std::size_t missing,
                   instant now)
{
    const bool in_time = now - q.started <= q.search->objective;
    const bool plain = status < 300 && missing == 0 && in_time;
    auto out = event_of(plain ? event_id::request_answered
                              : event_id::request_incomplete,
                        q, now);
    out.fields.emplace_back("status", std::to_string(status));
    if (plain)
        return out;
    out.fields.emplace_back("missing", std::to_string(missing));
    out.fields.emplace_back("sends", sends_of(q));
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
    auto out = event_of(event_id::request_refused, q, now);
    out.fields.emplace_back("reason", base::name_of(reply.why));
    if (reply.retry_after)
        out.fields.emplace_back("retry_ms",
                                std::to_string(reply.retry_after->count()));
    out.fields.emplace_back("sends", sends_of(q));
    return out;
}

log_event answer_event(const query& q, const merged& reply, instant now)
{
    return finished(q, status_ok, reply.missing, now);
}

log_event answer_event(const query& q, const server_reply& reply, instant now)
{
    return finished(q, reply.message.status, 0, now);
}

log_event leave_event(const query& q, instant now)
{
    auto out = event_of(event_id::caller_left, q, now);
    out.fields.emplace_back("sends", sends_of(q));
    return out;
}

} // namespace mimosacroft::gateway
