// Admission of callers' requests, their answers, and time.
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

// An answer leaves this much before the objective: the way to the caller and
// back, a new connection, and the wait for a share of the processor.
constexpr milliseconds answer_margin{22};
// The caller hears of a time-out just before it gives up by itself.
constexpr milliseconds give_up_margin{15};
constexpr milliseconds least_deadline{5};
// Work for a caller that left ends within half a second; a server that is about
// to answer is left to it, so that its connection can be used again.
constexpr milliseconds leave_margin{300};

constexpr milliseconds shortest_return{40};
constexpr milliseconds return_spread{80};
constexpr milliseconds unconfigured_return{250};

// The part of the objective after which a request that no server had room for
// is refused, while a new attempt may still be in time.
constexpr int refusal_share = 4;

// Callers read these as "has not run and never will". A server that says so by
// its status alone may have run the request.
bool promises_not_run(unsigned status)
{
    static constexpr auto all = std::to_array<unsigned>({408, 421, 429, 503});
    return std::ranges::find(all, status) != all.end();
}

} // namespace

gateway::gateway(gateway_options options)
    : options_(std::move(options)),
      servers_(options_.data_centre, options_.regions), random_(options_.seed)
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
    settle_at_ = std::min(settle_at_, now + hold);
}

void gateway::set_fleet(const std::vector<vm_entry>& others, std::size_t size)
{
    relays_.set_vms(others);
    fleet_size_ = std::max<std::size_t>(size, 1);
}

double gateway::random_share()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

refused gateway::refusal_for(refusal why, const caller_request& request)
{
    const bool comes_back =
        why == refusal::no_configuration || why == refusal::no_server ||
        why == refusal::no_time || why == refusal::overloaded;
    if (!comes_back)
        return {why, std::nullopt};
    const auto first = why == refusal::no_configuration ? unconfigured_return
                                                        : shortest_return;
    auto after = first + std::chrono::duration_cast<milliseconds>(
                             return_spread * random_share());
    if (request.deadline)
        after = std::min(after, *request.deadline / 3);
    return {why, after};
}

void gateway::refuse(query_number number, refusal why,
                     const caller_request& request, const search_ptr& of,
                     effects& out)
{
    const auto reply = refusal_for(why, request);
    out.answers.push_back({number, reply, of, {}});
    out.events.push_back(refusal_event(request, reply));
}

// For a request that was taken. What is under way for it goes on without it.
void gateway::refuse_query(query& q, refusal why, instant now, effects& out)
{
    const auto reply = refusal_for(why, *q.request);
    out.answers.push_back({q.number, reply, q.search, now - q.started});
    out.events.push_back(refusal_event(q, reply, now));
    close(q, now, out);
}

bool gateway::can_be_served(const search& it) const
{
    if (!it.is_scattered())
        return !it.services.empty();
    const auto live =
        std::ranges::count_if(it.shards, [this](const std::string& shard)
                              { return servers_.has_live(shard); });
    return live > 0 && covers(static_cast<std::size_t>(live), it.shards.size(),
                              it.least_coverage);
}

// Whether enough shards have a server that is likely to answer by `due`. What
// queues beyond that only makes others late as well.
bool gateway::has_room(const search& it, instant now, instant due) const
{
    const auto usual = usual_latency(it);
    const auto in_time = std::ranges::count_if(
        it.shards,
        [&](const std::string& shard)
        {
            return std::ranges::any_of(
                servers_.of(shard), [&](const server* s)
                { return now + estimate(*s, usual, now) <= due; });
        });
    return covers(static_cast<std::size_t>(in_time), it.shards.size(),
                  it.least_coverage);
}

