// The fleet's side of one VM: the exchange with peers.
#include "mimosacroft/fleet/agent.hpp"

#include <algorithm>
#include <ranges>
#include <set>

namespace mimosacroft::fleet
{

namespace
{

/// Rows about members in one digest.
constexpr std::size_t max_rows = 4;

/// Data centres with more VMs than this spare their watchers the rows.
constexpr std::size_t small_data_centre = 2 * watchers_per_data_centre;

/// VMs in one digest that the sender cannot reach.
constexpr std::size_t max_doubts = 3;

/// Marks that are younger than this travel with every digest.
constexpr base::seconds recent_marks{5};
constexpr std::size_t max_recent_marks = 16;

/// Pause between two full exchanges with peers whose objects differ.
constexpr base::seconds repair_pause{10};

/// Pause between two rounds of asking VMs for their version, and VMs in each.
constexpr base::milliseconds ask_pause{500};
constexpr std::size_t max_asked = 128;

/// VMs outside the list that are remembered.
constexpr std::size_t max_strangers = 64;

core::log_event leaving_event(const wire::leaving_mark& mark,
                              const std::string& peer)
{
    return {core::event_id::server_leaving,
            {{"server", mark.server},
             {"incarnation", mark.incarnation},
             {"peer", peer}}};
}

} // namespace

bool agent::on_message(const std::string& from, std::uint64_t incarnation,
                       const wire::message& msg, base::instant now,
                       core::effects& out)
{
    latest_ = now;
    std::vector<view_lease::outgoing> answers;
    if (const auto* d = std::get_if<wire::digest>(&msg))
        on_digest(from, incarnation, *d, now, out);
    else if (const auto* c = std::get_if<wire::config_push>(&msg))
        on_config(*c, now, out, from);
    else if (const auto* v = std::get_if<wire::view_push>(&msg))
        on_view(*v, now, out, from);
    else if (const auto* l = std::get_if<wire::leaving_push>(&msg))
        take_marks(l->marks, from, now, out);
    else if (const auto* q = std::get_if<wire::view_ask>(&msg))
    {
        if (q->view_version < view_.version())
            send(from, view_for(q->view_version), out);
        lease_.on_ask(from, *q, now, answers);
    }
    else if (const auto* a = std::get_if<wire::view_answer>(&msg))
        lease_.on_answer(from, *a, now, answers);
    else
        return false;
    send_lease(answers, out);
    sync_ownership(now);
    return true;
}

void agent::gossip(base::instant now, core::effects& out)
{
    next_gossip_ = now + options_.gossip_period;
    ++heartbeat_;
    leaving_.expire(now);
    members_.on_tick(now);
    if (view_.version() == 0)
        for (const auto& seed : options_.seeds)
            strangers_[seed.vm] = seed.peer_address;
    askers_.clear();
    auto targets = gossip_targets();
    std::ranges::copy(members_.unsuspected_doubts(now) |
                          std::views::take(max_doubts),
                      std::back_inserter(targets));
    std::ranges::sort(targets);
    const auto same = std::ranges::unique(targets);
    targets.erase(same.begin(), same.end());
    for (const auto& vm : targets)
        probe(vm, now, out);
}

// One VM of the own data centre and one of another one.
std::vector<std::string> agent::gossip_targets()
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    const auto& all = view_.version() == 0 ? options_.seeds : view_.entries();
    for (const auto& it : all)
        if (it.vm != options_.vm)
            (it.data_centre == options_.data_centre ? near : far)
                .push_back(it.vm);
    std::vector<std::string> out;
    for (const auto* some : {&near, &far})
        if (!some->empty())
            out.push_back((*some)[random_() % some->size()]);
    return out;
}

// Watchers have the calls to the platform to pay for, and the first pushes. In
// a small data centre most VMs are watchers, and the fleet needs their rows.
std::size_t agent::rows_in_digest() const
{
    const auto rank = view_.rank_of(options_.vm);
    if (!rank || *rank >= watchers_per_data_centre)
        return max_rows;
    const auto vms = view_.members_of(options_.data_centre).size();
    return vms > small_data_centre ? 0 : max_rows;
}

void agent::probe(const std::string& vm, base::instant now, core::effects& out)
{
    const auto sequence = ++sequence_;
    members_.on_probe_sent(vm, sequence, now);
    send(vm, make_digest(sequence, false, now, {vm}), out);
}

void agent::ask_behind(std::uint64_t version, base::instant now,
                       core::effects& out)
{
    if (now < next_ask_)
        return;
    next_ask_ = now + ask_pause;
    const auto& all = view_.entries();
    std::size_t n = 0;
    // Turns go round the list, so that VMs which never answer block no other.
    for (std::size_t k = 0; k < all.size() && n < max_asked; ++k)
    {
        const auto& vm = all[asked_++ % all.size()].vm;
        const auto* known = members_.find(vm);
        if (vm == options_.vm || (known && known->config_version >= version))
            continue;
        probe(vm, now, out);
        ++n;
    }
}

// The receiver learns nothing from rows about the VMs in `known`.
wire::digest agent::make_digest(std::uint64_t sequence, bool ack,
                                base::instant now,
                                const std::set<std::string>& known) const
{
    wire::digest out;
    out.sequence = sequence;
    out.ack = ack;
    if (!view_.find(options_.vm))
        out.address = options_.peer_address;
    out.heartbeat = heartbeat_;
    out.config_version = store_.through();
    out.fingerprint = store_.fingerprint();
    out.view_version = view_.version();
    out.members = members_.newest_rows(rows_in_digest(), known, now);
    out.doubts = members_.doubted();
    if (out.doubts.size() > max_doubts)
        out.doubts.resize(max_doubts);
    out.marks = leaving_.fingerprint();
    out.leaving = leaving_.marks(recent_marks, now);
    if (out.leaving.size() > max_recent_marks)
        out.leaving.resize(max_recent_marks);
    return out;
}

