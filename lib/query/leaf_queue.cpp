// The leaf: subqueries that wait for a slot, and those refused early.
#include "mimosacroft/query/leaf.hpp"

#include "leaf_detail.hpp"

#include <algorithm>

namespace mimosacroft::query
{

void leaf::on_forward(const std::string& from, const wire::forward& msg,
                      std::vector<wire::shard_task> tasks, base::instant now,
                      core::effects& out)
{
    const forward_key key{from, msg.query, msg.attempt};
    if (forwards_.contains(key))
        return;
    auto& made = forwards_[key];
    made.request = msg;
    made.request.shards.clear();
    made.started = now;
    made.deadline = now + base::milliseconds(msg.budget_ms);
    made.missing = tasks.size();
    made.tasks.resize(tasks.size());
    due_.emplace(made.deadline, key);
    std::set<std::string> upstreams;
    for (std::size_t n = 0; n < tasks.size(); ++n)
    {
        upstreams.insert(tasks[n].upstream);
        made.tasks[n].task = std::move(tasks[n]);
        enqueue({key, n}, now, out);
    }
    for (const auto& name : upstreams)
        dispatch(name, now, out);
    answer_if_complete(key);
}

void leaf::enqueue(const task_key& key, base::instant now, core::effects& out)
{
    auto& task = *find(key);
    const auto& forward = forwards_.at(key.forward);
    const auto& name = task.task.upstream;
    auto& lane = lane_of(name);
    const auto* upstream = fleet_.catalog().find_upstream(name);
    if (upstream && !can_make_it(lane, *upstream, forward, now))
        return refuse_early(key, out);
    const auto priority = priority_of(forward.request);
    if (lane.waiting.full())
    {
        const auto evicted = priority == model::priority::urgent
                                 ? lane.waiting.evict_ordinary()
                                 : std::nullopt;
        if (!evicted)
            return refuse_early(key, out);
        find(*evicted)->queued.reset();
        refuse_early(*evicted, out);
        answer_if_complete(evicted->forward);
    }
    task.queued = lane.waiting.push(priority, forward.deadline, key);
    standing_.insert(name);
}

// Whether a task can be answered by its deadline if it waits now. While a slot
// is free there is no wait, and the task is tried whatever was seen before:
// otherwise one slow spell would refuse all that could show its end.
bool leaf::can_make_it(lane& in, const model::upstream& upstream,
                       const open_forward& forward, base::instant now) const
{
    const auto part = fleet_.ownership().usable(upstream.name, now);
    const auto slots = std::min(part.slots, part.connections);
    const auto has_free = [&](const model::server& it)
    { return slots_.used(it.name) < slots; };
    if (slots == 0 || std::ranges::any_of(upstream.servers, has_free))
        return true;
    const auto priority = priority_of(forward.request);
    const auto round = slots * upstream.servers.size() * max_batch;
    const auto ahead = in.waiting.size() < round
                           ? 0
                           : in.waiting.ahead_of(priority, forward.deadline);
    const auto rounds = static_cast<base::duration::rep>(ahead / round + 1);
    const auto needed = in.latency.quantile(typical_quantile) * rounds;
    // Twice the need leaves room for the share of ordinary ones.
    if (priority == model::priority::urgent &&
        now + 2 * needed > forward.deadline)
        in.waiting.press_urgent();
    return now + needed <= forward.deadline;
}

void leaf::refuse_early(const task_key& key, core::effects& out)
{
    const auto& task = *find(key);
    ++totals_.refusals;
    out.emplace_back(
        core::log_event{core::event_id::work_refused,
                        {{"peer", task.task.upstream},
                         {"step", "wait"},
                         {"search", forwards_.at(key.forward).request.search},
                         {"shard", task.task.name}}});
    report_lacking(key, model::lack_reason::overload);
}

void leaf::unqueue(open_task& task)
{
    if (!task.queued)
        return;
    lane_of(task.task.upstream).waiting.remove(*task.queued);
    task.queued.reset();
}

} // namespace mimosacroft::query
