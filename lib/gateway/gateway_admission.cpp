// Admission of callers' requests, and their refusal.
#include "mimosacroft/gateway/gateway.hpp"

#include "gateway_detail.hpp"

#include "mimosacroft/gateway/query_events.hpp"

#include <algorithm>

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
// Latencies that keep queries from being admitted hold for so long without new
// ones.
constexpr milliseconds latency_lifetime{1'000};

constexpr milliseconds min_retry_after{40};
constexpr milliseconds retry_after_jitter{80};
constexpr milliseconds unconfigured_retry_after{250};

} // namespace

refused gateway::refusal_for(refusal why, const caller_request& request,
                             milliseconds at_least)
{
    const bool is_retryable =
        why == refusal::no_configuration || why == refusal::no_server ||
        why == refusal::no_time || why == refusal::overloaded ||
        why == refusal::harmful || why == refusal::stopping;
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

bool gateway::has_time_before_stop(const search& it, instant now) const
{
    if (now >= stop_.refuse_from)
        return false;
    const auto known = latencies_.find(it.name);
    return known == latencies_.end() ||
           known->second.samples() < min_latency_samples ||
           now + known->second.quantile(0.5) <= stop_.end;
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

// Latencies are measured on queries that are admitted. Where these were so long
// that all are refused, nothing would ever prove them wrong: without a new one
// for a while they are forgotten, and the next queries measure them anew.
bool gateway::is_overloaded(const search& it, instant now, instant due)
{
    if (has_capacity(it, now, due))
        return false;
    const auto added = latency_added_at_.find(it.name);
    if (added == latency_added_at_.end() ||
        now - added->second < latency_lifetime)
        return true;
    latencies_.erase(it.name);
    latency_added_at_.erase(added);
    return !has_capacity(it, now, due);
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

// Each send needs a connection, of which a process may have a number only.
bool gateway::has_room_for(const query& q) const
{
    return exchanges_.size() + q.parts.size() <= options_.max_exchanges;
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
    q.give_up_at =
        std::min<instant>(now + std::max(time, min_deadline), stop_.end);
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
    if (!has_time_before_stop(of, now))
        return refusal::stopping;
    if (verdict_of(q, now) == crash_verdict::condemned)
        return refusal::harmful;
    const bool servable =
        of.is_scattered()
            ? can_be_served(of)
            : !q.parts.empty() && servers_.has_live(q.parts.front().service);
    if (!servable)
        return refusal::no_server;
    if (!has_room_for(q))
        return refusal::overloaded;
    const auto due = q.started + 2 * of.latency_objective;
    if (of.is_scattered() && options_.use.admission &&
        is_overloaded(of, now, due))
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

} // namespace mimosacroft::gateway