void agent::on_digest(const std::string& from, std::uint64_t incarnation,
                      const wire::digest& msg, base::instant now,
                      core::effects& out)
{
    forget_ended_drain(from, incarnation);
    if (!msg.address.empty() && strangers_.size() < max_strangers)
        strangers_[from] = msg.address;
    members_.on_direct(from,
                       {incarnation, msg.config_version, now, msg.heartbeat});
    if (msg.ack)
    {
        members_.on_probe_answered(from, msg.sequence);
        tell_askers(from, now, out);
    }
    for (const auto& row : msg.members)
        if (row.vm != options_.vm && view_.find(row.vm))
            members_.on_row(row, now);
    take_marks(msg.leaving, from, now, out);
    if (!msg.ack)
        answer_digest(from, msg, now, out);
    mend_peer(from, msg, now, out);
}

void agent::answer_digest(const std::string& from, const wire::digest& msg,
                          base::instant now, core::effects& out)
{
    std::set<std::string> known{from};
    for (const auto& row : msg.members)
        known.insert(row.vm);
    auto answer = make_digest(msg.sequence, true, now, known);
    for (const auto& vm : msg.doubts)
    {
        if (vm == options_.vm || !view_.find(vm))
            continue;
        if (members_.find(vm))
            answer.members.push_back(members_.row_of(vm, now));
        askers_[vm].insert(from);
        probe(vm, now, out);
    }
    send(from, std::move(answer), out);
}

// Passes the word of a VM on to the ones that doubt it.
void agent::tell_askers(const std::string& vm, base::instant now,
                        core::effects& out)
{
    const auto it = askers_.find(vm);
    if (it == askers_.end())
        return;
    auto news = make_digest(0, true, now);
    news.members = {members_.row_of(vm, now)};
    for (const auto& asker : it->second)
        send(asker, news, out);
    askers_.erase(it);
}

// Sends a peer what it lacks.
void agent::mend_peer(const std::string& from, const wire::digest& msg,
                      base::instant now, core::effects& out)
{
    // A VM without any configuration asks one peer at a time for it.
    const bool asks = !msg.ack || msg.config_version > 0;
    const auto through = store_.through();
    const auto push_after = [&](std::uint64_t version)
    {
        for (auto& part : store_.pushes_after(version, max_push_bytes))
            send(from, std::move(part), out);
    };
    if (asks && msg.config_version < through)
        push_after(msg.config_version);
    if (msg.config_version == through && through > 0 &&
        msg.fingerprint != store_.fingerprint() && now >= next_repair_)
    {
        next_repair_ = now + repair_pause;
        out.emplace_back(core::log_event{
            core::event_id::config_repaired,
            {{"peer", from}, {"version", std::to_string(through)}}});
        push_after(0);
    }
    if (msg.view_version < view_.version())
        send(from, view_for(msg.view_version), out);
    if (msg.marks != leaving_.fingerprint() && leaving_.size() > 0 &&
        (!msg.ack || msg.marks != 0))
        send(from,
             wire::leaving_push{leaving_.marks(leaving_set::retention, now)},
             out);
}

void agent::note_draining(const std::string& vm, std::uint64_t incarnation)
{
    draining_[vm] = incarnation;
}

// A VM that speaks as another process than the one that drained takes work.
void agent::forget_ended_drain(const std::string& vm, std::uint64_t incarnation)
{
    const auto it = draining_.find(vm);
    if (it != draining_.end() && it->second != incarnation)
        draining_.erase(it);
}

bool agent::is_leaving(const std::string& server,
                       const std::string& incarnation) const
{
    return leaving_.contains(server, incarnation);
}

bool agent::is_leaving(const std::string& server) const
{
    return leaving_.bars(server);
}

void agent::note_incarnation(const std::string& server,
                             const std::string& incarnation,
                             base::instant asked)
{
    leaving_.note_incarnation(server, incarnation, asked);
}

void agent::mark_leaving(const std::string& server,
                         const std::string& incarnation, base::instant asked)
{
    leaving_.note_incarnation(server, incarnation, asked);
    if (leaving_.add({server, incarnation, 0}, latest_))
        unsent_marks_.push_back({server, incarnation, 0});
}

void agent::push_marks(core::effects& out)
{
    if (unsent_marks_.empty())
        return;
    const auto marks = std::exchange(unsent_marks_, {});
    for (const auto& it : marks)
        out.emplace_back(leaving_event(it, it.server));
    auto targets = neighbours();
    std::ranges::copy(one_of_each_other_data_centre(view_.entries().size()),
                      std::back_inserter(targets));
    for (const auto& vm : targets)
        send(vm, wire::leaving_push{marks}, out);
}

void agent::take_marks(const std::vector<wire::leaving_mark>& marks,
                       const std::string& from, base::instant now,
                       core::effects& out)
{
    // Older marks that this VM lacked are known to its neighbours, most likely.
    wire::leaving_push news;
    for (const auto& it : marks)
    {
        if (!leaving_.add(it, now))
            continue;
        out.emplace_back(leaving_event(it, from));
        if (base::seconds(it.age_s) <= recent_marks)
            news.marks.push_back(it);
    }
    if (news.marks.empty() || !is_foreign(from))
        return;
    for (const auto& vm : neighbours())
        send(vm, news, out);
}

} // namespace mimosacroft::fleet
