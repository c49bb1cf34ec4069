// Sends to servers and their results.
#include "mimosacroft/gateway/gateway.hpp"

#include "gateway_detail.hpp"

#include <algorithm>
#include <iterator>

namespace mimosacroft::gateway
{

namespace
{

using base::duration;
using base::instant;
using base::milliseconds;

// A server that has owed an answer for this long counts as failed when one of
// its exchanges expires.
constexpr milliseconds silence_timeout{500};
constexpr unsigned first_server_error = 500;
// A server that failed this often in a row is logged as ejected, once.
constexpr unsigned ejection_event_failures = 2;

// The outcome of a send, for the log.
std::string describe_reply(const server_reply& reply)
{
    if (reply.misdirected)
        return "misdirected";
    auto out = std::to_string(reply.message.status);
    if (!reply.executed)
        out += " not executed";
    else if (reply.signature.empty())
        out += " unsigned";
    return out;
}

core::log_event returned_event(const server& it)
{
    return {core::event_id::server_returned,
            {{"peer", it.entry.id}, {"failures", std::to_string(it.failures)}}};
}

core::log_event ejected_event(const server& it)
{
    return {core::event_id::server_ejected,
            {{"peer", it.entry.id},
             {"upstream", it.entry.service},
             {"failures", std::to_string(it.failures)}}};
}

} // namespace

void gateway::send_part(query& q, std::size_t part, instant now, effects& out)
{
    auto& p = q.parts[part];
    if (!q.has_time(now) || !servers_.has_live(p.service))
    {
        fail_part(q, part);
        return;
    }
    if (auto* to = choose_server(q, p, now))
        send_to(q, part, *to, now, out);
    else if (is_any_permitted(q, p, now))
        enqueue_part(q, part);
    else
        fail_part(q, part);
}

void gateway::enqueue_part(const query& q, std::size_t part)
{
    waiting_[q.parts[part].service].emplace(
        wait_key{q.search->priority, q.give_up_at}, waiter{q.number, part});
}

void gateway::remove_waiters(const query& q)
{
    for (const auto& p : q.parts)
    {
        if (p.state != part_state::waiting)
            continue;
        const auto queue = waiting_.find(p.service);
        if (queue == waiting_.end())
            continue;
        std::erase_if(queue->second, [&q](const auto& it)
                      { return it.second.query == q.number; });
        if (queue->second.empty())
            waiting_.erase(queue);
    }
}

void gateway::send_to(query& q, std::size_t part, server& to, instant now,
                      effects& out)
{
    auto& p = q.parts[part];
    const auto number = ++last_exchange_;
    ++sends_;
    exchange it;
    it.query = q.number;
    it.part = part;
    it.to = to.number;
    it.sent_at = now;
    it.cancel_at = q.give_up_at + cancel_margin;
    it.expected = expected_latency(*q.search);
    it.search = q.search->name;
    cancel_timers_.emplace(it.cancel_at, number);
    exchanges_.emplace(number, std::move(it));
    if (to.limit)
        ++(p.attempts_used == 0 ? limited_sends_.first : limited_sends_.again);
    servers_.on_sent(to, now);

    p.state = part_state::open;
    p.is_held = false;
    p.in_flight.push_back(number);
    ++q.open_sends;
    p.tried_servers.push_back(to.number);
    std::vector<exchange_number> earlier;
    std::ranges::transform(p.sends, std::back_inserter(earlier),
                           &send_record::number);
    p.sends.push_back(
        {number,
         to.entry.id,
         std::chrono::duration_cast<milliseconds>(now - q.started),
         {},
         {}});
    ++p.attempts_used;
    q.ever_sent = true;
    const bool is_single_probe = q.is_probe && !q.search->is_scattered();
    const bool may_hedge = options_.use.hedging && q.search->is_idempotent() &&
                           !is_single_probe &&
                           p.attempts_used < q.search->max_attempts;
    p.hedge_at = may_hedge ? now + hedge_delay(q, p, to, now) : base::never;
    const auto left =
        std::chrono::duration_cast<milliseconds>(q.give_up_at - now);
    out.sends.push_back(
        {number, to.entry.address, to.entry.id, std::max(left, milliseconds(1)),
         q.search->is_idempotent(), std::move(earlier), q.request});
}

// Sends a part again: as a hedge if a send is in flight, else as a retry. Sets
// a timer for the next try if there is no suitable server or no budget. Fails a
// part that is late already and that the servers' limits still don't allow.
void gateway::send_again(query& q, std::size_t part, instant now, effects& out)
{
    auto& p = q.parts[part];
    p.hedge_at = base::never;
    if (p.state == part_state::done || p.state == part_state::failed ||
        p.attempts_used >= q.search->max_attempts)
        return;
    if (!q.has_time(now))
    {
        if (p.in_flight.empty())
            fail_part(q, part);
        return;
    }
    if (!may_risk_server(q, p, now))
    {
        hold_or_fail_part(q, part, now);
        return;
    }
    auto* to = choose_server(q, p, now);
    const bool worthwhile = to && !is_exhausted(p, *to, now) &&
                            (p.in_flight.empty() ||
                             estimate_latency(*to, expected_latency(*q.search),
                                              now) < unlikely_estimate);
    if (worthwhile &&
        (p.attempts_used == 0 || spend_extra_budget(p.service, now)))
    {
        hedges_ += p.attempts_used > 0 ? 1 : 0;
        if (!p.in_flight.empty() && q.total_record().answered == 0)
            q.next_early_hedge_at = now + hedge_delay(q, p, *to, now);
        send_to(q, part, *to, now, out);
        return;
    }
    const auto wait_until = q.search->is_scattered()
                                ? q.answer_by
                                : q.started + q.search->latency_objective;
    const bool is_hopeless =
        (now >= wait_until && !is_any_permitted(q, p, now)) ||
        pause_end(p, now) > std::max(now, wait_until);
    if (p.in_flight.empty() && is_hopeless)
        fail_part(q, part);
    else
        p.hedge_at = now + hedge_retry_interval;
}

void gateway::send_waiting(const std::string& service, instant now,
                           effects& out)
{
    // A query that is answered here removes its other parts from the queue, so
    // the queue is looked up again for each part.
    for (auto queue = waiting_.find(service); queue != waiting_.end();
         queue = waiting_.find(service))
    {
        const auto first = queue->second.begin();
        const auto next = first->second;
        auto& q = queries_.at(next.query);
        auto& p = q.parts[next.part];
        auto* to = q.has_time(now) ? choose_server(q, p, now) : nullptr;
        if (!to && q.has_time(now) && is_any_permitted(q, p, now))
            return;
        queue->second.erase(first);
        if (queue->second.empty())
            waiting_.erase(queue);
        if (!to)
            fail_part(q, next.part);
        else if (may_risk_server(q, p, now))
            send_to(q, next.part, *to, now, out);
        else
            hold_or_fail_part(q, next.part, now);
        answer_if_ready(q, now, out);
    }
}

gateway::exchange gateway::remove_exchange(exchange_number number)
{
    const auto found = exchanges_.find(number);
    auto out = std::move(found->second);
    cancel_timers_.erase({out.cancel_at, number});
    exchanges_.erase(found);
    return out;
}

query* gateway::record_outcome(exchange_number number, const exchange& it,
                               std::string_view outcome, instant now)
{
    const auto found = queries_.find(it.query);
    if (found == queries_.end())
        return nullptr;
    auto& p = found->second.parts[it.part];
    if (std::erase(p.in_flight, number) > 0)
        --found->second.open_sends;
    const auto record =
        std::ranges::find(p.sends, number, &send_record::number);
    if (record != p.sends.end())
    {
        record->outcome = outcome;
        record->ended = std::chrono::duration_cast<milliseconds>(
            now - found->second.started);
    }
    return &found->second;
}

void gateway::on_sent(exchange_number number)
{
    const auto found = exchanges_.find(number);
    if (found != exchanges_.end())
        found->second.written = true;
}

void gateway::on_reply(exchange_number number, server_reply&& reply,
                       instant now, effects& out)
{
    if (!exchanges_.contains(number))
        return;
    const auto it = remove_exchange(number);
    auto* q = record_outcome(number, it, describe_reply(reply), now);
    std::string service;
    if (auto* from = servers_.find(it.to))
    {
        service = from->entry.service;
        if (!reply.misdirected)
            note_statements(*from, reply, it.sent_at, now, out);
        if (reply.misdirected)
            servers_.forget(it.to);
        else if (!reply.executed)
            servers_.on_refused(*from, it.sent_at, now, reply.load);
        else if (reply.message.status >= first_server_error)
            servers_.on_failure(*from, it.sent_at, now);
        else
        {
            if (from->failures >= ejection_event_failures)
                out.events.push_back(returned_event(*from));
            latency_added_at_[it.search] = now;
            latencies_[it.search].add(
                now - it.sent_at -
                server_pool::round_trip(from->network_distance));
            servers_.on_reply(*from, it.sent_at, now, it.expected, reply.load);
        }
    }
    if (q)
    {
        auto& p = q->parts[it.part];
        const bool good =
            reply.executed && reply.is_success() && !reply.signature.empty();
        const bool final_status =
            reply.executed && !q->search->is_scattered() &&
            reply.message.status < first_server_error && !reply.is_success();
        p.may_have_run = p.may_have_run || reply.executed;
        if (reply.executed && ++q->record.answered == 1)
            note_run(*q, now, out);
        if (good || final_status)
            complete_part(*q, it.part, std::move(reply), now, out);
        else
        {
            // A late failure must not replace another server's answer.
            const bool is_open = p.state != part_state::done;
            if (is_open && reply.executed && !reply.is_success())
            {
                p.reply = std::move(reply);
                p.has_reply = true;
            }
            retry_or_fail_part(*q, it.part, now, out);
        }
    }
    send_waiting(service, now, out);
}

void gateway::on_failure(exchange_number number, send_failure why, instant now,
                         effects& out)
{
    const auto found = exchanges_.find(number);
    if (found == exchanges_.end())
        return;
    if (!found->second.relay_vm.empty())
    {
        on_relay_failure(number, why, now, out);
        return;
    }
    const auto it = remove_exchange(number);
    std::string service;
    if (auto* to = servers_.find(it.to))
    {
        service = to->entry.service;
        servers_.on_failure(*to, it.sent_at, now);
        if (to->failures == ejection_event_failures)
            out.events.push_back(ejected_event(*to));
    }
    if (auto* q = record_outcome(number, it, base::name_of(why), now))
    {
        auto& p = q->parts[it.part];
        if (why == send_failure::not_sent)
            --p.attempts_used;
        else
            p.may_have_run = true;
        if (why == send_failure::lost)
            note_server_ended(*q, now, out);
        retry_or_fail_part(*q, it.part, now, out);
    }
    send_waiting(service, now, out);
}

void gateway::expire_exchange(exchange_number number, instant now, effects& out)
{
    out.cancel(number);
    if (!exchanges_.at(number).relay_vm.empty())
    {
        on_relay_failure(number, send_failure::lost, now, out);
        return;
    }
    const auto it = remove_exchange(number);
    std::string service;
    if (auto* to = servers_.find(it.to))
    {
        service = to->entry.service;
        if (to->silence(now) >= silence_timeout)
        {
            servers_.on_failure(*to, it.sent_at, now);
            if (to->failures == ejection_event_failures)
                out.events.push_back(ejected_event(*to));
        }
        else
            servers_.on_canceled(*to, it.sent_at);
    }
    if (auto* q = record_outcome(number, it, "silent", now))
    {
        q->parts[it.part].may_have_run =
            q->parts[it.part].may_have_run || it.written;
        retry_or_fail_part(*q, it.part, now, out);
    }
    send_waiting(service, now, out);
}

void gateway::complete_part(query& q, std::size_t part, server_reply&& reply,
                            instant now, effects& out)
{
    auto& p = q.parts[part];
    if (p.state == part_state::done || p.state == part_state::failed)
        return;
    p.state = part_state::done;
    p.hedge_at = base::never;
    p.is_held = false;
    p.reply = std::move(reply);
    p.has_reply = true;
    ++q.done;
    answer_if_ready(q, now, out);
}

bool gateway::may_retry(const query& q, const part& p) const
{
    const bool is_failed_probe = q.is_probe && q.record.ended > 0;
    return (q.search->is_idempotent() || !p.may_have_run) && !is_failed_probe &&
           p.attempts_used < q.search->max_attempts;
}

void gateway::fail_part(query& q, std::size_t part)
{
    auto& p = q.parts[part];
    p.state = part_state::failed;
    p.hedge_at = base::never;
    p.is_held = false;
    ++q.failed;
}

void gateway::retry_or_fail_part(query& q, std::size_t part, instant now,
                                 effects& out)
{
    auto& p = q.parts[part];
    if (p.state == part_state::done || p.state == part_state::failed)
        return;
    if (!p.in_flight.empty())
        return;
    if (may_retry(q, p))
        send_again(q, part, now, out);
    else
    {
        fail_part(q, part);
        fail_hopeless_parts(q, now);
    }
    answer_if_ready(q, now, out);
}

} // namespace mimosacroft::gateway
