// Sends the shards of a query out and collects the reports.
#include "mimosacroft/query/scatter.hpp"

#include <algorithm>

namespace mimosacroft::query
{

namespace
{

/// Kept back from the receiver's time, for its answer's way home.
constexpr base::milliseconds hop_margin{5};

wire::shard_report lacking(std::uint32_t shard, model::lack_reason reason,
                           bool maybe_run)
{
    wire::shard_report out;
    out.shard = shard;
    out.lack = static_cast<std::uint8_t>(reason);
    out.maybe_run = maybe_run;
    return out;
}

// Whether a VM refused a shard before anything ran.
bool is_refusal(const wire::shard_report& it)
{
    return !it.included && !it.maybe_run &&
           it.lack == static_cast<std::uint8_t>(model::lack_reason::refused);
}

std::uint32_t budget_ms(base::instant deadline, base::instant now)
{
    const auto left = base::to_ms(deadline - now - hop_margin);
    return static_cast<std::uint32_t>(std::max<long long>(left, 0));
}

} // namespace

scatter::scatter(const fleet::agent& fleet, std::uint64_t seed)
    : fleet_(fleet), random_(seed)
{
}

std::uint64_t scatter::start(scatter_job job, base::instant now,
                             core::effects& out)
{
    const auto id = ++last_job_;
    auto& made = jobs_[id];
    made.started = now;
    made.missing = job.tasks.size();
    for (const auto& it : job.tasks)
        made.tasks.push_back({it, {}, false, false, {}});
    made.job = std::move(job);
    deadlines_.emplace(made.job.deadline, id);

    std::vector<std::size_t> positions(made.tasks.size());
    std::ranges::generate(positions,
                          [n = std::size_t{0}]() mutable { return n++; });
    dispatch(id, positions, now, out);
    finish_if_complete(id);
    return id;
}

// The VM to send a task to; empty if there is none.
std::string scatter::route(const open_task& it)
{
    const auto* upstream = fleet_.catalog().find_upstream(it.task.upstream);
    if (!upstream)
        return {};
    const auto& own = fleet_.options();
    const bool near = upstream->data_centre == own.data_centre;
    auto targets = near ? fleet_.view().owners_of(*upstream)
                        : fleet_.view().members_of(upstream->data_centre);
    std::erase_if(targets, [&](const std::string& vm)
                  { return it.tried.contains(vm) || fleet_.is_draining(vm); });
    if (targets.empty())
        return {};
    if (std::ranges::find(targets, own.vm) != targets.end())
        return own.vm;
    return targets[random_() % targets.size()];
}

void scatter::dispatch(std::uint64_t id,
                       const std::vector<std::size_t>& positions,
                       base::instant now, core::effects& out)
{
    auto& job = jobs_.at(id);
    // One relay for each far data centre, so that the costly link carries one
    // message; near ones go to their owners.
    std::map<std::string, std::string> relays;
    std::map<std::string, std::vector<std::size_t>> by_vm;
    for (const auto n : positions)
    {
        auto& it = job.tasks[n];
        const auto* upstream = fleet_.catalog().find_upstream(it.task.upstream);
        std::string vm;
        if (upstream && upstream->data_centre != fleet_.options().data_centre)
        {
            auto& relay = relays[upstream->data_centre];
            if (relay.empty())
                relay = route(it);
            vm = relay;
        }
        else
            vm = route(it);
        if (!vm.empty())
            by_vm[vm].push_back(n);
        else
            report(job, n,
                   lacking(it.task.shard,
                           it.tried.empty() ? model::lack_reason::no_server
                                            : model::lack_reason::leaf_lost,
                           it.maybe_run));
    }
    for (auto& [vm, tasks] : by_vm)
        send(id, vm, std::move(tasks), now, out);
}

void scatter::send(std::uint64_t id, const std::string& vm,
                   std::vector<std::size_t> positions, base::instant now,
                   core::effects& out)
{
    const auto* entry = fleet_.view().find(vm);
    if (!entry)
        return;
    auto& job = jobs_.at(id);
    wire::forward msg = job.job.request;
    msg.attempt = ++last_attempt_;
    msg.budget_ms = budget_ms(job.job.deadline, now);
    for (const auto n : positions)
        msg.shards.push_back(job.tasks[n].task);
    forwards_[msg.attempt] = {id, vm, now, std::move(positions)};
    out.emplace_back(core::send_peer{vm, entry->peer_address, std::move(msg)});
}

void scatter::report(open_job& job, std::size_t position,
                     const wire::shard_report& it)
{
    auto& task = job.tasks[position];
    if (task.reported)
        return;
    task.reported = true;
    task.report = it;
    --job.missing;
}

void scatter::on_answer(const std::string& from,
                        const wire::forward_answer& msg, base::instant now,
                        core::effects& out)
{
    const auto it = forwards_.find(msg.attempt);
    const auto drop = [&](std::string reason)
    {
        out.emplace_back(core::log_event{core::event_id::answer_dropped,
                                         {{"peer", from},
                                          {"step", "merge"},
                                          {"reason", std::move(reason)}}});
    };
    if (it == forwards_.end() || it->second.vm != from)
        return drop("no such forward is open");
    const auto id = it->second.job;
    auto& job = jobs_.at(id);
    if (!(job.job.request.query == msg.query))
        return drop("answer belongs to another query");
    if (job.job.request.epoch != msg.epoch)
        return drop("answer states another epoch");

    auto& open = it->second.tasks;
    std::vector<std::size_t> again;
    for (const auto& shard : msg.shards)
    {
        const auto at = std::ranges::find_if(
            open, [&](std::size_t n)
            { return job.tasks[n].task.shard == shard.shard; });
        if (at == open.end())
        {
            drop("shard was not asked of this VM");
            continue;
        }
        if (fleet_.is_draining(from) && is_refusal(shard))
        {
            job.tasks[*at].tried.insert(from);
            again.push_back(*at);
        }
        else
            report(job, *at, shard);
        open.erase(at);
    }
    wire::span hop;
    hop.id = msg.attempt;
    hop.parent = job.job.request.parent_span;
    hop.name = "forward";
    hop.vm = fleet_.options().vm;
    hop.peer = from;
    hop.start_us = std::chrono::duration_cast<base::microseconds>(
                       it->second.sent - job.started)
                       .count();
    hop.length_us =
        std::chrono::duration_cast<base::microseconds>(now - it->second.sent)
            .count();
    job.spans.push_back(hop);
    job.spans.insert(job.spans.end(), msg.spans.begin(), msg.spans.end());
    if (open.empty())
        forwards_.erase(it);
    dispatch(id, again, now, out);
    finish_if_complete(id);
}

void scatter::on_peer_lost(const std::string& vm, bool was_up,
                           base::instant now, core::effects& out)
{
    std::vector<open_forward> gone;
    std::erase_if(forwards_,
                  [&](auto& item)
                  {
                      if (item.second.vm != vm)
                          return false;
                      gone.push_back(std::move(item.second));
                      return true;
                  });
    for (const auto& it : gone)
        lose_forward(it, was_up, now, out);
}

void scatter::lose_forward(const open_forward& gone, bool was_up,
                           base::instant now, core::effects& out)
{
    auto& job = jobs_.at(gone.job);
    std::vector<std::size_t> again;
    for (const auto n : gone.tasks)
    {
        auto& task = job.tasks[n];
        task.tried.insert(gone.vm);
        task.maybe_run = task.maybe_run || was_up;
        if (!was_up || job.job.request.repeatable)
            again.push_back(n);
        else
            report(job, n,
                   lacking(task.task.shard, model::lack_reason::leaf_lost,
                           task.maybe_run));
    }
    dispatch(gone.job, again, now, out);
    finish_if_complete(gone.job);
}

void scatter::finish_if_complete(std::uint64_t id)
{
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || it->second.missing > 0)
        return;
    auto& job = it->second;
    scatter_result made{id, {}, std::move(job.spans)};
    for (auto& task : job.tasks)
        made.reports.push_back(std::move(task.report));
    finished_.push_back(std::move(made));
    deadlines_.erase({job.job.deadline, id});
    jobs_.erase(it);
}

