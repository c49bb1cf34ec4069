// Start of queries, their answers, and timers.
#include "mimosacroft/gateway/gateway.hpp"

#include "mimosacroft/gateway/merge.hpp"
#include "mimosacroft/gateway/query_events.hpp"

#include <algorithm>
#include <array>

namespace mimosacroft::gateway
{

namespace
{

using base::duration;
using base::instant;
using base::milliseconds;

// Work for a caller that disconnected must end within half a second. A server
// that is about to answer may do so until then, because its connection can only
// be reused after the answer.
constexpr milliseconds caller_left_grace{300};

// An unsent request is refused after the objective divided by this, because a
// new attempt of the caller may then still be in time.
constexpr int unsent_refusal_divisor = 4;

// Callers take these statuses as a promise that the request has not run and
// will not run. A server that sends one without stating that it did no work may
// have run the request.
bool implies_not_run(unsigned status)
{
    static constexpr auto all = std::to_array<unsigned>({408, 421, 429, 503});
    return std::ranges::find(all, status) != all.end();
}

} // namespace

gateway::gateway(gateway_options options)
    : options_(std::move(options)),
      servers_(options_.data_centre, options_.regions, options_.seed),
      random_(options_.seed)
{
}

bool gateway::apply(catalog_ptr next)
{
    if (catalog_ && next->version() <= catalog_->version())
        return false;
    catalog_ = std::move(next);
    // Configurations may name other searches each time.
    const auto is_gone = [this](const auto& item)
    { return !catalog_->has_search(item.first); };
    std::erase_if(latencies_, is_gone);
    std::erase_if(latency_added_at_, is_gone);
    std::erase_if(relay_latencies_, is_gone);
    std::erase_if(max_deadlines_, is_gone);
    return true;
}

void gateway::remove_server(const std::string& id, instant now, duration hold)
{
    servers_.remove(id, now, hold);
    forget_servers_at_ = std::min(forget_servers_at_, now + hold);
}

void gateway::set_fleet(const std::vector<vm_entry>& others, std::size_t size,
                        const std::vector<vm_entry>& departed)
{
    relays_.set_vms(others);
    fleet_size_ = std::max<std::size_t>(size, 1);
    fleet_counts counts;
    counts.by_data_centre[options_.data_centre] = 1;
    for (const auto* vms : {&others, &departed})
        for (const auto& it : *vms)
            ++counts.by_data_centre[it.data_centre];
    const auto known = 1 + others.size() + departed.size();
    counts.unknown = fleet_size_ - std::min(fleet_size_, known);
    servers_.set_fleet(std::move(counts));
}

void gateway::plan_stop(const stop_plan& plan)
{
    stop_ = plan;
    for (auto& [number, q] : queries_)
    {
        q.give_up_at = std::min(q.give_up_at, stop_.end);
        q.answer_by = std::min(q.answer_by, stop_.end);
        schedule_timer(q);
    }
}

double gateway::random_fraction()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

void gateway::start_query(query&& q, instant now, effects& out)
{
    const auto number = q.number;
    auto& kept = queries_.emplace(number, std::move(q)).first->second;
    kept.is_probe = verdict_of(kept, now) == crash_verdict::suspected;
    if (kept.is_probe && kept.search->is_scattered())
    {
        start_probe(kept, now, out);
        answer_if_ready(kept, now, out);
        return;
    }
    send_query(kept, now, out);
    answer_if_ready(kept, now, out);
}

// Sends all parts of a query that were not sent yet.
void gateway::send_query(query& q, instant now, effects& out)
{
    start_relay(q, now, out);
    send_parts(q, now, out);
}

void gateway::send_parts(query& q, instant now, effects& out)
{
    for (std::size_t n = 0; n < q.parts.size(); ++n)
    {
        auto& p = q.parts[n];
        if (p.state != part_state::waiting || !p.sends.empty())
            continue;
        budgets_[p.service].on_request(now);
        send_part(q, n, now, out);
    }
}

void gateway::schedule_timer(query& q)
{
    auto due = std::min(q.give_up_at, q.relay_fallback_at);
    // With too few shards there is nothing to answer at that time.
    if (q.search->is_scattered() && q.has_min_coverage())
        due = std::min(due, q.answer_by);
    for (const auto& it : q.parts)
        if (it.state != part_state::done && it.state != part_state::failed)
            due = std::min(due, it.hedge_at);
    if (!q.ever_sent && !q.search->is_scattered())
        due = std::min<instant>(due, q.started + q.search->latency_objective /
                                                     unsent_refusal_divisor);
    if (due == q.timer_at)
        return;
    query_timers_.erase({q.timer_at, q.number});
    q.timer_at = due;
    query_timers_.emplace(q.timer_at, q.number);
}

// Answers or refuses a query if there is nothing more to wait for, else sets
// its timer.
void gateway::answer_if_ready(query& q, instant now, effects& out)
{
    if (q.search->is_scattered())
        answer_scattered_if_ready(q, now, out);
    else
        answer_single_if_ready(q, now, out);
}

void gateway::answer_single_if_ready(query& q, instant now, effects& out)
{
    auto& p = q.parts.front();
    const bool failed = p.state == part_state::failed;
    const bool has_answer =
        p.state == part_state::done || (failed && p.has_reply);
    const bool is_misleading = has_answer && !q.search->is_idempotent() &&
                               implies_not_run(p.reply.message.status);
    if (is_misleading || (failed && !has_answer))
    {
        answer_failed(q, now, out);
        return;
    }
    if (!has_answer)
    {
        schedule_timer(q);
        return;
    }
    out.events.push_back(answer_event(q, p.reply, now));
    out.answers.push_back(
        {q.number, std::move(p.reply), q.search, now - q.started, {}, {}});
    close_query(q, now, out);
}

void gateway::answer_scattered_if_ready(query& q, instant now, effects& out)
{
    if (q.is_probe && !advance_probe(q, now, out))
        return;
    const bool all = q.done + q.failed == q.parts.size();
    const bool in_time = now < q.answer_by;
    if (q.has_min_coverage() && (all || !in_time))
        answer_merged(q, now, out);
    else if (all || !q.can_reach_min_coverage())
        answer_failed(q, now, out);
    else
        schedule_timer(q);
}

void gateway::answer_merged(query& q, instant now, effects& out)
{
    merged reply;
    std::vector<std::string_view> bodies;
    for (const auto& it : q.parts)
    {
        if (it.state != part_state::done)
            continue;
        reply.signatures.push_back(it.reply.signature);
        reply.shards.push_back(it.shard);
        bodies.emplace_back(it.reply.message.body);
    }
    bodies.emplace_back(q.relay_records);
    reply.missing = q.parts.size() - reply.signatures.size();
    reply.records = merge_records(bodies, q.search->max_records);
    emit_merged(q, std::move(reply), now, out);
}

void gateway::emit_merged(query& q, merged reply, instant now, effects& out)
{
    out.events.push_back(answer_event(q, reply, now));
    out.answers.push_back({q.number, std::move(reply), q.search,
                           now - q.started, q.record,
                           q.is_relayed ? news_for_vm(now) : fleet_news{}});
    close_query(q, now, out);
}

// Cancels the relay and all sends that still wait for their connection. A
// request that was never written did not run, so these sends don't count as
// attempts.
void gateway::cancel_unwritten(query& q, instant now, effects& out)
{
    cancel_relay(q, now, out);
    for (auto& p : q.parts)
    {
        const auto in_flight = p.in_flight;
        for (const auto number : in_flight)
        {
            const auto found = exchanges_.find(number);
            if (found == exchanges_.end() || found->second.written)
                continue;
            std::erase(p.in_flight, number);
            --q.open_sends;
            --p.attempts_used;
            const auto it = remove_exchange(number);
            if (auto* to = servers_.find(it.to))
                servers_.on_canceled(*to, it.sent_at);
            out.cancel(number);
        }
    }
}

void gateway::answer_failed(query& q, instant now, effects& out)
{
    const bool relayed = q.relay_exchange != 0;
    cancel_unwritten(q, now, out);
    const bool may_have_run =
        relayed ||
        std::ranges::any_of(q.parts, [](const part& p)
                            { return p.may_have_run || !p.in_flight.empty(); });
    if (may_have_run)
        refuse_query(q,
                     now >= q.give_up_at ? refusal::timed_out : refusal::failed,
                     now, out);
    else
        refuse_query(q, q.ever_sent ? refusal::overloaded : refusal::no_server,
                     now, out);
}

void gateway::close_query(query& q, instant now, effects& out)
{
    cancel_unwritten(q, now, out);
    note_crashes(q, now, out);
    for (const auto& p : q.parts)
        for (const auto number : p.in_flight)
            exchanges_.at(number).query = 0;
    remove_waiters(q);
    query_timers_.erase({q.timer_at, q.number});
    queries_.erase(q.number);
}

void gateway::on_caller_left(query_number number, instant now, effects& out)
{
    const auto found = queries_.find(number);
    if (found == queries_.end())
        return;
    out.events.push_back(caller_left_event(found->second, now));
    cancel_soon(found->second, now);
    close_query(found->second, now, out);
}

// Servers stop the work that they can stop, as if the caller had left.
void gateway::cancel_soon(const query& q, instant now)
{
    for (const auto& p : q.parts)
        for (const auto it : p.in_flight)
            set_cancel_timer(it, std::min(exchanges_.at(it).cancel_at,
                                          now + caller_left_grace));
}

void gateway::give_up(query_number number, instant now, effects& out)
{
    const auto found = queries_.find(number);
    if (found == queries_.end())
        return;
    auto& q = found->second;
    cancel_soon(q, now);
    if (q.search->is_scattered() && q.has_min_coverage())
        answer_merged(q, now, out);
    else
        answer_failed(q, now, out);
}

void gateway::set_cancel_timer(exchange_number number, instant at)
{
    auto& it = exchanges_.at(number);
    cancel_timers_.erase({it.cancel_at, number});
    it.cancel_at = at;
    cancel_timers_.emplace(at, number);
}

void gateway::tick_query(query& q, instant now, effects& out)
{
    if (now >= q.give_up_at)
    {
        if (q.search->is_scattered() && q.has_min_coverage())
            answer_merged(q, now, out);
        else
            answer_failed(q, now, out);
        return;
    }
    if (!q.ever_sent && !q.search->is_scattered() &&
        now >= q.started + q.search->latency_objective / unsent_refusal_divisor)
    {
        refuse_query(q, refusal::overloaded, now, out);
        return;
    }
    if (now >= q.answer_by && q.search->is_scattered() && q.has_min_coverage())
    {
        answer_merged(q, now, out);
        return;
    }
    if (now >= q.relay_fallback_at)
    {
        q.relay_outcome += " late";
        fall_back_to_direct(q, true, now, out);
        return;
    }
    for (std::size_t n = 0; n < q.parts.size(); ++n)
        if (q.parts[n].hedge_at <= now)
            send_again(q, n, now, out);
    answer_if_ready(q, now, out);
}

void gateway::tick(instant now, effects& out)
{
    if (forget_servers_at_ <= now)
        forget_servers_at_ = servers_.forget_expired(now);
    while (!cancel_timers_.empty() && cancel_timers_.begin()->first <= now)
        expire_exchange(cancel_timers_.begin()->second, now, out);
    while (!query_timers_.empty() && query_timers_.begin()->first <= now)
    {
        const auto number = query_timers_.begin()->second;
        auto& q = queries_.at(number);
        // tick_query sets the next timer of a query that stays open.
        query_timers_.erase(query_timers_.begin());
        q.timer_at = base::never;
        tick_query(q, now, out);
    }
}

instant gateway::next_due() const
{
    auto out = forget_servers_at_;
    if (!cancel_timers_.empty())
        out = std::min(out, cancel_timers_.begin()->first);
    if (!query_timers_.empty())
        out = std::min(out, query_timers_.begin()->first);
    return out;
}

} // namespace mimosacroft::gateway
