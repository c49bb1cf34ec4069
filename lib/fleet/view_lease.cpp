// Whether the view of this VM is known to be the newest.
#include "mimosacroft/fleet/view_lease.hpp"

#include <algorithm>

namespace mimosacroft::fleet
{

namespace
{

/// VMs that ask the same pair of parents.
constexpr std::size_t children_per_pair = 8;

constexpr base::milliseconds tick_period{200};

} // namespace

view_lease::view_lease(std::string self, std::string data_centre,
                       view_lease_options options)
    : self_(std::move(self)), data_centre_(std::move(data_centre)),
      options_(options)
{
}

base::instant view_lease::next_wakeup() const
{
    return members_.empty() ? base::never : next_tick_;
}

std::vector<std::size_t> view_lease::parents_of(std::size_t rank)
{
    if (rank < watchers_per_data_centre)
        return {};
    const auto pair = (rank - watchers_per_data_centre) / children_per_pair;
    const std::size_t first = 2 * pair + rank % 2;
    return {first, first ^ 1U};
}

std::vector<std::size_t> view_lease::children_of(std::size_t rank,
                                                 std::size_t count)
{
    const auto first = watchers_per_data_centre + rank / 2 * children_per_pair;
    std::vector<std::size_t> out;
    for (auto it = first; it < std::min(first + children_per_pair, count); ++it)
        out.push_back(it);
    return out;
}

void view_lease::on_view(const view& current, base::instant now)
{
    if (settled_)
        earlier_.clear();
    if (version_ > 0)
        earlier_.push_back({members_, now});
    members_ = current.all_of(data_centre_);
    version_ = current.version();
    ever_ = false;
    replaced_ = false;
    settled_ = false;
    view_since_ = now;
    moved_ = {self_};
    parent_ask_ = 0;
    round_ = 0;
    told_.clear();
    parents_.clear();
    const auto rank = current.rank_of(self_);
    const auto ranked = current.members_of(data_centre_);
    for (const auto it : parents_of(rank.value_or(0)))
        parents_.push_back(ranked[it]);
    next_tick_ = now;
    check_settled();
}

// More than half of the VMs, or half of them with the first one. Two quorums
// of the same view have a VM in common; a view without VMs has none to fear.
bool view_lease::is_quorum(const std::set<std::string>& some,
                           const std::vector<std::string>& all)
{
    const auto n = static_cast<std::size_t>(std::ranges::count_if(
        all, [&some](const std::string& it) { return some.contains(it); }));
    if (2 * n == all.size() && n > 0)
        return some.contains(all.front());
    return 2 * n > all.size() || all.empty();
}

void view_lease::check_settled()
{
    const bool left =
        std::ranges::all_of(earlier_, [this](const earlier_view& it)
                            { return is_quorum(moved_, it.members); });
    settled_ = settled_ || (left && is_quorum(moved_, members_));
}

void view_lease::renew(base::instant at, base::instant now,
                       std::vector<outgoing>& out)
{
    if (replaced_ || (ever_ && at <= confirmed_))
        return;
    confirmed_ = at;
    ever_ = true;
    if (!fresh(now))
        return;
    counts_ = true;
    for (const auto& [vm, ask] : std::exchange(held_, {}))
        answer(vm, ask, now, out);
}

void view_lease::on_platform(base::instant asked, base::instant now,
                             std::vector<outgoing>& out)
{
    renew(asked, now, out);
}

void view_lease::answer(const std::string& to, const held_ask& ask,
                        base::instant now, std::vector<outgoing>& out)
{
    wire::view_answer msg;
    msg.sequence = ask.sequence;
    msg.view_version = version_;
    msg.counts = counts_;
    msg.settled = settled_;
    msg.confirmed = fresh(now);
    if (msg.confirmed)
    {
        msg.offset_us = base::to_us(confirmed_ - ask.received);
        told_[to] = confirmed_;
    }
    out.emplace_back(to, msg);
}

void view_lease::on_ask(const std::string& from, const wire::view_ask& msg,
                        base::instant now, std::vector<outgoing>& out)
{
    if (version_ > 0 && msg.view_version >= version_)
    {
        moved_.insert(from);
        check_settled();
    }
    replaced_ = replaced_ || msg.view_version > version_;
    const held_ask ask{msg.sequence, now};
    const auto told = told_.find(from);
    const bool news =
        fresh(now) && (told == told_.end() || told->second < confirmed_);
    if (msg.hold && !news && msg.view_version == version_)
        held_[from] = ask;
    else
        answer(from, ask, now, out);
}

void view_lease::on_answer(const std::string& from,
                           const wire::view_answer& msg, base::instant now,
                           std::vector<outgoing>& out)
{
    if (version_ > 0 && msg.view_version >= version_)
        moved_.insert(from);
    replaced_ = replaced_ || msg.view_version > version_;
    const bool same = msg.view_version == version_;
    if (msg.sequence == round_ && same && msg.counts)
        round_same_.insert(from);
    if (msg.sequence == parent_ask_)
    {
        parent_ask_ = 0;
        settled_ = settled_ || (same && msg.settled);
        if (same && msg.confirmed)
        {
            renew(parent_asked_ + base::microseconds(msg.offset_us), now, out);
            // The parent holds this ask until it has news, so that no level of
            // the tree adds a tick to the age.
            ask_parent(now, out);
        }
        else
            ++parent_turn_;
    }
    check_settled();
    check_round(now, out);
}

void view_lease::check_round(base::instant now, std::vector<outgoing>& out)
{
    if (round_ == 0)
        return;
    auto same = round_same_;
    if (counts_)
        same.insert(self_);
    if (!members_.empty() && is_quorum(same, members_))
        renew(round_started_, now, out);
}

void view_lease::ask_parent(base::instant now, std::vector<outgoing>& out)
{
    const bool waits =
        parent_ask_ != 0 &&
        now - parent_asked_ < options_.ask_timeout + options_.view_ttl / 2;
    if (parents_.empty() || waits)
        return;
    if (parent_ask_ != 0)
        ++parent_turn_;
    parent_ask_ = ++sequence_;
    parent_asked_ = now;
    out.emplace_back(parents_[parent_turn_ % parents_.size()],
                     wire::view_ask{parent_ask_, version_, true});
}

void view_lease::start_round(base::instant now, std::vector<outgoing>& out)
{
    round_ = ++sequence_;
    round_started_ = now;
    round_same_.clear();
    for (const auto& vm : members_)
        if (vm != self_)
            out.emplace_back(vm, wire::view_ask{round_, version_, false});
    check_round(now, out);
}

void view_lease::on_tick(base::instant now, std::vector<outgoing>& out)
{
    if (now < next_tick_ || members_.empty())
        return;
    next_tick_ = now + tick_period;
    std::erase_if(earlier_, [&](const earlier_view& it)
                  { return now - it.replaced >= options_.orphan_wait; });
    if (now - view_since_ >= options_.orphan_wait)
        settled_ = true;
    check_settled();
    // Asks that found no newer confirmation are answered in time for the other
    // side to ask elsewhere.
    for (auto it = held_.begin(); it != held_.end();)
    {
        if (now - it->second.received < options_.view_ttl / 2)
        {
            ++it;
            continue;
        }
        answer(it->first, it->second, now, out);
        it = held_.erase(it);
    }
    ask_parent(now, out);
    // The VMs that ask nobody start in time for the others.
    const auto limit = options_.view_ttl * (parents_.empty() ? 6 : 9) / 10;
    const bool ageing = !ever_ || now - confirmed_ > limit;
    const bool unsettled = !settled_ && parents_.empty();
    const bool due =
        round_ == 0 || now - round_started_ >= options_.ask_timeout;
    if (due && (unsettled || (ageing && now - view_since_ > limit)))
        start_round(now, out);
}

} // namespace mimosacroft::fleet
