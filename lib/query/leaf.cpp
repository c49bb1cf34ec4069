// The leaf: asks the servers of the upstreams that this VM owns.
#include "mimosacroft/query/leaf.hpp"

#include "mimosacroft/base/crypto.hpp"

#include <algorithm>

namespace mimosacroft::query
{

namespace
{

constexpr std::size_t max_batch = 64;

/// How often waiting subqueries are looked at when no reply frees a slot.
constexpr base::milliseconds wait_check{20};

wire::shard_report lacking(std::uint32_t shard, model::lack_reason reason,
                           bool maybe_run)
{
    wire::shard_report out;
    out.shard = shard;
    out.lack = static_cast<std::uint8_t>(reason);
    out.maybe_run = maybe_run;
    return out;
}

std::string subquery_id(const wire::forward& request, std::uint32_t shard,
                        std::uint32_t attempt)
{
    return std::to_string(request.query.root_incarnation) + "-" +
           std::to_string(request.query.query) + "-" + std::to_string(shard) +
           "-" + std::to_string(request.attempt) + "." +
           std::to_string(attempt);
}

} // namespace

leaf::leaf(fleet::agent& fleet, leaf_options options)
    : fleet_(fleet), options_(options)
{
}

void leaf::on_forward(const std::string& from, const wire::forward& msg,
                      std::vector<wire::shard_task> tasks, base::instant now,
                      core::effects& out)
{
    const forward_key key(from, msg.attempt);
    if (forwards_.contains(key))
        return;
    auto& made = forwards_[key];
    made.request = msg;
    made.request.shards.clear();
    made.started = now;
    made.deadline = now + base::milliseconds(msg.budget_ms);
    made.missing = tasks.size();
    std::set<std::string> upstreams;
    for (auto& task : tasks)
    {
        upstreams.insert(task.upstream);
        waiting_[task.upstream].push_back({key, made.tasks.size()});
        made.tasks.push_back({std::move(task), false, false, 0, {}});
    }
    for (const auto& name : upstreams)
        dispatch(name, now, out);
}

leaf::open_task* leaf::find(const task_key& key)
{
    const auto it = forwards_.find(key.forward);
    if (it == forwards_.end())
        return nullptr;
    auto& task = it->second.tasks[key.task];
    return task.reported ? nullptr : &task;
}

const model::server* leaf::choose_server(const model::upstream& upstream,
                                         const open_task& task,
                                         std::uint32_t slots) const
{
    const auto load = [this](const model::server& it)
    {
        const auto found = in_flight_.find(it.name);
        return found == in_flight_.end() ? 0U : found->second;
    };
    const model::server* best = nullptr;
    for (const auto& it : upstream.servers)
    {
        if (it.leaving || task.tried.contains(it.name) || load(it) >= slots)
            continue;
        if (!best || load(it) < load(*best))
            best = &it;
    }
    return best;
}

void leaf::dispatch(const std::string& name, base::instant now,
                    core::effects& out)
{
    const auto* upstream = fleet_.catalog().find_upstream(name);
    auto& waiting = waiting_[name];
    if (!upstream)
        return;
    const auto part = fleet_.ownership().usable(name, now);
    const auto slots = std::min(part.slots, part.connections);
    while (!waiting.empty())
    {
        const auto first = waiting.front();
        auto* task = find(first);
        if (!task)
        {
            waiting.pop_front();
            continue;
        }
        const auto* server = choose_server(*upstream, *task, slots);
        if (!server)
            return;
        // A request that may not be repeated travels alone, so that nothing
        // that befalls another one can touch it.
        const bool alone = !forwards_.at(first.forward).request.repeatable;
        std::vector<task_key> batch;
        while (!waiting.empty() && batch.size() < max_batch)
        {
            const auto* next = find(waiting.front());
            if (next && next->tried.contains(server->name))
                break;
            if (next)
                batch.push_back(waiting.front());
            waiting.pop_front();
            if (alone)
                break;
        }
        send_batch(*upstream, *server, batch, now, out);
    }
}

void leaf::send_batch(const model::upstream& upstream,
                      const model::server& server,
                      const std::vector<task_key>& batch, base::instant now,
                      core::effects& out)
{
    open_call call{upstream.name, server.name, now, {}};
    std::vector<upstream_subquery> subqueries;
    base::instant deadline = now;
    bool repeatable = true;
    for (const auto& key : batch)
    {
        auto& task = *find(key);
        const auto& forward = forwards_.at(key.forward);
        task.maybe_run = true;
        ++task.attempts;
        const auto id =
            subquery_id(forward.request, task.task.shard, task.attempts);
        const auto left = base::to_ms(forward.deadline - now);
        subqueries.push_back(
            {id, forward.request.search, forward.request.epoch, task.task.name,
             static_cast<std::uint32_t>(std::max<long long>(left, 0)),
             forward.request.body});
        call.tasks.emplace(id, key);
        deadline = std::max(deadline, forward.deadline);
        repeatable = repeatable && forward.request.repeatable;
    }
    const auto id = ++last_call_;
    ++in_flight_[server.name];
    calls_.emplace(id, std::move(call));
    out.emplace_back(core::http_call{core::call_owner::leaf, id, server.address,
                                     encode_subqueries(subqueries), deadline,
                                     !repeatable});
}

void leaf::refuse(const open_call& call, std::string reason,
                  core::effects& out) const
{
    out.emplace_back(core::log_event{core::event_id::upstream_answer_refused,
                                     {{"peer", call.server},
                                      {"step", "receive"},
                                      {"reason", std::move(reason)}}});
}

void leaf::on_http_reply(std::uint64_t id,
                         const base::result<wire::http_reply>& reply,
                         base::instant now, core::effects& out)
{
    const auto it = calls_.find(id);
    if (it == calls_.end())
        return;
    const auto call = std::move(it->second);
    calls_.erase(it);
    --in_flight_[call.server];

    const auto fail_all =
        [&](model::lack_reason reason, bool maybe_run, const std::string& why)
    {
        out.emplace_back(core::log_event{
            core::event_id::upstream_failed,
            {{"peer", call.server}, {"step", "receive"}, {"reason", why}}});
        for (const auto& [text, key] : call.tasks)
            retry_or_report(key, call, reason, maybe_run);
    };
    if (!reply)
    {
        const auto code = reply.error().code;
        const bool unsent = code == base::error_code::unreachable;
        const bool late = code == base::error_code::timeout;
        fail_all(unsent ? model::lack_reason::unreachable
                 : late ? model::lack_reason::timeout
                        : model::lack_reason::failed,
                 !unsent, base::to_string(reply.error()));
    }
    else if (refused_before_start(*reply))
        fail_all(model::lack_reason::refused, false, "refused before start");
    else if (reply->status != 200)
        fail_all(model::lack_reason::failed, true,
                 "status " + std::to_string(reply->status));
    else if (const auto parsed = decode_reply(reply->body); !parsed)
        fail_all(model::lack_reason::bad_answer, true, parsed.error().text);
    else
        take_reply(call, *parsed, now, out);

    std::set<forward_key> touched;
    for (const auto& [text, key] : call.tasks)
        touched.insert(key.forward);
    for (const auto& key : touched)
        answer_if_complete(key, now);
    dispatch(call.upstream, now, out);
}

void leaf::take_reply(const open_call& call, const upstream_reply& reply,
                      base::instant now, core::effects& out)
{
    if (reply.leaving && !reply.incarnation.empty())
        fleet_.mark_leaving(call.server, reply.incarnation);
    auto missing = call.tasks;
    for (const auto& result : reply.results)
    {
        const auto it = missing.find(result.id);
        if (it == missing.end())
        {
            refuse(call, "answer to no open subquery", out);
            continue;
        }
        const auto key = it->second;
        missing.erase(it);
        auto* task = find(key);
        if (!task)
            continue;
        const auto& request = forwards_.at(key.forward).request;
        if (result.shard != task->task.name)
        {
            refuse(call, "answer of another shard", out);
            retry_or_report(key, call, model::lack_reason::bad_answer, true);
            continue;
        }
        switch (result.status)
        {
        case upstream_status::ok:
            if (!result.epoch || *result.epoch != request.epoch)
            {
                refuse(call,
                       result.epoch ? "answer of another epoch"
                                    : "answer states no epoch",
                       out);
                retry_or_report(key, call,
                                result.epoch ? model::lack_reason::wrong_epoch
                                             : model::lack_reason::no_epoch,
                                true);
                break;
            }
            {
                wire::shard_report made;
                made.shard = task->task.shard;
                made.included = true;
                made.maybe_run = true;
                made.extra_attempts = task->attempts - 1;
                made.payload = result.payload;
                report(key, std::move(made));
            }
            break;
        case upstream_status::not_yet:
        case upstream_status::no_longer:
            retry_or_report(key, call, model::lack_reason::wrong_epoch, false);
            break;
        case upstream_status::refused:
            retry_or_report(key, call, model::lack_reason::refused, false);
            break;
        case upstream_status::error:
            retry_or_report(key, call, model::lack_reason::failed, true);
            break;
        }
    }
    for (const auto& [text, key] : missing)
    {
        refuse(call, "no answer to a subquery", out);
        retry_or_report(key, call, model::lack_reason::bad_answer, true);
    }
    std::set<forward_key> traced;
    for (const auto& [text, key] : call.tasks)
    {
        const auto it = forwards_.find(key.forward);
        if (it == forwards_.end() || !traced.insert(key.forward).second)
            continue;
        wire::span hop;
        hop.id = it->second.spans.size() + 1;
        hop.parent = 0; // below the span of the forward
        hop.name = "upstream";
        hop.vm = fleet_.options().vm;
        hop.peer = call.server;
        hop.start_us = std::chrono::duration_cast<base::microseconds>(
                           call.sent - it->second.started)
                           .count();
        hop.length_us =
            std::chrono::duration_cast<base::microseconds>(now - call.sent)
                .count();
        it->second.spans.push_back(hop);
    }
}

// Puts a task back in the queue for another server, if it may run again.
void leaf::retry_or_report(const task_key& key, const open_call& call,
                           model::lack_reason reason, bool maybe_run)
{
    auto* task = find(key);
    if (!task)
        return;
    task->tried.insert(call.server);
    const auto& request = forwards_.at(key.forward).request;
    const auto* upstream = fleet_.catalog().find_upstream(call.upstream);
    const bool another =
        upstream && task->tried.size() < upstream->servers.size();
    if (another && (request.repeatable || !maybe_run))
    {
        waiting_[call.upstream].push_front(key);
        return;
    }
    auto made = lacking(task->task.shard, reason, maybe_run);
    made.extra_attempts = task->attempts - 1;
    report(key, std::move(made));
}

void leaf::report(const task_key& key, wire::shard_report it)
{
    auto& forward = forwards_.at(key.forward);
    forward.tasks[key.task].reported = true;
    forward.reports.push_back(std::move(it));
    --forward.missing;
}

void leaf::answer_if_complete(const forward_key& key, base::instant)
{
    const auto it = forwards_.find(key);
    if (it == forwards_.end() || it->second.missing > 0)
        return;
    auto& forward = it->second;
    answers_.push_back(
        {key.first,
         {forward.request.query, key.second, forward.request.epoch,
          std::move(forward.reports), std::move(forward.spans)}});
    forwards_.erase(it);
}

void leaf::on_cancel(const std::string& from, const wire::cancel& msg,
                     base::instant, core::effects&)
{
    const auto it = forwards_.find({from, msg.attempt});
    if (it != forwards_.end() && it->second.request.query == msg.query)
        forwards_.erase(it);
}

void leaf::on_tick(base::instant now, core::effects& out)
{
    ticked_ = now;
    std::vector<forward_key> due;
    for (auto& [key, forward] : forwards_)
        if (forward.deadline <= now)
            due.push_back(key);
    for (const auto& key : due)
    {
        auto& forward = forwards_.at(key);
        for (std::size_t n = 0; n < forward.tasks.size(); ++n)
        {
            const auto& task = forward.tasks[n];
            if (!task.reported)
                report({key, n},
                       lacking(task.task.shard, model::lack_reason::timeout,
                               task.maybe_run));
        }
        answer_if_complete(key, now);
    }
    for (auto& [name, waiting] : waiting_)
        if (!waiting.empty())
            dispatch(name, now, out);
}

base::instant leaf::next_wakeup() const
{
    auto out = base::never;
    for (const auto& [key, forward] : forwards_)
        out = std::min(out, forward.deadline);
    const bool any_waits = std::ranges::any_of(
        waiting_, [](const auto& item) { return !item.second.empty(); });
    if (!any_waits || out == base::never)
        return out;
    return std::min(out, ticked_ + wait_check);
}

std::vector<leaf_answer> leaf::take_answers()
{
    return std::exchange(answers_, {});
}

} // namespace mimosacroft::query
