// Admission of callers' requests, their answers, and timers.
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

// An answer is sent this long before the latency objective, to allow for the
// network round trip to the caller, a new connection and CPU scheduling delay.
constexpr milliseconds answer_margin{22};
// A timeout is reported this long before the caller's own deadline, so that the
// report still arrives.
constexpr milliseconds give_up_margin{15};
constexpr milliseconds min_deadline{5};
// Work for a caller that disconnected must end within half a second. A server
// that is about to answer may do so until then, because its connection can only
// be reused after the answer.
constexpr milliseconds caller_left_grace{300};

constexpr milliseconds min_retry_after{40};
constexpr milliseconds retry_after_jitter{80};
constexpr milliseconds unconfigured_retry_after{250};

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

double gateway::random_fraction()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

refused gateway::refusal_for(refusal why, const caller_request& request,
                             milliseconds at_least)
{
    const bool is_retryable =
        why == refusal::no_configuration || why == refusal::no_server ||
        why == refusal::no_time || why == refusal::overloaded ||
        why == refusal::harmful;
    if (!is_retryable)
        return {why, std::nullopt};
    const auto first = why == refusal::no_configuration
                           ? unconfigured_retry_after
                           : min_retry_after;
    auto after = first + std::chrono::duration_cast<milliseconds>(
                             retry_after_jitter * random_fraction());
    if (request.deadline)
        after = std::min(after, *request.deadline / 3);
    return {why, std::max(after, at_least)};
}

// Until when the servers' pauses leave too few parts for an answer. The shards
// that a relayed query leaves out are assumed to answer.
milliseconds gateway::pause_left(const query& q, instant now) const
{
    if (!servers_.has_pauses(now))
        return milliseconds(0);
    std::vector<instant> ends;
    for (const auto& p : q.parts)
        ends.push_back(p.state == part_state::done ? now : pause_end(p, now));
    std::ranges::sort(ends);
    const auto total =
        q.search->is_scattered() ? q.search->shards.size() : q.parts.size();
    auto needed = std::size_t{1};
    while (needed < ends.size() &&
           !covers(total - ends.size() + needed, total, q.search->min_coverage))
        ++needed;
    const auto end = ends.empty() ? now : ends[needed - 1];
    return end == base::never ? milliseconds(0)
                              : std::chrono::ceil<milliseconds>(end - now);
}

void gateway::refuse_request(query_number number, refusal why,
                             const caller_request& request,
                             const search_ptr& of, effects& out,
                             milliseconds at_least)
{
    const auto reply = refusal_for(why, request, at_least);
    out.answers.push_back({number, reply, of, {}, {}, {}});
    out.events.push_back(refusal_event(request, reply));
}

// Refuses a query that was started. Exchanges whose request is written go on,
// and their results only count for the servers' statistics.
void gateway::refuse_query(query& q, refusal why, instant now, effects& out)
{
    const auto reply = refusal_for(why, *q.request, pause_left(q, now));
    out.answers.push_back({q.number, reply, q.search, now - q.started, q.record,
                           q.is_relayed ? news_for_vm(now) : fleet_news{}});
    out.events.push_back(refusal_event(q, reply, now));
    close_query(q, now, out);
}

bool gateway::can_be_served(const search& it) const
{
    if (!it.is_scattered())
        return !it.services.empty();
    const auto live =
        std::ranges::count_if(it.shards, [this](const std::string& shard)
                              { return servers_.has_live(shard); });
    return live > 0 && covers(static_cast<std::size_t>(live), it.shards.size(),
                              it.min_coverage);
}

// Whether enough shards have a server that is likely to answer by `due`.
// Requests queued beyond that only delay others.
bool gateway::has_capacity(const search& it, instant now, instant due) const
{
    const auto expected = expected_latency(it);
    const auto in_time = std::ranges::count_if(
        it.shards,
        [&](const std::string& shard)
        {
            return std::ranges::any_of(
                servers_.of(shard), [&](const server* s)
                { return now + estimate_latency(*s, expected, now) <= due; });
        });
    return covers(static_cast<std::size_t>(in_time), it.shards.size(),
                  it.min_coverage);
}

bool gateway::can_be_sent(const query& q, const part& p, bool may_relay,
                          instant now)
{
    if (p.state == part_state::done || p.state == part_state::open)
        return true;
    if (p.state == part_state::failed)
        return false;
    const auto all = servers_.of(p.service);
    const auto is_far = [](const server* s)
    { return s->network_distance == distance::other_region; };
    // A relay near the servers uses its own permits.
    const bool is_relayable =
        may_relay && !all.empty() && std::ranges::all_of(all, is_far);
    return is_relayable || is_any_permitted(q, p, now);
}

