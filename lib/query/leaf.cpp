// The leaf: what it reports, and when it looks at what.
#include "mimosacroft/query/leaf.hpp"

#include "leaf_detail.hpp"

#include <algorithm>
#include <cassert>

namespace mimosacroft::query
{

namespace
{

/// How often waiting subqueries are looked at when no reply frees a slot.
constexpr base::milliseconds wait_check{20};

/// A failing server can get this many full batches before it is ejected.
constexpr extra_budget_options retry_reserve{.burst = 5 * max_batch};

} // namespace

leaf::leaf(fleet::agent& fleet, leaf_options options)
    : fleet_(fleet), options_(options),
      chooser_(
          {.by_latency = options.replica_choice, .ejection = options.ejection})
{
}

leaf::lane& leaf::lane_of(const std::string& upstream)
{
    const auto it = lanes_.find(upstream);
    if (it != lanes_.end())
        return it->second;
    auto reserve = retry_reserve;
    reserve.enabled = options_.budget;
    lane made{work_queue<task_key>(
                  work_queue_options{.priorities = options_.priorities}),
              extra_budget(extra_budget_options{.enabled = options_.budget}),
              extra_budget(reserve),
              {},
              {}};
    return lanes_.emplace(upstream, std::move(made)).first->second;
}

leaf::open_task* leaf::find(const task_key& key)
{
    const auto it = forwards_.find(key.forward);
    if (it == forwards_.end())
        return nullptr;
    auto& task = it->second.tasks[key.task];
    return task.reported ? nullptr : &task;
}

void leaf::report_lacking(const task_key& key, model::lack_reason reason)
{
    const auto& task = *find(key);
    wire::shard_report made;
    made.shard = task.task.shard;
    made.lack = static_cast<std::uint8_t>(reason);
    made.maybe_run = task.ran || !task.calls.empty();
    made.extra_attempts = task.attempts > 0 ? task.attempts - 1 : 0;
    report(key, std::move(made));
}

void leaf::report(const task_key& key, wire::shard_report it)
{
    auto& forward = forwards_.at(key.forward);
    auto& task = forward.tasks[key.task];
    assert(!task.reported && "a shard is reported once");
    unqueue(task);
    task.reported = true;
    it.queue_us = static_cast<std::uint32_t>(base::to_us(task.waited));
    forward.reports.push_back(std::move(it));
    --forward.missing;
}

void leaf::answer_if_complete(const forward_key& key)
{
    const auto it = forwards_.find(key);
    if (it == forwards_.end() || it->second.missing > 0)
        return;
    auto& forward = it->second;
    due_.erase({forward.deadline, key});
    add_queue_span(forward);
    answers_.push_back(
        {key.from,
         {key.query, key.attempt, forward.request.epoch,
          std::move(forward.reports), std::move(forward.spans)}});
    forwards_.erase(it);
}

void leaf::on_cancel(const std::string& from, const wire::cancel& msg,
                     base::instant now, core::effects& out)
{
    const forward_key key{from, msg.query, msg.attempt};
    const auto it = forwards_.find(key);
    if (it == forwards_.end())
        return;
    std::set<std::uint64_t> calls;
    for (auto& task : it->second.tasks)
    {
        unqueue(task);
        calls.insert(task.calls.begin(), task.calls.end());
    }
    due_.erase({it->second.deadline, key});
    forwards_.erase(it);
    for (const auto id : calls)
        abandon_if_unwanted(id, now, out);
}

// A task that was never sent waited for a slot, or for this VM's share.
model::lack_reason leaf::lack_at_deadline(const open_task& task,
                                          base::instant now) const
{
    if (task.attempts > 0)
        return model::lack_reason::timeout;
    const auto part = fleet_.ownership().usable(task.task.upstream, now);
    return part.slots > 0 ? model::lack_reason::overload
                          : model::lack_reason::no_server;
}

// Reports what a forward lacks at its deadline.
void leaf::expire_forward(const forward_key& key, base::instant now,
                          core::effects& out)
{
    std::set<std::uint64_t> calls;
    auto& forward = forwards_.at(key);
    for (std::size_t n = 0; n < forward.tasks.size(); ++n)
    {
        auto& task = forward.tasks[n];
        if (task.reported)
            continue;
        calls.insert(task.calls.begin(), task.calls.end());
        report_lacking({key, n}, lack_at_deadline(task, now));
    }
    answer_if_complete(key);
    for (const auto id : calls)
        abandon_if_unwanted(id, now, out);
}

void leaf::on_tick(base::instant now, core::effects& out)
{
    ticked_ = now;
    while (!due_.empty() && due_.begin()->first <= now)
        expire_forward(forward_key(due_.begin()->second), now, out);
    slots_.expire(now);
    probe_leaving(now, out);
    const auto standing = standing_;
    for (const auto& name : standing)
        dispatch(name, now, out);
    while (!hedge_due_.empty() && hedge_due_.begin()->first <= now)
    {
        const auto id = hedge_due_.begin()->second;
        hedge_due_.erase(hedge_due_.begin());
        hedge(id, now, out);
    }
}

// Asks the servers that are marked as leaving for their incarnation, each by
// one call at a time and within the connection share.
void leaf::probe_leaving(base::instant now, core::effects& out)
{
    if (now < next_probe_ || !probes_.empty())
        return;
    next_probe_ = now + probe_period;
    for (const auto& [name, upstream] : fleet_.catalog().upstreams())
    {
        const auto part = fleet_.ownership().usable(name, now);
        for (const auto& server : upstream.servers)
        {
            if (server.leaving || !fleet_.is_leaving(server.name) ||
                slots_.used(server.name) >= part.connections)
                continue;
            const auto id = ++last_call_;
            probes_.emplace(id, server.name);
            out.emplace_back(core::http_call{core::call_owner::leaf, id,
                                             server.address, encode_health(),
                                             now + probe_period, false});
        }
    }
}

base::instant leaf::next_wakeup() const
{
    auto out = slots_.next_expiry();
    if (!due_.empty())
        out = std::min(out, due_.begin()->first);
    if (!hedge_due_.empty())
        out = std::min(out, hedge_due_.begin()->first);
    if (!standing_.empty())
        out = std::min(out, ticked_ + wait_check);
    return out;
}

leaf_stats leaf::stats(base::instant now) const
{
    auto out = totals_;
    for (const auto& [name, it] : lanes_)
        out.waiting += it.waiting.size();
    for (const auto& [name, upstream] : fleet_.catalog().upstreams())
        for (const auto& server : upstream.servers)
        {
            const auto* known = chooser_.find(server.name);
            if (!known)
                continue;
            out.servers.push_back(
                {server.name, slots_.used(server.name),
                 slots_.held(server.name), chooser_.ejected(server.name, now),
                 base::to_fractional_ms(known->latency.mean()),
                 base::to_fractional_ms(known->high)});
        }
    return out;
}

std::vector<leaf_answer> leaf::take_answers()
{
    return std::exchange(answers_, {});
}

} // namespace mimosacroft::query
