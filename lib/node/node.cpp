// One entry VM without its sockets.
#include "mimosacroft/node/node.hpp"

#include <algorithm>
#include <iterator>

namespace mimosacroft::node
{

namespace
{

query::claims_options claims_of(const fleet::agent_options& fleet,
                                const node_options& options)
{
    query::claims_options out;
    out.retention = options.claim_retention;
    out.require_dated_keys = options.require_dated_keys;
    out.vm = fleet.vm;
    out.incarnation = fleet.incarnation;
    out.platform_address = fleet.platform_address;
    return out;
}

query::claim_sweeper_options sweeper_of(const fleet::agent_options& fleet,
                                        const node_options& options)
{
    query::claim_sweeper_options out;
    out.fleet_period = options.claim_sweep_period;
    out.platform_address = fleet.platform_address;
    return out;
}

} // namespace

node::node(fleet::agent_options fleet, std::uint64_t seed, node_options options)
    : fleet_(std::move(fleet), seed), scatter_(fleet_, seed + 1),
      claims_(claims_of(fleet_.options(), options), seed + 2),
      sweeper_(sweeper_of(fleet_.options(), options), seed + 3,
               [this](base::instant now)
               { return fleet_.take_spare_call(now); }),
      root_(fleet_, scatter_, claims_, options.admission),
      leaf_(fleet_, options.leaf)
{
}

void node::on_search(query::search_request request, base::instant now,
                     core::effects& out)
{
    if (refuses_searches_)
    {
        auto refused = query::blank_answer(request);
        refused.outcome = model::outcome::not_run;
        refused.error = "this VM is stopping";
        answers_.push_back(std::move(refused));
        return;
    }
    root_.start(std::move(request), now, out);
    settle(now, out);
}

void node::on_message(const std::string& from, std::uint64_t incarnation,
                      wire::message msg, base::instant now, core::effects& out)
{
    if (const auto* f = std::get_if<wire::forward>(&msg))
        on_forward(from, *f, now, out);
    else if (const auto* a = std::get_if<wire::forward_answer>(&msg))
        scatter_.on_answer(from, *a, now, out);
    else if (const auto* c = std::get_if<wire::cancel>(&msg))
        on_cancel(from, *c, now, out);
    else if (const auto* n = std::get_if<wire::drain_notice>(&msg))
        on_drain_notice(from, *n, out);
    else
        fleet_.on_message(from, incarnation, msg, now, out);
    settle(now, out);
}

void node::on_forward(const std::string& from, const wire::forward& msg,
                      base::instant now, core::effects& out)
{
    if (draining_ && from != fleet_.options().vm)
        return refuse_forward(from, msg, out);
    std::vector<wire::shard_task> own;
    std::vector<wire::shard_task> foreign;
    for (const auto& it : msg.shards)
        (fleet_.ownership().owns(it.upstream) ? own : foreign).push_back(it);
    if (!own.empty())
        leaf_.on_forward(from, msg, std::move(own), now, out);
    if (!foreign.empty())
        relay(from, msg, std::move(foreign), now, out);
}

// The notice goes first, so that the root knows why and asks another VM.
void node::refuse_forward(const std::string& from, const wire::forward& msg,
                          core::effects& out)
{
    fleet_.send(from, wire::drain_notice{fleet_.options().incarnation}, out);
    wire::forward_answer refused{msg.query, msg.attempt, msg.epoch, {}, {}};
    for (const auto& it : msg.shards)
    {
        auto& report = refused.shards.emplace_back();
        report.shard = it.shard;
        report.lack = static_cast<std::uint8_t>(model::lack_reason::refused);
    }
    fleet_.send(from, std::move(refused), out);
}

void node::on_drain_notice(const std::string& from,
                           const wire::drain_notice& msg, core::effects& out)
{
    if (fleet_.is_draining(from))
        return;
    fleet_.note_draining(from, msg.incarnation);
    out.emplace_back(
        core::log_event{core::event_id::peer_draining, {{"peer", from}}});
}

void node::relay(const std::string& from, const wire::forward& msg,
                 std::vector<wire::shard_task> tasks, base::instant now,
                 core::effects& out)
{
    if (msg.hops_left == 0)
    {
        wire::forward_answer refused{msg.query, msg.attempt, msg.epoch, {}, {}};
        for (const auto& it : tasks)
        {
            auto& report = refused.shards.emplace_back();
            report.shard = it.shard;
            report.lack =
                static_cast<std::uint8_t>(model::lack_reason::no_server);
        }
        return fleet_.send(from, std::move(refused), out);
    }
    query::scatter_job job;
    job.request = msg;
    job.request.shards.clear();
    job.request.hops_left = static_cast<std::uint8_t>(msg.hops_left - 1);
    job.request.parent_span = 0;
    job.tasks = std::move(tasks);
    job.deadline = now + base::milliseconds(msg.budget_ms);
    const auto id = scatter_.start(std::move(job), now, out);
    relayed_[id] = {from, msg.query, msg.attempt, msg.epoch};
    relay_jobs_[{from, msg.query, msg.attempt}] = id;
}

// Takes a relayed forward out of the books.
node::relayed node::end_relay(std::uint64_t job)
{
    auto out = std::move(relayed_.extract(job).mapped());
    const auto it = relay_jobs_.find({out.from, out.query, out.attempt});
    // The same forward may have come again and be open as another job.
    if (it != relay_jobs_.end() && it->second == job)
        relay_jobs_.erase(it);
    return out;
}

void node::on_cancel(const std::string& from, const wire::cancel& msg,
                     base::instant now, core::effects& out)
{
    leaf_.on_cancel(from, msg, now, out);
    const auto it = relay_jobs_.find({from, msg.query, msg.attempt});
    if (it == relay_jobs_.end())
        return;
    const auto job = it->second;
    scatter_.abandon(job, now, out);
    end_relay(job);
}

void node::on_link_down(const std::string& vm, bool was_up, base::instant now,
                        core::effects& out)
{
    out.emplace_back(
        core::log_event{core::event_id::peer_lost,
                        {{"peer", vm}, {"was_up", was_up ? "yes" : "no"}}});
    scatter_.on_peer_lost(vm, was_up, now, out);
    settle(now, out);
}

void node::on_http_reply(core::call_owner owner, std::uint64_t id,
                         const base::result<wire::http_reply>& reply,
                         base::instant now, core::effects& out)
{
    if (owner == core::call_owner::leaf)
        leaf_.on_http_reply(id, reply, now, out);
    else if (owner == core::call_owner::fleet)
        fleet_.on_http_reply(id, reply, now, out);
    else if (owner == core::call_owner::claims)
        claims_.on_http_reply(id, reply, now, out);
    else if (owner == core::call_owner::sweeper)
        sweeper_.on_http_reply(id, reply, now, out);
    settle(now, out);
}

void node::on_wall_clock(std::int64_t seconds, base::instant now)
{
    sweeper_.on_wall_clock(seconds, now);
}

void node::on_tick(base::instant now, core::effects& out)
{
    fleet_.on_tick(now, out);
    leaf_.on_tick(now, out);
    scatter_.on_tick(now, out);
    claims_.on_tick(now, out);
    sweeper_.on_tick(fleet_.view().entries().size(), now, out);
    root_.on_tick(now);
    settle(now, out);
}

base::instant node::next_wakeup() const
{
    return std::min({fleet_.next_wakeup(), leaf_.next_wakeup(),
                     scatter_.next_wakeup(), claims_.next_wakeup(),
                     sweeper_.next_wakeup(), root_.next_wakeup()});
}

void node::begin_drain(base::instant, core::effects& out)
{
    draining_ = true;
    sweeper_.stop();
    for (const auto& it : fleet_.view().entries())
        if (it.vm != fleet_.options().vm)
            fleet_.send(it.vm, wire::drain_notice{fleet_.options().incarnation},
                        out);
}

bool node::idle() const
{
    return root_.open() == 0 && leaf_.open() == 0 && relayed_.empty() &&
           claims_.open() == 0;
}

std::vector<query::search_answer> node::take_answers()
{
    return std::exchange(answers_, {});
}

// Passes results on between the parts until nothing moves any more.
void node::settle(base::instant now, core::effects& out)
{
    while (settle_once(now, out))
    {
    }
}

bool node::settle_once(base::instant now, core::effects& out)
{
    bool moved = false;
    for (auto& decision : claims_.take_decisions())
    {
        if (decision.verdict == query::claim_verdict::won)
            sweeper_.on_claim_won(now);
        root_.on_claim(decision, now, out);
        moved = true;
    }
    for (const auto claim : claims_.take_closed())
        root_.on_claim_closed(claim);
    for (auto& answer : leaf_.take_answers())
    {
        // The leaf's spans stand right below the span of its forward.
        for (auto& it : answer.msg.spans)
            if (it.parent == answer.msg.attempt)
                it.parent = 0;
        fleet_.send(answer.to, std::move(answer.msg), out);
        moved = true;
    }
    for (auto& result : scatter_.take_finished())
    {
        moved = true;
        if (root_.on_scattered(result, now, out))
            continue;
        if (!relayed_.contains(result.job))
            continue;
        const auto to = end_relay(result.job);
        fleet_.send(to.from,
                    wire::forward_answer{to.query, to.attempt, to.epoch,
                                         std::move(result.reports),
                                         std::move(result.spans)},
                    out);
    }
    std::ranges::move(root_.take_answers(), std::back_inserter(answers_));
    return loop_back(now, out) || moved;
}

// Messages that the VM sends to itself do not leave it.
bool node::loop_back(base::instant now, core::effects& out)
{
    const auto& self = fleet_.options().vm;
    bool moved = false;
    for (;; moved = true)
    {
        const auto it =
            std::ranges::find_if(out,
                                 [&self](const core::effect& e)
                                 {
                                     const auto* sent =
                                         std::get_if<core::send_peer>(&e);
                                     return sent && sent->vm == self;
                                 });
        if (it == out.end())
            return moved;
        auto msg = std::move(std::get<core::send_peer>(*it).msg);
        out.erase(it);
        if (const auto* f = std::get_if<wire::forward>(&msg))
            on_forward(self, *f, now, out);
        else if (const auto* a = std::get_if<wire::forward_answer>(&msg))
            scatter_.on_answer(self, *a, now, out);
        else if (const auto* c = std::get_if<wire::cancel>(&msg))
            on_cancel(self, *c, now, out);
    }
}

} // namespace mimosacroft::node