// The objective counts from the caller's first attempt.
instant gateway::answer_time(const query& q)
{
    if (!q.search->is_scattered() || !options_.use.partial_answers)
        return q.give_up;
    milliseconds used{0};
    if (const auto deadline = q.request->deadline)
    {
        auto& longest = longest_deadlines_[q.search->name];
        longest = std::max(longest, *deadline);
        used = longest - *deadline;
    }
    const auto left = q.search->objective - used - answer_margin;
    const auto wanted = left > milliseconds(0) ? left : q.search->objective;
    return std::min(q.started + wanted, q.give_up);
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
    q.give_up = now + std::max(time, least_deadline);
    q.request = std::make_shared<const caller_request>(std::move(request));
    q.answer_by = answer_time(q);
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

void gateway::open(query_number number, caller_request&& request, instant now,
                   effects& out)
{
    if (!catalog_)
    {
        refuse(number, refusal::no_configuration, request, nullptr, out);
        return;
    }
    const auto found = catalog_->match(request.host, request.message.target);
    if (!found)
    {
        refuse(number, refusal::no_such_search, request, nullptr, out);
        return;
    }
    const bool scattered = found->is_scattered();
    auto q = make_query(number, std::move(request), found, now);
    if (q.request->deadline && *q.request->deadline < least_deadline)
    {
        refuse(number, refusal::no_time, *q.request, found, out);
        return;
    }
    const bool servable =
        scattered
            ? can_be_served(*found)
            : !q.parts.empty() && servers_.has_live(q.parts.front().service);
    if (!servable)
    {
        refuse(number, refusal::no_server, *q.request, found, out);
        return;
    }
    if (scattered && options_.use.admission &&
        !has_room(*found, now, q.started + 2 * found->objective))
    {
        refuse(number, refusal::overloaded, *q.request, found, out);
        return;
    }
    take(std::move(q), now, out);
}

void gateway::take(query&& q, instant now, effects& out)
{
    const auto number = q.number;
    auto& kept = queries_.emplace(number, std::move(q)).first->second;
    delegate(kept, now, out);
    start_parts(kept, now, out);
}

void gateway::start_parts(query& q, instant now, effects& out)
{
    for (std::size_t n = 0; n < q.parts.size(); ++n)
    {
        if (q.parts[n].state == part_state::relayed)
            continue;
        budgets_[q.parts[n].service].on_request(now);
        send_part(q, n, now, out);
    }
    check_done(q, now, out);
}

void gateway::schedule(query& q)
{
    auto due = std::min(q.give_up, q.relay_until);
    // Without enough shards nothing can be done at that time.
    if (q.search->is_scattered() && q.has_least())
        due = std::min(due, q.answer_by);
    for (const auto& it : q.parts)
        if (it.state != part_state::done && it.state != part_state::failed)
            due = std::min(due, it.hedge_at);
    if (!q.ever_sent && !q.search->is_scattered())
        due = std::min<instant>(due, q.started +
                                         q.search->objective / refusal_share);
    if (due == q.due)
        return;
    query_times_.erase({q.due, q.number});
    q.due = due;
    query_times_.emplace(q.due, q.number);
}

// Answers a query if there is nothing more to wait for.
void gateway::check_done(query& q, instant now, effects& out)
{
    if (q.search->is_scattered())
        check_scattered(q, now, out);
    else
        check_single(q, now, out);
}

void gateway::check_single(query& q, instant now, effects& out)
{
    auto& p = q.parts.front();
    const bool failed = p.state == part_state::failed;
    const bool has_answer =
        p.state == part_state::done || (failed && p.has_reply);
    const bool misleads = has_answer && !q.search->may_repeat() &&
                          promises_not_run(p.reply.message.status);
    if (misleads || (failed && !has_answer))
    {
        answer_failed(q, now, out);
        return;
    }
    if (!has_answer)
    {
        schedule(q);
        return;
    }
    out.events.push_back(answer_event(q, p.reply, now));
    out.answers.push_back(
        {q.number, std::move(p.reply), q.search, now - q.started});
    close(q, now, out);
}

void gateway::check_scattered(query& q, instant now, effects& out)
{
    const bool all = q.done + q.failed == q.parts.size();
    const bool in_time = now < q.answer_by;
    if (q.has_least() && (all || !in_time))
        answer_merged(q, now, out);
    else if (all || !q.can_reach_least())
        answer_failed(q, now, out);
    else
        schedule(q);
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
    reply.records = merge_records(bodies, q.search->most_records);
    finish_merged(q, std::move(reply), now, out);
}

void gateway::finish_merged(query& q, merged reply, instant now, effects& out)
{
    out.events.push_back(answer_event(q, reply, now));
    out.answers.push_back(
        {q.number, std::move(reply), q.search, now - q.started});
    close(q, now, out);
}

// Sends that wait for their connection are taken back first: what was never
// written did not run.
void gateway::take_back_unwritten(query& q, instant now, effects& out)
{
    abandon_relay(q, now, out);
    for (auto& p : q.parts)
    {
        const auto under_way = p.under_way;
        for (const auto number : under_way)
        {
            const auto found = exchanges_.find(number);
            if (found == exchanges_.end() || found->second.written)
                continue;
            std::erase(p.under_way, number);
            --p.arrivals;
            const auto it = take_exchange(number);
            if (auto* to = servers_.find(it.to))
                servers_.on_dropped(*to, it.sent_at);
            out.drops.push_back(number);
        }
    }
}

void gateway::answer_failed(query& q, instant now, effects& out)
{
    const bool relayed = q.relay != 0;
    take_back_unwritten(q, now, out);
    const bool may_have_run =
        relayed ||
        std::ranges::any_of(q.parts, [](const part& p)
                            { return p.may_have_run || !p.under_way.empty(); });
    if (may_have_run)
        refuse_query(q, now >= q.give_up ? refusal::timed_out : refusal::failed,
                     now, out);
    else
        refuse_query(q, q.ever_sent ? refusal::overloaded : refusal::no_server,
                     now, out);
}

void gateway::close(query& q, instant now, effects& out)
{
    take_back_unwritten(q, now, out);
    for (const auto& p : q.parts)
        for (const auto number : p.under_way)
            exchanges_.at(number).query = 0;
    drop_waiters(q);
    query_times_.erase({q.due, q.number});
    queries_.erase(q.number);
}

void gateway::leave(query_number number, instant now, effects& out)
{
    const auto found = queries_.find(number);
    if (found == queries_.end())
        return;
    out.events.push_back(leave_event(found->second, now));
    for (const auto& p : found->second.parts)
        for (const auto it : p.under_way)
            set_drop_time(
                it, std::min(exchanges_.at(it).drop_at, now + leave_margin));
    close(found->second, now, out);
}

void gateway::set_drop_time(exchange_number number, instant at)
{
    auto& it = exchanges_.at(number);
    drop_times_.erase({it.drop_at, number});
    it.drop_at = at;
    drop_times_.emplace(at, number);
}

void gateway::tick_query(query& q, instant now, effects& out)
{
    if (now >= q.give_up)
    {
        if (q.search->is_scattered() && q.has_least())
            answer_merged(q, now, out);
        else
            answer_failed(q, now, out);
        return;
    }
    if (!q.ever_sent && !q.search->is_scattered() &&
        now >= q.started + q.search->objective / refusal_share)
    {
        refuse_query(q, refusal::overloaded, now, out);
        return;
    }
    if (now >= q.answer_by && q.search->is_scattered() && q.has_least())
    {
        answer_merged(q, now, out);
        return;
    }
    if (now >= q.relay_until)
    {
        q.relay_outcome += " helped";
        fall_back(q, true, now, out);
        return;
    }
    for (std::size_t n = 0; n < q.parts.size(); ++n)
        if (q.parts[n].hedge_at <= now)
            hedge(q, n, now, out);
    check_done(q, now, out);
}

void gateway::tick(instant now, effects& out)
{
    if (settle_at_ <= now)
        settle_at_ = servers_.settle(now);
    while (!drop_times_.empty() && drop_times_.begin()->first <= now)
        end_exchange(drop_times_.begin()->second, now, out);
    while (!query_times_.empty() && query_times_.begin()->first <= now)
    {
        const auto number = query_times_.begin()->second;
        auto& q = queries_.at(number);
        // A query that is still due is looked at again in the next tick.
        query_times_.erase(query_times_.begin());
        q.due = base::never;
        tick_query(q, now, out);
    }
}

instant gateway::next_due() const
{
    auto out = settle_at_;
    if (!drop_times_.empty())
        out = std::min(out, drop_times_.begin()->first);
    if (!query_times_.empty())
        out = std::min(out, query_times_.begin()->first);
    return out;
}

} // namespace mimosacroft::gateway
