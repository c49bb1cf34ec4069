// Sends the shards of a query out and collects the reports.
#include "mimosacroft/query/scatter.hpp"

#include <algorithm>
#include <cassert>
#include <functional>

namespace mimosacroft::query
{

namespace
{

/// Kept back from the receiver's time, for its answer's way home.
constexpr base::milliseconds hop_margin{5};

/// A VM whose link failed, or which let a deadline pass in silence, gets no
/// forward for this long if another can take it.
constexpr base::milliseconds avoid_time{1000};

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

// Leaves only the VMs for which `good` holds, unless it holds for none.
template <typename Good>
void prefer(std::vector<std::string>& vms, const Good& good)
{
    if (std::ranges::any_of(vms, good))
        std::erase_if(vms, std::not_fn(good));
}

std::uint32_t budget_ms(base::instant deadline, base::instant now)
{
    const auto left = base::to_ms(deadline - now - hop_margin);
    return static_cast<std::uint32_t>(std::max<long long>(left, 0));
}

// Whether another upstream of the shard may be asked after this report: only
// when no server of the first one did or refused the work, so that this adds
// no load.
bool allows_alternative(const wire::shard_report& it)
{
    using model::lack_reason;
    const auto reason = base::value_at<lack_reason>(it.lack);
    return !it.included && (reason == lack_reason::no_server ||
                            reason == lack_reason::unreachable ||
                            reason == lack_reason::leaf_lost ||
                            reason == lack_reason::data_centre_lost);
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
    job.alternatives.resize(job.tasks.size());
    for (std::size_t n = 0; n < job.tasks.size(); ++n)
        made.tasks.push_back({job.tasks[n],
                              {},
                              false,
                              false,
                              {},
                              std::move(job.alternatives[n])});
    made.job = std::move(job);
    deadlines_.emplace(made.job.deadline, id);

    std::vector<std::size_t> positions(made.tasks.size());
    std::ranges::generate(positions,
                          [n = std::size_t{0}]() mutable { return n++; });
    dispatch(id, positions, now, out);
    finish_if_complete(id);
    return id;
}

// The data centre of a task's upstream if it is another one; null otherwise.
const std::string* scatter::far_data_centre(const open_task& it) const
{
    const auto* upstream = fleet_.catalog().find_upstream(it.task.upstream);
    if (!upstream || upstream->data_centre == fleet_.options().data_centre)
        return nullptr;
    return &upstream->data_centre;
}

// The VM to send a task to; empty if there is none.
std::string scatter::route(const open_task& it, base::instant now)
{
    const auto* upstream = fleet_.catalog().find_upstream(it.task.upstream);
    if (!upstream)
        return {};
    const auto& own = fleet_.options();
    const bool far = upstream->data_centre != own.data_centre;
    auto targets = far ? fleet_.view().members_of(upstream->data_centre)
                       : fleet_.ownership().owners_of(upstream->name);
    std::erase_if(targets, [&](const std::string& vm)
                  { return it.tried.contains(vm) || fleet_.is_draining(vm); });
    if (targets.empty())
        return {};
    if (!far)
        prefer(targets,
               [&established = fleet_.ownership().established_owners_of(
                    upstream->name, now)](const std::string& vm)
               {
                   return std::ranges::find(established, vm) !=
                          established.end();
               });
    if (std::ranges::find(targets, own.vm) != targets.end())
        return own.vm;
    prefer(targets,
           [&](const std::string& vm)
           {
               const auto found = avoided_.find(vm);
               return !fleet_.is_suspected(vm, now) &&
                      (found == avoided_.end() || found->second <= now);
           });
    return targets[random_() % targets.size()];
}

// As route(), and goes on to the next upstream of the shard when there is none.
std::string scatter::reroute(open_task& it, base::instant now)
{
    auto vm = route(it, now);
    while (vm.empty() && !it.alternatives.empty())
    {
        it.task.upstream = it.alternatives.front();
        it.alternatives.erase(it.alternatives.begin());
        vm = route(it, now);
    }
    return vm;
}

// Why a task lacks whose VMs were all tried or lost.
model::lack_reason scatter::loss_of(const open_task& it) const
{
    return far_data_centre(it) ? model::lack_reason::data_centre_lost
                               : model::lack_reason::leaf_lost;
}

// The relay that a task's far data centre has already; empty if there is none
// that the task may go to.
std::string scatter::relay_of(const open_task& it,
                              const relay_map& relays) const
{
    const auto* far = far_data_centre(it);
    const auto found = far ? relays.find(*far) : relays.end();
    if (found == relays.end() || it.tried.contains(found->second))
        return {};
    return found->second;
}

// One relay for each far data centre, so that the costly link carries one
// message and the VMs there are weighed once; near tasks go to their owners.
std::string scatter::target_of(open_task& it, relay_map& relays,
                               base::instant now)
{
    if (auto relay = relay_of(it, relays); !relay.empty())
        return relay;
    auto vm = reroute(it, now);
    const auto* far = far_data_centre(it);
    if (vm.empty() || !far)
        return vm;
    // Another upstream of the shard may be in a data centre with a relay.
    if (auto relay = relay_of(it, relays); !relay.empty())
        return relay;
    relays.try_emplace(*far, vm);
    return vm;
}

void scatter::dispatch(std::uint64_t id,
                       const std::vector<std::size_t>& positions,
                       base::instant now, core::effects& out)
{
    auto& job = jobs_.at(id);
    const bool late = budget_ms(job.job.deadline, now) == 0;
    relay_map relays;
    std::map<std::string, std::vector<std::size_t>> by_vm;
    for (const auto n : positions)
    {
        auto& it = job.tasks[n];
        if (late)
        {
            report(job, n,
                   lacking(it.task.shard, model::lack_reason::timeout, false));
            continue;
        }
        const auto vm = target_of(it, relays, now);
        if (vm.empty())
        {
            const auto why =
                it.tried.empty() ? model::lack_reason::no_server : loss_of(it);
            report(job, n, lacking(it.task.shard, why, false));
            continue;
        }
        by_vm[vm].push_back(n);
    }
    for (auto& [vm, tasks] : by_vm)
        send(id, vm, std::move(tasks), now, out);
}

void scatter::send(std::uint64_t id, const std::string& vm,
                   std::vector<std::size_t> positions, base::instant now,
                   core::effects& out)
{
    const auto* entry = fleet_.view().find(vm);
    assert(entry && "forwards go to VMs of the view");
    auto& job = jobs_.at(id);
    wire::forward msg = job.job.request;
    msg.attempt = ++last_attempt_;
    msg.budget_ms = budget_ms(job.job.deadline, now);
    for (const auto n : positions)
        msg.shards.push_back(job.tasks[n].task);
    forwards_[msg.attempt] = {id, vm, now, std::move(positions),
                              job.next_span++};
    job.attempts.insert(msg.attempt);
    sent_to_[vm].insert(msg.attempt);
    out.emplace_back(core::send_peer{vm, entry->peer_address, std::move(msg)});
}

// Closes a forward and adds its span to the trace.
scatter::open_forward scatter::take_forward(std::uint32_t attempt,
                                            const std::string& note,
                                            base::instant now)
{
    auto out = std::move(forwards_.extract(attempt).mapped());
    auto& job = jobs_.at(out.job);
    job.attempts.erase(attempt);
    const auto to = sent_to_.find(out.vm);
    to->second.erase(attempt);
    if (to->second.empty())
        sent_to_.erase(to);
    wire::span hop;
    hop.id = out.span;
    hop.parent = job.job.request.parent_span;
    hop.name = "forward";
    hop.vm = fleet_.options().vm;
    hop.peer = out.vm;
    hop.start_us = base::to_us(out.sent - job.started);
    hop.length_us = base::to_us(now - out.sent);
    hop.note = note;
    job.spans.push_back(std::move(hop));
    return out;
}

// Takes the spans of an answer into the trace of the job: under new ids, below
// the span of their forward, and on the job's time.
void scatter::adopt_spans(open_job& job, const open_forward& forward,
                          const std::vector<wire::span>& spans)
{
    std::map<std::uint64_t, std::uint64_t> ids;
    for (const auto& it : spans)
        ids.try_emplace(it.id, job.next_span++);
    const auto offset = base::to_us(forward.sent - job.started);
    for (const auto& it : spans)
    {
        const auto parent = ids.find(it.parent);
        auto& made = job.spans.emplace_back(it);
        made.id = ids.at(it.id);
        made.parent = it.parent == 0 || parent == ids.end() ? forward.span
                                                            : parent->second;
        made.start_us += offset;
    }
}

void scatter::report(open_job& job, std::size_t position,
                     const wire::shard_report& it)
{
    auto& task = job.tasks[position];
    if (task.reported)
        return;
    task.reported = true;
    task.report = it;
    // An earlier forward of the task may have done the work too.
    task.report.maybe_run = it.maybe_run || task.maybe_run;
    --job.missing;
}

// Puts a task on the next upstream of its shard, if that may and can be done.
bool scatter::use_alternative(open_job& job, std::size_t position,
                              const wire::shard_report& it)
{
    auto& task = job.tasks[position];
    if (task.alternatives.empty() || !allows_alternative(it))
        return false;
    if (it.maybe_run && !job.job.request.repeatable)
        return false;
    task.maybe_run = task.maybe_run || it.maybe_run;
    task.task.upstream = task.alternatives.front();
    task.alternatives.erase(task.alternatives.begin());
    return true;
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

    avoided_.erase(from);
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
        else if (use_alternative(job, *at, shard))
            again.push_back(*at);
        else
            report(job, *at, shard);
        open.erase(at);
    }
    adopt_spans(job, it->second, msg.spans);
    if (open.empty())
        take_forward(msg.attempt, {}, now);
    dispatch(id, again, now, out);
    finish_if_complete(id);
}

void scatter::on_peer_lost(const std::string& vm, bool was_up,
                           base::instant now, core::effects& out)
{
    avoided_[vm] = now + avoid_time;
    const auto found = sent_to_.find(vm);
    if (found == sent_to_.end())
        return;
    const auto attempts = found->second;
    std::vector<open_forward> gone;
    for (const auto attempt : attempts)
        gone.push_back(
            take_forward(attempt, was_up ? "link lost" : "no link", now));
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
                   lacking(task.task.shard, loss_of(task), task.maybe_run));
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

void scatter::close_forwards(std::uint64_t id, const std::string& note,
                             base::instant now, core::effects& out)
{
    const auto& job = jobs_.at(id);
    const auto attempts = job.attempts;
    for (const auto attempt : attempts)
    {
        const auto closed = take_forward(attempt, note, now);
        if (const auto* to = fleet_.view().find(closed.vm))
            out.emplace_back(
                core::send_peer{closed.vm, to->peer_address,
                                wire::cancel{job.job.request.query, attempt}});
    }
}

void scatter::expire(std::uint64_t id, base::instant now, core::effects& out)
{
    auto& job = jobs_.at(id);
    for (const auto attempt : job.attempts)
    {
        const auto& open = forwards_.at(attempt);
        // Its own deadline was earlier: it would have said what it lacks.
        avoided_[open.vm] = now + avoid_time;
        for (const auto n : open.tasks)
            job.tasks[n].maybe_run = true;
    }
    for (std::size_t n = 0; n < job.tasks.size(); ++n)
        report(job, n,
               lacking(job.tasks[n].task.shard, model::lack_reason::timeout,
                       false));
    close_forwards(id, "no answer before the deadline", now, out);
    finish_if_complete(id);
}

void scatter::abandon(std::uint64_t id, base::instant now, core::effects& out)
{
    const auto it = jobs_.find(id);
    if (it == jobs_.end())
        return;
    close_forwards(id, "canceled", now, out);
    deadlines_.erase({it->second.job.deadline, id});
    jobs_.erase(it);
}

void scatter::on_tick(base::instant now, core::effects& out)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    {
        const auto id = deadlines_.begin()->second;
        expire(id, now, out);
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
