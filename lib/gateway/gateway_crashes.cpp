// Requests under which servers end: how many servers one request may reach
// before any has answered it, and how one that is suspected is tried out.
#include "mimosacroft/gateway/gateway.hpp"

#include "gateway_detail.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace mimosacroft::gateway
{

namespace
{

using base::instant;
using core::event_id;

// A request gets no further server after this many have ended under it, unless
// others have answered it. Until one has answered, the sends without a result
// count as well, since these servers may end too.
constexpr std::size_t max_ended_servers = 3;
// Of a request that was answered, so many servers may end for each answer: they
// may have ended for another reason.
constexpr std::size_t max_ended_per_answer = 3;

std::string to_hex(std::uint64_t value)
{
    std::array<char, 17> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx",
                  static_cast<unsigned long long>(value));
    return buf.data();
}

core::log_event harmful_event(const query& q, std::uint64_t fingerprint,
                              crash_verdict verdict)
{
    return {event_id::request_harmful,
            {{"request", q.request->id},
             {"search", q.search->name},
             {"fingerprint", to_hex(fingerprint)},
             {"verdict", std::string(base::name_of(verdict))},
             {"ended", std::to_string(q.total_record().ended)}}};
}

core::log_event harmless_event(const query& q, std::uint64_t fingerprint)
{
    return {event_id::request_harmless,
            {{"request", q.request->id},
             {"search", q.search->name},
             {"fingerprint", to_hex(fingerprint)}}};
}

} // namespace

crash_verdict gateway::verdict_of(const query& q, instant now) const
{
    const bool is_proven = q.total_record().answered > 0;
    if (crashes_.empty() || is_proven)
        return crash_verdict::harmless;
    return crashes_.verdict(fingerprint_of(*q.request), now);
}

// Whether a part may be sent to one more server. Until the first answer, hedges
// go out one at a time: a request that is slow everywhere gains nothing from
// them, and one that ends its servers would end the other replicas as well.
bool gateway::may_risk_server(const query& q, const part& p, instant now) const
{
    const auto record = q.total_record();
    if (record.answered > 0)
        return record.ended < max_ended_servers ||
               record.ended <= record.answered * max_ended_per_answer;
    if (!q.is_probe && verdict_of(q, now) == crash_verdict::condemned)
        return false;
    if (record.ended > 0)
        return record.ended + q.open_sends < max_ended_servers;
    return p.in_flight.empty() || now >= q.next_early_hedge_at;
}

// For a part that may not be sent to one more server now.
void gateway::hold_or_fail_part(query& q, std::size_t part, instant now)
{
    q.parts[part].is_held = true;
    q.parts[part].hedge_at = now + hedge_retry_interval;
    fail_hopeless_parts(q, now);
}

// Fails the parts that are held if no result can come any more that would
// release them.
void gateway::fail_hopeless_parts(query& q, instant now)
{
    if (q.open_sends > 0 || q.relay_exchange != 0)
        return;
    for (std::size_t n = 0; n < q.parts.size(); ++n)
        if (q.parts[n].is_held && !may_risk_server(q, q.parts[n], now))
            fail_part(q, n);
}

// A server has run the request and lives.
void gateway::note_run(query& q, instant now, effects& out)
{
    for (auto& p : q.parts)
        if (std::exchange(p.is_held, false))
            p.hedge_at = now;
    if (crashes_.empty())
        return;
    const auto fingerprint = fingerprint_of(*q.request);
    if (crashes_.on_answered(fingerprint))
        out.events.push_back(harmless_event(q, fingerprint));
}

void gateway::note_server_ended(query& q, instant now, effects& out)
{
    ++q.record.ended;
    // The other servers may take long to end, and meanwhile the same request
    // may come to any VM.
    if (q.total_record().ended >= max_ended_servers)
        note_crashes(q, now, out);
}

// Called when a query is closed, at the latest.
void gateway::note_crashes(query& q, instant now, effects& out)
{
    const auto record = q.total_record();
    if (record.answered > 0 || record.ended == q.noted_ended)
        return;
    const auto fingerprint = fingerprint_of(*q.request);
    const auto count =
        record.ended - std::exchange(q.noted_ended, record.ended);
    const bool is_news =
        q.is_probe ? crashes_.on_probe_ended(fingerprint, now)
                   : crashes_.on_servers_ended(fingerprint, count, now);
    if (!is_news)
        return;
    out.events.push_back(
        harmful_event(q, fingerprint, crashes_.verdict(fingerprint, now)));
    // The caller may ask again at once, through any VM.
    tell_fleet(now, out);
}

// Sends one part of a suspected query, to a server that is likely to answer. If
// there is none, nothing is sent.
void gateway::start_probe(query& q, instant now, effects& out)
{
    if (!q.has_time(now))
        return;
    const auto expected = expected_latency(*q.search);
    const auto offset = static_cast<std::size_t>(
        random_fraction() * static_cast<double>(q.parts.size()));
    for (std::size_t n = 0; n < q.parts.size(); ++n)
    {
        const auto at = (offset + n) % q.parts.size();
        const auto& p = q.parts[at];
        if (p.state != part_state::waiting || !p.sends.empty())
            continue;
        auto* to = choose_server(q, p, now);
        if (!to || estimate_latency(*to, expected, now) >= unlikely_estimate)
            continue;
        budgets_[p.service].on_request(now);
        send_to(q, at, *to, now, out);
        return;
    }
}

// Returns whether the query goes on like others, because a server has answered
// it. Else it still waits for its probe, or was answered here.
bool gateway::advance_probe(query& q, instant now, effects& out)
{
    const auto record = q.total_record();
    if (record.answered > 0)
    {
        q.is_probe = false;
        send_query(q, now, out);
        return true;
    }
    const auto is_open = [](const part& p)
    { return p.state == part_state::open; };
    if (record.ended == 0 && std::ranges::none_of(q.parts, is_open))
        start_probe(q, now, out);
    if (record.ended > 0 || std::ranges::none_of(q.parts, is_open))
        answer_failed(q, now, out);
    else
        schedule_timer(q);
    return false;
}

} // namespace mimosacroft::gateway