// Whether the limits that servers state let enough parts be sent for an answer.
// Parts sent without that would use up permits and answer no caller. Of the
// shards that a relayed query leaves out, all are assumed to answer.
bool gateway::has_permits(const query& q, bool may_relay, instant now)
{
    if (!q.search->is_scattered())
        return can_be_sent(q, q.parts.front(), false, now);
    const auto sendable =
        std::ranges::count_if(q.parts, [&](const part& p)
                              { return can_be_sent(q, p, may_relay, now); });
    const auto total = q.search->shards.size();
    return covers(total - q.parts.size() + static_cast<std::size_t>(sendable),
                  total, q.search->min_coverage);
}

// The time of a partial answer. The objective counts from the caller's first
// attempt, so the time that earlier attempts used is subtracted.
instant gateway::compute_answer_by(const query& q)
{
    if (!q.search->is_scattered() || !options_.use.partial_answers)
        return q.give_up_at;
    milliseconds used{0};
    if (const auto deadline = q.request->deadline)
    {
        auto& max_deadline = max_deadlines_[q.search->name];
        max_deadline = std::max(max_deadline, *deadline);
        used = max_deadline - *deadline;
    }
    const auto left = q.search->latency_objective - used - answer_margin;
    const auto wanted =
        left > milliseconds(0) ? left : q.search->latency_objective;
    return std::min(q.started + wanted, q.give_up_at);
}

query gateway::make_query(query_number number, caller_request&& request,
                          const search_ptr& of, instant now)
{
    query q;
    q.number = number;
    q.search = of;
    q.started = now;
    q.version = catalog_->version();
    auto time = of->timeout;
    if (request.deadline)
        time = std::min(time, *request.deadline - give_up_margin);
    q.give_up_at = now + std::max(time, min_deadline);
    q.request = std::make_shared<const caller_request>(std::move(request));
    q.answer_by = compute_answer_by(q);
    if (of->is_scattered())
    {
        q.parts.resize(of->shards.size());
        for (std::size_t n = 0; n < q.parts.size(); ++n)
        {
            q.parts[n].service = of->shards[n];
            q.parts[n].shard = static_cast<std::uint32_t>(n);
        }
    }
    else if (const auto* service = splitter_.choose(*of))
        q.parts.emplace_back().service = *service;
    return q;
}

// Why a query can't be served, if that is known before anything is sent.
std::optional<refusal> gateway::refusal_at_admission(const query& q,
                                                     instant now)
{
    const auto& of = *q.search;
    if (q.request->deadline && *q.request->deadline < min_deadline)
        return refusal::no_time;
    if (verdict_of(q, now) == crash_verdict::condemned)
        return refusal::harmful;
    const bool servable =
        of.is_scattered()
            ? can_be_served(of)
            : !q.parts.empty() && servers_.has_live(q.parts.front().service);
    if (!servable)
        return refusal::no_server;
    const auto due = q.started + 2 * of.latency_objective;
    if (of.is_scattered() && options_.use.admission &&
        !has_capacity(of, now, due))
        return refusal::overloaded;
    if (!has_permits(q, options_.use.relaying, now))
        return refusal::overloaded;
    return std::nullopt;
}

void gateway::open(query_number number, caller_request&& request, instant now,
                   effects& out)
{
    if (!catalog_)
    {
        refuse_request(number, refusal::no_configuration, request, nullptr,
                       out);
        return;
    }
    const auto found = catalog_->match(request.host, request.message.target);
    if (!found)
    {
        refuse_request(number, refusal::no_such_search, request, nullptr, out);
        return;
    }
    auto q = make_query(number, std::move(request), found, now);
    const auto why = refusal_at_admission(q, now);
    if (!why)
    {
        start_query(std::move(q), now, out);
        return;
    }
    const auto at_least =
        *why == refusal::harmful
            ? crashes_.condemned_for(fingerprint_of(*q.request), now)
            : pause_left(q, now);
    refuse_request(number, *why, *q.request, found, out, at_least);
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
            out.cancels.push_back(number);
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
    for (const auto& p : found->second.parts)
        for (const auto it : p.in_flight)
            set_cancel_timer(it, std::min(exchanges_.at(it).cancel_at,
                                          now + caller_left_grace));
    close_query(found->second, now, out);
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
