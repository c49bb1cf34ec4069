// The leaf: asks the servers of the upstreams that this VM owns.
#include "mimosacroft/query/leaf.hpp"

#include <algorithm>
#include <cassert>

namespace mimosacroft::query
{

namespace
{

constexpr std::size_t max_batch = 64;

/// A call with several forwards takes one in this many subqueries of what
/// waits, and at least so many.
constexpr std::size_t batch_part = 4;
constexpr std::size_t min_batch = 8;

/// How often waiting subqueries are looked at when no reply frees a slot.
constexpr base::milliseconds wait_check{20};

/// How often a server that is marked as leaving is asked whether it is another
/// process by now. No work goes to it, so nothing else would tell.
constexpr base::milliseconds probe_period{1000};

constexpr double hedge_quantile = 0.95;
constexpr std::size_t min_hedge_samples = 20;
constexpr base::milliseconds min_hedge_delay{1};
constexpr double typical_quantile = 0.5;

/// A failure counts as one without work if it took less than this share of the
/// usual latency.
constexpr double quick_share = 0.75;

/// A failing server can get this many full batches before it is ejected.
constexpr extra_budget_options retry_reserve{.burst = 5 * max_batch};

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

model::priority priority_of(const wire::forward& request)
{
    return base::value_at<model::priority>(request.priority)
        .value_or(model::priority::ordinary);
}

std::int64_t to_us(base::duration it)
{
    return std::chrono::duration_cast<base::microseconds>(it).count();
}

double to_fractional_ms(base::duration it)
{
    return std::chrono::duration<double, std::milli>(it).count();
}

} // namespace

struct leaf::copy_end
{
    model::lack_reason reason = model::lack_reason::failed;
    bool ran = true;      ///< may have run at the server
    bool written = true;  ///< bytes of it went to the server
    bool answered = true; ///< the server itself said how it ended
};

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

// ---- Waiting

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

// ---- Sending

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
    const auto within = limits_of(upstream, task, now);
    if (!chooser_.has_candidate(upstream, within, now))
    {
        unqueue(task);
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

// ---- Receiving

void leaf::refuse(const std::string& server, std::string reason,
                  core::effects& out)
{
    ++totals_.bad_answers;
    out.emplace_back(core::log_event{core::event_id::upstream_answer_refused,
                                     {{"peer", server},
                                      {"step", "receive"},
                                      {"reason", std::move(reason)}}});
}

void leaf::on_http_reply(std::uint64_t id,
                         const base::result<wire::http_reply>& reply,
                         base::instant now, core::effects& out)
{
    if (const auto canceled = cancels_.find(id); canceled != cancels_.end())
    {
        const auto what = canceled->second;
        cancels_.erase(canceled);
        if (reply && reply->status == 200)
            slots_.close(what.call);
        return dispatch(what.upstream, now, out);
    }
    if (const auto probe = probes_.find(id); probe != probes_.end())
    {
        const auto server = probe->second;
        probes_.erase(probe);
        const auto health = reply ? decode_health(*reply) : std::nullopt;
        if (health)
            note_server(server, health->incarnation, health->leaving,
                        health->load, next_probe_ - probe_period, now);
        return;
    }
    const auto it = calls_.find(id);
    if (it == calls_.end())
        return refuse("", "reply to no open call", out);
    const auto call = std::move(it->second);
    calls_.erase(it);
    hedge_due_.erase({call.hedge_at, id});
    slots_.close(id);
    for (const auto& [text, key] : call.tasks)
        if (auto* task = find(key))
            task->calls.erase(id);
    add_spans(call, now);

    using enum model::lack_reason;
    if (!reply)
    {
        const auto code = reply.error().code;
        const bool unsent = code == base::error_code::unreachable;
        const bool late = code == base::error_code::timeout;
        take_failure(call,
                     {unsent ? unreachable
                      : late ? timeout
                             : failed,
                      !unsent, !unsent, false},
                     base::to_string(reply.error()), now, out);
    }
    else if (const auto refusal = decode_refusal(*reply))
    {
        note_server(call.server, refusal->incarnation, refusal->leaving, {},
                    call.sent, now);
        take_failure(call, {refused, false, true},
                     "refused before start: " + refusal->reason, now, out);
    }
    else if (reply->status != 200)
        take_failure(call, {failed, true, true},
                     "status " + std::to_string(reply->status), now, out);
    else if (const auto parsed = decode_reply(reply->body); !parsed)
    {
        ++totals_.bad_answers;
        take_failure(call, {bad_answer, true, true}, parsed.error().text, now,
                     out);
    }
    else
        take_reply(call, *parsed, now, out);

    std::set<forward_key> touched;
    for (const auto& [text, key] : call.tasks)
        touched.insert(key.forward);
    std::ranges::for_each(touched,
                          [this](const auto& key) { answer_if_complete(key); });
    dispatch(call.upstream, now, out);
}

void leaf::take_failure(const open_call& call, const copy_end& how,
                        const std::string& why, base::instant now,
                        core::effects& out)
{
    out.emplace_back(
        core::log_event{core::event_id::upstream_failed,
                        {{"peer", call.server},
                         {"step", how.written ? "receive" : "connect"},
                         {"reason", why}}});
    // A deadline shorter than the usual latency says nothing of the server.
    const auto usual = lane_of(call.upstream).latency.quantile(hedge_quantile);
    const bool late = how.reason == model::lack_reason::timeout;
    if (late)
        chooser_.on_abandoned(call.server, now - call.sent, now);
    if (!late || now - call.sent >= usual)
        note_failure(call, now, out);
    for (const auto& [text, key] : call.tasks)
        end_copy(call, key, how, now, out);
}

void leaf::note_failure(const open_call& call, base::instant now,
                        core::effects& out)
{
    const auto* upstream = fleet_.catalog().find_upstream(call.upstream);
    if (!upstream)
        return;
    if (const auto time = chooser_.on_failure(*upstream, call.server, now))
        out.emplace_back(
            core::log_event{core::event_id::server_ejected,
                            {{"peer", call.server},
                             {"step", "receive"},
                             {"ms", std::to_string(base::to_ms(*time))}}});
}

void leaf::note_server(const std::string& server,
                       const std::string& incarnation, bool leaving,
                       std::optional<double> load, base::instant asked,
                       base::instant now)
{
    chooser_.on_report(server, load, incarnation, now);
    if (!incarnation.empty())
        fleet_.note_incarnation(server, incarnation, asked);
    if (leaving && !incarnation.empty())
        fleet_.mark_leaving(server, incarnation, asked);
}

void leaf::take_reply(const open_call& call, const upstream_reply& reply,
                      base::instant now, core::effects& out)
{
    note_server(call.server, reply.incarnation, reply.leaving, reply.load,
                call.sent, now);
    auto missing = call.tasks;
    bool any_ok = false;
    bool any_bad = false;
    for (const auto& result : reply.results)
    {
        const auto it = missing.find(result.id);
        if (it == missing.end())
        {
            refuse(call.server, "answer to no open subquery", out);
            any_bad = true;
            continue;
        }
        const auto key = it->second;
        missing.erase(it);
        const bool good = take_result(call, key, result, now, out);
        any_ok = any_ok || good;
        any_bad = any_bad || (!good && result.status == upstream_status::ok);
        any_bad = any_bad || result.status == upstream_status::error;
    }
    for (const auto& [text, key] : missing)
    {
        refuse(call.server, "no answer to a subquery", out);
        any_bad = true;
        end_copy(call, key, {model::lack_reason::bad_answer, true, true}, now,
                 out);
    }
    if (any_bad)
        return note_failure(call, now, out);
    if (!any_ok)
        return;
    chooser_.on_success(call.server, now - call.sent, now);
    lane_of(call.upstream).latency.add(now - call.sent);
}

// Takes one answer; true if it is a true one, needed or not.
bool leaf::take_result(const open_call& call, const task_key& key,
                       const upstream_result& result, base::instant now,
                       core::effects& out)
{
    using enum model::lack_reason;
    const auto forward = forwards_.find(key.forward);
    if (forward == forwards_.end())
        return true;
    auto& task = forward->second.tasks[key.task];
    const auto refuse_as = [&](model::lack_reason reason, const char* text)
    {
        refuse(call.server, text, out);
        end_copy(call, key, {reason, true, true}, now, out);
        return false;
    };
    if (result.shard != task.task.name)
        return refuse_as(bad_answer, "answer of another shard");
    switch (result.status)
    {
    case upstream_status::not_yet:
    case upstream_status::no_longer:
        end_copy(call, key, {wrong_epoch, false, true}, now, out);
        return false;
    case upstream_status::refused:
        end_copy(call, key, {refused, false, true}, now, out);
        return false;
    case upstream_status::error:
        end_copy(call, key, {failed, true, true}, now, out);
        return false;
    case upstream_status::ok:
        break;
    }
    if (!result.epoch)
        return refuse_as(no_epoch, "answer states no epoch");
    if (*result.epoch != forward->second.request.epoch)
        return refuse_as(wrong_epoch, "answer of another epoch");
    if (task.reported)
        return true; // The other copy was first.
    wire::shard_report made;
    made.shard = task.task.shard;
    made.included = true;
    made.maybe_run = true;
    made.extra_attempts = task.attempts - 1;
    made.payload = result.payload;
    report(key, std::move(made));
    for (const auto other : std::exchange(task.calls, {}))
        abandon_if_unwanted(other, now, out);
    return true;
}

// Notes how an attempt ended; what may still be answered is tried again.
void leaf::end_copy(const open_call& call, const task_key& key,
                    const copy_end& how, base::instant now, core::effects& out)
{
    auto* task = find(key);
    if (!task)
        return;
    task->ran = task->ran || how.ran;
    task->lack = how.reason;
    if (!task->calls.empty())
        return;
    if (!may_retry(key, call, how, now))
        return report_lacking(key, how.reason);
    ++totals_.retries;
    enqueue(key, now, out);
}

bool leaf::may_retry(const task_key& key, const open_call& call,
                     const copy_end& how, base::instant now)
{
    const auto& task = *find(key);
    const auto& forward = forwards_.at(key.forward);
    const auto* upstream = fleet_.catalog().find_upstream(call.upstream);
    if (!upstream || forward.deadline <= now)
        return false;
    if (task.ran && !forward.request.repeatable)
        return false;
    if (!chooser_.has_candidate(*upstream, limits_of(*upstream, task, now),
                                now))
        return false;
    return pay_for_retry(call, how, now);
}

// An attempt that was never written put no load on a server. One that its
// server refused, or failed at once, put next to none: its retry is paid from
// the reserve, as a batch that meets a failing server is larger than the whole
// budget. A broken connection does not tell what the server goes on doing.
bool leaf::pay_for_retry(const open_call& call, const copy_end& how,
                         base::instant now)
{
    using enum model::lack_reason;
    if (!how.written)
        return true;
    auto& lane = lane_of(call.upstream);
    const auto usual = lane.latency.quantile(typical_quantile);
    const bool quick = how.answered && how.reason != wrong_epoch &&
                       now - call.sent < usual * quick_share;
    const bool without_work = how.reason == refused || quick;
    return (without_work && lane.retry_reserve.take()) || lane.budget.take();
}

void leaf::add_spans(const open_call& call, base::instant now)
{
    std::set<forward_key> traced;
    for (const auto& [text, key] : call.tasks)
    {
        const auto it = forwards_.find(key.forward);
        if (it == forwards_.end() || !traced.insert(key.forward).second)
            continue;
        auto& forward = it->second;
        wire::span hop;
        hop.id = forward.spans.size() + 1;
        hop.parent = 0; // below the span of the forward
        hop.name = "upstream";
        hop.vm = fleet_.options().vm;
        hop.peer = call.server;
        hop.start_us = to_us(call.sent - forward.started);
        hop.length_us = to_us(now - call.sent);
        forward.spans.push_back(std::move(hop));
    }
}

// The longest wait of the forward's shards for their first attempt.
void leaf::add_queue_span(open_forward& forward) const
{
    const auto longest = std::ranges::max_element(
        forward.reports, {}, &wire::shard_report::queue_us);
    if (longest == forward.reports.end() || longest->queue_us == 0)
        return;
    wire::span wait;
    wait.id = forward.spans.size() + 1;
    wait.name = "queue";
    wait.vm = fleet_.options().vm;
    wait.length_us = longest->queue_us;
    forward.spans.push_back(std::move(wait));
}

// ---- Reporting

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
    it.queue_us = static_cast<std::uint32_t>(to_us(task.waited));
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
            out.servers.push_back({server.name, slots_.used(server.name),
                                   slots_.held(server.name),
                                   chooser_.ejected(server.name, now),
                                   to_fractional_ms(known->latency.mean()),
                                   to_fractional_ms(known->high)});
        }
    return out;
}

std::vector<leaf_answer> leaf::take_answers()
{
    return std::exchange(answers_, {});
}

} // namespace mimosacroft::query
