// The leaf: what servers answer, and what is tried again.
#include "mimosacroft/query/leaf.hpp"

#include "leaf_detail.hpp"

#include <algorithm>

namespace mimosacroft::query
{

namespace
{

/// A failure counts as one without work if it took less than this share of the
/// usual latency.
constexpr double quick_share = 0.75;

} // namespace

struct leaf::copy_end
{
    model::lack_reason reason = model::lack_reason::failed;
    bool ran = true;      ///< may have run at the server
    bool written = true;  ///< bytes of it went to the server
    bool answered = true; ///< the server itself said how it ended
};

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
    if (cancels_.contains(id))
        return on_canceled(id, reply, now, out);
    if (probes_.contains(id))
        return on_probed(id, reply, now);
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
    take_outcome(call, reply, now, out);
    std::set<forward_key> touched;
    for (const auto& [text, key] : call.tasks)
        touched.insert(key.forward);
    std::ranges::for_each(touched,
                          [this](const auto& key) { answer_if_complete(key); });
    dispatch(call.upstream, now, out);
}

void leaf::on_canceled(std::uint64_t id,
                       const base::result<wire::http_reply>& reply,
                       base::instant now, core::effects& out)
{
    const auto what = cancels_.extract(id).mapped();
    if (reply && reply->status == wire::status_ok)
        slots_.close(what.call);
    dispatch(what.upstream, now, out);
}

void leaf::on_probed(std::uint64_t id,
                     const base::result<wire::http_reply>& reply,
                     base::instant now)
{
    const auto server = probes_.extract(id).mapped();
    const auto health = reply ? decode_health(*reply) : std::nullopt;
    if (health)
        note_server(server, health->incarnation, health->leaving, health->load,
                    next_probe_ - probe_period, now);
}

// Decides by how a call for subqueries ended.
void leaf::take_outcome(const open_call& call,
                        const base::result<wire::http_reply>& reply,
                        base::instant now, core::effects& out)
{
    using enum model::lack_reason;
    if (!reply)
    {
        const auto code = reply.error().code;
        const bool unsent = code == base::error_code::unreachable;
        const bool late = code == base::error_code::timeout;
        const auto reason = unsent ? unreachable : late ? timeout : failed;
        return take_failure(call, {reason, !unsent, !unsent, false},
                            base::to_string(reply.error()), now, out);
    }
    if (const auto refusal = decode_refusal(*reply))
    {
        note_server(call.server, refusal->incarnation, refusal->leaving, {},
                    call.sent, now);
        return take_failure(call, {refused, false, true},
                            "refused before start: " + refusal->reason, now,
                            out);
    }
    if (reply->status != wire::status_ok)
        return take_failure(call, {failed, true, true},
                            "status " + std::to_string(reply->status), now,
                            out);
    const auto parsed = decode_reply(reply->body);
    if (parsed)
        return take_reply(call, *parsed, now, out);
    ++totals_.bad_answers;
    take_failure(call, {bad_answer, true, true}, parsed.error().text, now, out);
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
        hop.start_us = base::to_us(call.sent - forward.started);
        hop.length_us = base::to_us(now - call.sent);
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

} // namespace mimosacroft::query