void scatter::close_forwards(std::uint64_t id, core::effects& out)
{
    const auto& ref = jobs_.at(id).job.request.query;
    std::erase_if(forwards_,
                  [&](const auto& item)
                  {
                      const auto& [attempt, it] = item;
                      if (it.job != id)
                          return false;
                      if (const auto* to = fleet_.view().find(it.vm))
                          out.emplace_back(
                              core::send_peer{it.vm, to->peer_address,
                                              wire::cancel{ref, attempt}});
                      return true;
                  });
}

void scatter::expire(std::uint64_t id, core::effects& out)
{
    auto& job = jobs_.at(id);
    std::set<std::size_t> forwarded;
    for (const auto& [attempt, it] : forwards_)
        if (it.job == id)
            forwarded.insert(it.tasks.begin(), it.tasks.end());
    for (std::size_t n = 0; n < job.tasks.size(); ++n)
        report(job, n,
               lacking(job.tasks[n].task.shard, model::lack_reason::timeout,
                       forwarded.contains(n) || job.tasks[n].maybe_run));
    close_forwards(id, out);
    finish_if_complete(id);
}

void scatter::abandon(std::uint64_t id, core::effects& out)
{
    const auto it = jobs_.find(id);
    if (it == jobs_.end())
        return;
    close_forwards(id, out);
    deadlines_.erase({it->second.job.deadline, id});
    jobs_.erase(it);
}

void scatter::on_tick(base::instant now, core::effects& out)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    {
        const auto id = deadlines_.begin()->second;
        expire(id, out);
    }
}

base::instant scatter::next_wakeup() const
{
    return deadlines_.empty() ? base::never : deadlines_.begin()->first;
}

std::vector<scatter_result> scatter::take_finished()
{
    return std::exchange(finished_, {});
}

} // namespace mimosacroft::query
