// The fleet's side of one VM: the platform, the configuration and the views.
#include "mimosacroft/fleet/agent.hpp"

#include "mimosacroft/fleet/platform_codec.hpp"
#include "mimosacroft/model/store_era.hpp"

#include <algorithm>
#include <ranges>

namespace mimosacroft::fleet
{

namespace
{

/// Views that are kept to send peers only what changed.
constexpr std::size_t max_older_views = 16;

/// When a call is tried again that the budget did not allow.
constexpr base::milliseconds budget_retry{250};

/// After such a time without an answer the platform is read from the beginning,
/// since a store that came back older may have passed the versions known here.
constexpr base::seconds reread_after{2};

/// Older lists in a row after which the platform's list itself is older.
constexpr unsigned lists_until_older = 3;

/// Versions of the platform's list in one generation. The version of a view is
/// the platform's plus one span for each older list that was taken up, so that
/// views have one order.
constexpr std::uint64_t generation_span = 1'000'000'000'000;

constexpr auto watched_kinds = "search,upstream,index,rule";

platform_options platform_options_of(const agent_options& it)
{
    platform_options out;
    out.address = it.platform_address;
    out.timeout = it.platform_timeout;
    out.first_retry = it.platform_retry;
    return out;
}

view_lease_options lease_options_of(const agent_options& it)
{
    view_lease_options out;
    out.view_ttl = it.ownership.view_ttl;
    out.orphan_wait = it.ownership.orphan_wait;
    return out;
}

core::log_event event_of(core::event_id id, const wire::config_entry& entry)
{
    return {id,
            {{"kind", entry.kind},
             {"name", entry.name},
             {"version", std::to_string(entry.version)}}};
}

core::log_event refused_reply(const std::string& reason)
{
    return {core::event_id::platform_reply_refused,
            {{"step", "receive"}, {"reason", reason}}};
}

} // namespace

agent::agent(agent_options options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed),
      lease_(options_.vm, options_.data_centre, lease_options_of(options_)),
      ownership_(options_.vm, options_.ownership),
      platform_(platform_options_of(options_), seed + 1)
{
}

base::instant agent::next_wakeup() const
{
    if (!unsent_marks_.empty())
        return {};
    return std::min(
        {next_watch_, next_view_, next_gossip_, lease_.next_wakeup()});
}

bool agent::watches(base::instant now) const
{
    const auto rank = view_.rank_of(options_.vm);
    if (!rank || *rank < watchers_per_data_centre)
        return true;
    const auto since = lease_.ever_confirmed() ? lease_.confirmed() : started_;
    return now - since > options_.watcher_silence;
}

void agent::on_tick(base::instant now, core::effects& out)
{
    if (started_ == base::never)
        started_ = now;
    latest_ = now;
    if (now >= next_watch_)
        call_platform(request_kind::watch, now, out);
    if (now >= next_view_)
        call_platform(request_kind::view, now, out);
    std::vector<view_lease::outgoing> asks;
    lease_.on_tick(now, asks);
    send_lease(asks, out);
    push_marks(out);
    if (now >= next_gossip_)
        gossip(now, out);
    sync_ownership(now);
}

void agent::call_platform(request_kind kind, base::instant now,
                          core::effects& out)
{
    const bool watch = kind == request_kind::watch;
    auto& next = watch ? next_watch_ : next_view_;
    if (!watches(now))
    {
        next = now + options_.gossip_period;
        return;
    }
    std::uint64_t id = 0;
    if (watch)
    {
        const auto wait =
            cursor_.in_doubt() ? base::milliseconds(0) : options_.watch_wait;
        id = platform_.get(
            "/v1/changes",
            "after=" + std::to_string(model::store_version(cursor_.after())) +
                "&wait_ms=" + std::to_string(wait.count()) +
                "&kinds=" + watched_kinds,
            wait, now, out);
    }
    else
    {
        const bool sure = list_read_ != base::never && older_lists_ == 0 &&
                          now - list_read_ <= reread_after;
        const auto after = sure ? view_.version() % generation_span : 0;
        id = platform_.get("/v1/vms", "after=" + std::to_string(after),
                           base::milliseconds(0), now, out);
    }
    next = id == 0 ? now + budget_retry : base::never;
    if (id != 0)
        calls_[id] = {kind, now, cursor_.after()};
}

void agent::on_http_reply(std::uint64_t id,
                          const base::result<wire::http_reply>& reply,
                          base::instant now, core::effects& out)
{
    const auto it = calls_.find(id);
    if (it == calls_.end())
        return;
    const auto call = it->second;
    calls_.erase(it);
    const bool ok = reply && reply->status == wire::status_ok;
    const bool watch = call.kind == request_kind::watch;
    const auto heard = platform_.heard();
    if (ok && heard != base::never && now - heard > reread_after)
        cursor_.restart();
    if (!ok && !watch)
        list_read_ = base::never;
    platform_.note_reply(ok, now, out);
    if (ok && watch)
        take_changes(call, reply->body, now, out);
    else if (ok)
        take_vms(call, reply->body, now, out);
    if (watch)
        next_watch_ = platform_.next_call(
            cursor_.in_doubt() ? options_.platform_retry : base::duration{},
            now);
    else
        next_view_ = platform_.next_call(options_.view_period, now);
    sync_ownership(now);
}

void agent::take_changes(const open_call& call, const std::string& body,
                         base::instant now, core::effects& out)
{
    const auto parsed = parse_changes(body);
    if (!parsed)
        return out.push_back(refused_reply(parsed.error().text));
    const bool first = store_.through() == 0;
    wire::config_push news;
    news.from = store_.last_change(store_.through());
    for (const auto& entry : parsed->entries)
        if (apply(entry, true, out))
            news.entries.push_back(entry);
    if (take_cursor(call, parsed->through, out))
        store_.hold_through(parsed->through);
    news.through = store_.through();
    ownership_.update(view_, catalog(), now);
    if (!first && !news.entries.empty())
        push_config(news, {}, out);
}

// Whether the answer is complete up to its version.
bool agent::take_cursor(const open_call& call, std::uint64_t version,
                        core::effects& out)
{
    const auto done = cursor_.take(call.after, version);
    if (done == watch_answer::first_stale || done == watch_answer::store_older)
        out.emplace_back(core::log_event{
            done == watch_answer::first_stale ? core::event_id::platform_stale
                                              : core::event_id::platform_older,
            {{"version", std::to_string(version)},
             {"seen", std::to_string(call.after)}}});
    return done == watch_answer::current;
}

void agent::take_vms(const open_call& call, const std::string& body,
                     base::instant now, core::effects& out)
{
    const auto parsed = parse_vms(body);
    if (!parsed)
        return out.push_back(refused_reply(parsed.error().text));
    if (parsed->version >= generation_span)
        return out.push_back(refused_reply("version of the list too large"));
    list_read_ = now;
    if (!take_list(*parsed, now, out))
        return;
    older_lists_ = 0;
    std::vector<view_lease::outgoing> answers;
    lease_.on_platform(call.asked, now, answers);
    send_lease(answers, out);
}

// Whether the list in use is the platform's now.
bool agent::take_list(const wire::view_push& list, base::instant now,
                      core::effects& out)
{
    const auto held = view_.version() % generation_span;
    // The list that was asked about may have been replaced meanwhile.
    if (list.base != 0)
        return list.version == held;
    const auto version = view_.version() - held + list.version;
    fleet::view next(version, list.entries);
    if (version == view_.version() && next.entries() == view_.entries())
        return true;
    if (version <= view_.version())
        return take_older_list(list, now, out);
    take_view(std::move(next), now, out);
    push_view({}, out);
    return true;
}

// A list without VMs says nothing about which ones are gone.
bool agent::take_older_list(const wire::view_push& list, base::instant now,
                            core::effects& out)
{
    if (++older_lists_ == 1)
        out.emplace_back(
            core::log_event{core::event_id::view_older,
                            {{"version", std::to_string(list.version)},
                             {"in_use", std::to_string(view_.version())}}});
    if (older_lists_ < lists_until_older || list.entries.empty())
        return false;
    const auto generation = view_.version() / generation_span + 1;
    take_view({generation * generation_span + list.version, list.entries}, now,
              out);
    push_view({}, out);
    return true;
}

void agent::on_config(const wire::config_push& msg, base::instant now,
                      core::effects& out, const std::string& from)
{
    const bool first = store_.through() == 0;
    wire::config_push news;
    news.from = msg.from;
    for (const auto& entry : msg.entries)
        if (apply(entry, false, out))
            news.entries.push_back(entry);
    const bool gap = msg.from > store_.through();
    if (!gap)
        store_.hold_through(msg.through);
    else if (!from.empty())
        // The sender answers a digest with what is missing.
        send(from, make_digest(0, true, now), out);
    news.through = store_.through();
    ownership_.update(view_, catalog(), now);
    if (!first && !news.entries.empty() && !from.empty())
    {
        news.from = std::min(news.from, news.through);
        push_config(news, from, out);
    }
}

bool agent::apply(const wire::config_entry& entry, bool by_platform,
                  core::effects& out)
{
    const auto done = store_.apply(entry);
    const auto* held = store_.find(entry.kind, entry.name);
    if (done == apply_result::older)
    {
        if (!by_platform || held->version == entry.version)
            return false;
        auto event = event_of(core::event_id::object_older, entry);
        event.fields.emplace_back("in_force", std::to_string(held->version));
        out.emplace_back(std::move(event));
        return false;
    }
    auto event =
        event_of(done == apply_result::applied ? core::event_id::config_applied
                                               : core::event_id::config_refused,
                 entry);
    if (done == apply_result::refused)
        event.fields.emplace_back(
            "reason", store_.refusals().at({entry.kind, entry.name}).reason);
    out.emplace_back(std::move(event));
    return true;
}

void agent::on_view(const wire::view_push& msg, base::instant now,
                    core::effects& out, const std::string& from)
{
    if (msg.version <= view_.version())
        return;
    std::optional<fleet::view> next;
    if (msg.base == 0)
        next.emplace(msg.version, msg.entries);
    else if (msg.base == view_.version())
        next = view_.changed_by(msg);
    if (!next)
    {
        // A digest with the version held gets what is missing, and one without
        // a version the whole list.
        auto ask = make_digest(0, true, now);
        if (msg.base == view_.version())
            ask.view_version = 0;
        if (!from.empty())
            send(from, std::move(ask), out);
        return;
    }
    take_view(std::move(*next), now, out);
    if (!from.empty())
        push_view(from, out);
    sync_ownership(now);
}

void agent::take_view(fleet::view next, base::instant now, core::effects& out)
{
    if (view_.version() > 0)
        older_views_.push_back(std::move(view_));
    if (older_views_.size() > max_older_views)
        older_views_.pop_front();
    view_ = std::move(next);
    lease_.on_view(view_, now);
    ownership_.expire(now);
    ownership_.set_settled(false, now);
    ownership_.update(view_, catalog(), now);
    members_.keep_only(view_);
    out.emplace_back(
        core::log_event{core::event_id::view_changed,
                        {{"version", std::to_string(view_.version())},
                         {"vms", std::to_string(view_.entries().size())}}});
}

void agent::sync_ownership(base::instant now)
{
    ownership_.set_settled(lease_.settled(), now);
    if (lease_.ever_confirmed())
        ownership_.confirm(lease_.confirmed());
}

bool agent::is_foreign(const std::string& vm) const
{
    const auto* entry = view_.find(vm);
    return entry && entry->data_centre != options_.data_centre;
}

// Whether news came into the data centre by this VM; by the platform, if from
// nobody.
bool agent::enters_here(const std::string& from) const
{
    return from.empty() || is_foreign(from);
}

// The next VMs on the way of news through the data centre: first the watchers,
// from these along the tree of the lease, in which each VM has two parents.
std::vector<std::string> agent::push_targets(const std::string& from) const
{
    const auto members = view_.members_of(options_.data_centre);
    const auto rank = view_.rank_of(options_.vm);
    const bool watcher = rank && *rank < watchers_per_data_centre;
    std::vector<std::string> out;
    if (watcher || enters_here(from))
        std::ranges::copy(members | std::views::take(watchers_per_data_centre),
                          std::back_inserter(out));
    if (rank)
        for (const auto it : view_lease::children_of(*rank, members.size()))
            out.push_back(members[it]);
    // A VM that leaves has no place in the tree.
    if (watcher)
        for (const auto& it : view_.entries())
            if (it.data_centre == options_.data_centre && it.leaving)
                out.push_back(it.vm);
    std::erase_if(out, [&](const std::string& it)
                  { return it == options_.vm || it == from; });
    return out;
}

void agent::push_config(const wire::config_push& news, const std::string& from,
                        core::effects& out)
{
    auto targets = push_targets(from);
    if (enters_here(from))
        std::ranges::copy(
            one_of_each_other_data_centre(watchers_per_data_centre),
            std::back_inserter(targets));
    for (const auto& part : split_push(news, max_push_bytes))
        for (const auto& vm : targets)
            send(vm, part, out);
}

wire::view_push agent::view_for(std::uint64_t version) const
{
    const auto older =
        std::ranges::find(older_views_, version, &fleet::view::version);
    if (older != older_views_.end())
        return view_.changes_since(*older);
    return view_.to_push();
}

// A VM that learns its first view is the one that was behind.
void agent::push_view(const std::string& from, core::effects& out)
{
    if (older_views_.empty())
        return;
    const auto push = view_for(older_views_.back().version());
    for (const auto& vm : push_targets(from))
        send(vm, push, out);
}

std::vector<std::string> agent::neighbours() const
{
    auto out = view_.all_of(options_.data_centre);
    std::erase(out, options_.vm);
    return out;
}

// Drawn from the first VMs of each data centre, at most `most` of them.
std::vector<std::string> agent::one_of_each_other_data_centre(std::size_t most)
{
    std::vector<std::string> out;
    for (const auto& data_centre : view_.data_centres())
    {
        const auto all = view_.members_of(data_centre);
        const auto n = std::min(all.size(), most);
        if (data_centre != options_.data_centre && n > 0)
            out.push_back(all[random_() % n]);
    }
    return out;
}

std::string agent::address_of(const std::string& vm) const
{
    const auto* entry = view_.find(vm);
    // A VM that left the list asks with the older one until it hears so.
    for (auto it = older_views_.rbegin(); !entry && it != older_views_.rend();
         ++it)
        entry = it->find(vm);
    if (entry)
        return entry->peer_address;
    const auto stranger = strangers_.find(vm);
    return stranger == strangers_.end() ? std::string() : stranger->second;
}

void agent::send(const std::string& vm, wire::message msg,
                 core::effects& out) const
{
    auto address = address_of(vm);
    if (!address.empty())
        out.emplace_back(
            core::send_peer{vm, std::move(address), std::move(msg)});
}

void agent::send_lease(std::vector<view_lease::outgoing>& all,
                       core::effects& out)
{
    for (auto& [vm, msg] : all)
        send(vm, std::move(msg), out);
}

} // namespace mimosacroft::fleet
