// The fleet's side of one VM.
#include "mimosacroft/fleet/agent.hpp"

#include "mimosacroft/fleet/platform_codec.hpp"

#include <algorithm>

namespace mimosacroft::fleet
{

namespace
{

/// Peers that get a digest each period.
constexpr std::size_t gossip_fanout = 3;

} // namespace

agent::agent(agent_options options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed),
      ownership_(options_.vm, options_.ownership)
{
}

base::instant agent::next_wakeup() const
{
    return std::min({next_watch_, next_view_, next_gossip_});
}

void agent::on_tick(base::instant now, core::effects& out)
{
    if (now >= next_watch_)
        call_platform(request_kind::watch, now, out);
    if (now >= next_view_)
        call_platform(request_kind::view, now, out);
    if (now >= next_gossip_)
        gossip(now, out);
}

void agent::call_platform(request_kind kind, base::instant now,
                          core::effects& out)
{
    const bool watch = kind == request_kind::watch;
    core::http_call call;
    call.owner = core::call_owner::fleet;
    call.id = ++last_call_;
    call.address = options_.platform_address;
    call.deadline = now + options_.platform_timeout;
    call.request.path = watch ? "/v1/changes" : "/v1/vms";
    if (watch)
    {
        call.deadline += options_.watch_wait;
        call.request.query =
            "after=" + std::to_string(store_.through()) +
            "&wait_ms=" + std::to_string(options_.watch_wait.count()) +
            "&kinds=search,upstream,index,rule";
        next_watch_ = base::never;
    }
    else
        next_view_ = base::never;
    calls_[call.id] = kind;
    out.emplace_back(std::move(call));
}

void agent::on_http_reply(std::uint64_t id,
                          const base::result<wire::http_reply>& reply,
                          base::instant now, core::effects& out)
{
    const auto it = calls_.find(id);
    if (it == calls_.end())
        return;
    const auto kind = it->second;
    calls_.erase(it);
    const bool ok = reply && reply->status == 200;
    note_platform(ok, now, out);
    if (kind == request_kind::watch)
    {
        next_watch_ = ok ? now : now + options_.platform_retry;
        if (ok)
            take_objects(reply->body, now, out);
        return;
    }
    next_view_ = now + options_.view_period;
    if (!ok)
        return;
    auto parsed = parse_vms(reply->body);
    if (!parsed)
        return;
    take_view(parsed->version, std::move(parsed->entries), now, out);
    ownership_.confirm(now);
}

void agent::note_platform(bool ok, base::instant now, core::effects& out)
{
    if (ok)
        platform_heard_ = now;
    if (ok == platform_ok_)
        return;
    platform_ok_ = ok;
    out.emplace_back(core::log_event{
        ok ? core::event_id::platform_back : core::event_id::platform_lost,
        {{"platform", options_.platform_address}}});
}

void agent::take_objects(const std::string& body, base::instant now,
                         core::effects& out)
{
    const auto parsed = parse_changes(body);
    if (parsed)
        on_config(*parsed, now, out);
}

void agent::on_config(const wire::config_push& msg, base::instant now,
                      core::effects& out)
{
    for (const auto& entry : msg.entries)
        apply(entry, out);
    store_.hold_through(msg.through);
    ownership_.update(view_, catalog(), now);
}

void agent::apply(const wire::config_entry& entry, core::effects& out)
{
    const auto done = store_.apply(entry);
    if (done == apply_result::older)
        return;
    core::log_event event{done == apply_result::applied
                              ? core::event_id::config_applied
                              : core::event_id::config_refused,
                          {{"kind", entry.kind},
                           {"name", entry.name},
                           {"version", std::to_string(entry.version)}}};
    if (done == apply_result::refused)
        event.fields.emplace_back(
            "reason", store_.refusals().at({entry.kind, entry.name}).reason);
    out.emplace_back(std::move(event));
}

void agent::on_view(const wire::view_push& msg, base::instant now,
                    core::effects& out)
{
    take_view(msg.version, msg.entries, now, out);
}

void agent::take_view(std::uint64_t version,
                      std::vector<wire::view_entry> entries, base::instant now,
                      core::effects& out)
{
    if (version <= view_.version())
        return;
    view_ = fleet::view(version, std::move(entries));
    ownership_.update(view_, catalog(), now);
    out.emplace_back(
        core::log_event{core::event_id::view_changed,
                        {{"version", std::to_string(version)},
                         {"vms", std::to_string(view_.entries().size())}}});
}

wire::digest agent::make_digest(std::uint64_t sequence, bool ack) const
{
    wire::digest out;
    out.sequence = sequence;
    out.ack = ack;
    out.config_version = store_.through();
    out.view_version = view_.version();
    for (const auto& [server, incarnation] : leaving_)
        out.leaving.push_back({server, incarnation});
    return out;
}

void agent::gossip(base::instant now, core::effects& out)
{
    next_gossip_ = now + options_.gossip_period;
    std::vector<std::string> others;
    for (const auto& entry : view_.entries())
        if (entry.vm != options_.vm)
            others.push_back(entry.vm);
    if (others.empty())
        return;
    std::ranges::shuffle(others, random_);
    if (others.size() > gossip_fanout)
        others.resize(gossip_fanout);
    for (const auto& vm : others)
        send(vm, make_digest(++sequence_, false), out);
}

void agent::send(const std::string& vm, wire::message msg, core::effects& out)
{
    if (const auto* entry = view_.find(vm))
        out.emplace_back(
            core::send_peer{vm, entry->peer_address, std::move(msg)});
}

void agent::on_digest(const std::string& from, std::uint64_t incarnation,
                      const wire::digest& msg, base::instant now,
                      core::effects& out)
{
    peers_[from] = {incarnation, msg.config_version, now};
    for (const auto& mark : msg.leaving)
        mark_leaving(mark.server, mark.incarnation);
    const auto* sender = view_.find(from);
    if (sender && sender->data_centre == options_.data_centre &&
        msg.view_version == view_.version())
        ownership_.confirm(now);
    if (!msg.ack)
        send(from, make_digest(msg.sequence, true), out);
    if (msg.config_version < store_.through())
        send(from,
             wire::config_push{store_.through(),
                               store_.entries_after(msg.config_version)},
             out);
    if (msg.view_version < view_.version())
        send(from, wire::view_push{view_.version(), view_.entries()}, out);
}

bool agent::is_leaving(const std::string& server,
                       const std::string& incarnation) const
{
    return leaving_.contains({server, incarnation});
}

void agent::mark_leaving(const std::string& server,
                         const std::string& incarnation)
{
    leaving_.emplace(server, incarnation);
}

} // namespace mimosacroft::fleet
