// The leaf: calls to servers, hedges among them, and their end when nobody
// needs them any more.
#include "mimosacroft/query/leaf.hpp"

#include "leaf_detail.hpp"

#include <algorithm>

namespace mimosacroft::query
{

namespace
{

/// A call with several forwards takes one in this many subqueries of what
/// waits, and at least so many.
constexpr std::size_t batch_part = 4;
constexpr std::size_t min_batch = 8;

constexpr std::size_t min_hedge_samples = 20;
constexpr base::milliseconds min_hedge_delay{1};

// The query, shard and attempt of the root, then the leaf's process, call and
// position in it: a cancel must not reach the subquery of another leaf.
std::string subquery_id(const wire::forward& request, std::uint32_t shard,
                        std::uint64_t leaf_incarnation, std::uint64_t call,
                        std::size_t position)
{
    return std::to_string(request.query.root_incarnation) + "-" +
           std::to_string(request.query.query) + "-" + std::to_string(shard) +
           "-" + std::to_string(request.attempt) + "." +
           std::to_string(leaf_incarnation) + "-" + std::to_string(call) + "-" +
           std::to_string(position);
}

// How much of what waits goes out in one call. A call is as slow as its slowest
// subquery, and each forward in it has to wait for that one.
std::size_t batch_size(std::size_t waiting)
{
    return std::clamp(waiting / batch_part, min_batch, max_batch);
}

} // namespace

bool leaf::takes_work(const model::server& server) const
{
    return !server.leaving && !fleet_.is_leaving(server.name);
}

replica_chooser::limits leaf::limits_of(const model::upstream& upstream,
                                        const open_task& task,
                                        base::instant now) const
{
    const auto part = fleet_.ownership().usable(upstream.name, now);
    return {std::min(part.slots, part.connections),
            [this](const std::string& name) { return slots_.used(name); },
            [this](const model::server& it) { return takes_work(it); },
            &task.asked};
}

void leaf::dispatch(const std::string& name, base::instant now,
                    core::effects& out)
{
    const auto* upstream = fleet_.catalog().find_upstream(name);
    const auto found = lanes_.find(name);
    if (!upstream || found == lanes_.end())
        return;
    auto& from = found->second;
    if (fleet_.ownership().usable(name, now).slots == 0)
        from.unusable = now;
    // Retries whose other servers are all busy; they let the rest pass.
    std::vector<task_key> deferred;
    while (!from.waiting.empty() &&
           serve_next(*upstream, from, deferred, now, out))
    {
    }
    for (const auto& key : deferred)
    {
        const auto& forward = forwards_.at(key.forward);
        find(key)->queued = from.waiting.push(priority_of(forward.request),
                                              forward.deadline, key);
    }
    if (from.waiting.empty())
        standing_.erase(name);
}

// Serves or sets aside the first of the queue; false if nothing can be served.
bool leaf::serve_next(const model::upstream& upstream, lane& from,
                      std::vector<task_key>& deferred, base::instant now,
                      core::effects& out)
{
    const auto first = from.waiting.front().second;
    auto& task = *find(first);
    // The timer that ends a forward is late where the process stood still.
    if (forwards_.at(first.forward).deadline <= now)
    {
        report_lacking(first, lack_at_deadline(task, now));
        answer_if_complete(first.forward);
        return true;
    }
    const auto within = limits_of(upstream, task, now);
    if (!chooser_.has_candidate(upstream, within, now))
    {
        report_lacking(first, task.attempts > 0
                                  ? task.lack
                                  : model::lack_reason::no_server);
        answer_if_complete(first.forward);
        return true;
    }
    const auto* server = chooser_.choose(upstream, within, now);
    if (server)
    {
        send(upstream, *server, take_batch(from, *server),
             attempt_kind::first_or_retry, now, out);
        return true;
    }
    if (task.asked.empty())
        return false;
    unqueue(task);
    deferred.push_back(first);
    return true;
}

// A request that may not be repeated travels alone, so that nothing that
// befalls another one can touch it.
std::vector<leaf::task_key> leaf::take_batch(lane& from,
                                             const model::server& server)
{
    const auto alone = [this](const task_key& key)
    { return !forwards_.at(key.forward).request.repeatable; };
    const auto wanted = batch_size(from.waiting.size());
    std::vector<task_key> batch;
    while (!from.waiting.empty() && batch.size() < max_batch)
    {
        const auto& next = from.waiting.front().second;
        if (batch.size() >= wanted && next.forward != batch.back().forward)
            break;
        if (!batch.empty() &&
            (alone(next) || find(next)->asked.contains(server.name)))
            break;
        batch.push_back(from.waiting.pop());
        find(batch.back())->queued.reset();
        if (alone(batch.back()))
            break;
    }
    return batch;
}

void leaf::send(const model::upstream& upstream, const model::server& server,
                const std::vector<task_key>& batch, attempt_kind kind,
                base::instant now, core::effects& out)
{
    auto& lane = lane_of(upstream.name);
    open_call call;
    call.id = ++last_call_;
    call.upstream = upstream.name;
    call.server = server.name;
    call.address = server.address;
    call.sent = now;
    call.deadline = now;
    std::vector<upstream_subquery> subqueries;
    bool repeatable = true;
    for (const auto& key : batch)
    {
        auto& task = *find(key);
        const auto& forward = forwards_.at(key.forward);
        if (task.attempts == 0)
        {
            lane.budget.on_first_attempt();
            lane.retry_reserve.on_first_attempt();
            // A wait for this VM's share says nothing of the servers' load.
            task.waited = now - std::max(forward.started, lane.unusable);
            ++totals_.first_attempts;
        }
        ++task.attempts;
        task.asked.insert(server.name);
        task.calls.insert(call.id);
        const auto id = subquery_id(forward.request, task.task.shard,
                                    fleet_.options().incarnation, call.id,
                                    subqueries.size());
        const auto left = base::to_ms(forward.deadline - now);
        subqueries.push_back(
            {id, forward.request.search, forward.request.epoch, task.task.name,
             static_cast<std::uint32_t>(std::max<long long>(left, 0)),
             forward.request.body});
        call.tasks.emplace(id, key);
        call.deadline = std::max(call.deadline, forward.deadline);
        repeatable = repeatable && forward.request.repeatable;
    }
    if (options_.hedging && repeatable &&
        kind == attempt_kind::first_or_retry &&
        lane.latency.samples() >= min_hedge_samples)
    {
        call.hedge_at =
            now + std::max<base::duration>(
                      lane.latency.quantile(hedge_quantile), min_hedge_delay);
        hedge_due_.emplace(call.hedge_at, call.id);
    }
    slots_.open(call.id, server.name);
    out.emplace_back(core::http_call{
        core::call_owner::leaf, call.id, server.address,
        encode_subqueries(subqueries), call.deadline, !repeatable});
    const auto id = call.id;
    calls_.emplace(id, std::move(call));
}

// Asks another replica for what a slow call has not answered yet.
void leaf::hedge(std::uint64_t id, base::instant now, core::effects& out)
{
    const auto it = calls_.find(id);
    if (it == calls_.end())
        return;
    const auto& call = it->second;
    const auto* upstream = fleet_.catalog().find_upstream(call.upstream);
    auto& lane = lane_of(call.upstream);
    if (!upstream || !lane.waiting.empty())
        return;
    const model::server* server = nullptr;
    std::vector<task_key> batch;
    for (const auto& [text, key] : call.tasks)
    {
        const auto* task = find(key);
        if (!task || task->calls.size() != 1 ||
            forwards_.at(key.forward).deadline <= now)
            continue;
        if (!server)
            server = chooser_.choose(*upstream,
                                     limits_of(*upstream, *task, now), now);
        if (!server)
            return;
        if (task->asked.contains(server->name))
            continue;
        if (!lane.budget.take())
            break;
        batch.push_back(key);
    }
    if (batch.empty())
        return;
    totals_.hedges += batch.size();
    send(*upstream, *server, batch, attempt_kind::hedge, now, out);
}

// Gives up a call when none of its subqueries is needed any more.
void leaf::abandon_if_unwanted(std::uint64_t id, base::instant now,
                               core::effects& out)
{
    const auto it = calls_.find(id);
    if (it == calls_.end() || it->second.deadline <= now)
        return;
    const auto call = it->second;
    const auto wanted = [this](const auto& item)
    { return find(item.second) != nullptr; };
    if (std::ranges::any_of(call.tasks, wanted))
        return;
    calls_.erase(it);
    hedge_due_.erase({call.hedge_at, id});
    slots_.hold(id, call.deadline);
    chooser_.on_abandoned(call.server, now - call.sent, now);
    lane_of(call.upstream).latency.add(now - call.sent);
    std::vector<std::string> ids;
    for (const auto& [text, key] : call.tasks)
        ids.push_back(text);
    const auto cancel = ++last_call_;
    cancels_[cancel] = {id, call.upstream};
    ++totals_.cancels;
    out.emplace_back(core::abandon_call{core::call_owner::leaf, id});
    out.emplace_back(core::http_call{core::call_owner::leaf, cancel,
                                     call.address, encode_cancel(ids),
                                     call.deadline, false});
}

} // namespace mimosacroft::query
