// Queries that another VM answers, for itself or for this one.
#include "mimosacroft/gateway/gateway.hpp"

#include "gateway_detail.hpp"

#include <algorithm>

namespace mimosacroft::gateway
{

namespace
{

using base::instant;
using base::milliseconds;

// Fewer shards than this are asked directly.
constexpr std::size_t least_shards = 3;
// Work of the relay beside the way there and back.
constexpr milliseconds relay_margin{4};
// A lost packet holds up a connection for a fifth of a second; a relay that has
// not answered after this many usual times gets help.
constexpr double help_factor = 1.7;
// Until times are known: this part of the objective.
constexpr double unknown_help_share = 0.6;

} // namespace

// When the shards of a relay are asked from here as well: late enough not to do
// the work twice as a rule, early enough for an answer in time.
instant gateway::help_time(const query& q) const
{
    const auto it = relay_latencies_.find(q.search->name);
    const bool known =
        it != relay_latencies_.end() && it->second.samples() >= enough_samples;
    const auto ms =
        known
            ? base::to_fractional_ms(it->second.quantile(0.5)) * help_factor
            : base::to_fractional_ms(q.search->objective) * unknown_help_share;
    const auto usual = std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double, std::milli>(ms));
    return std::min(q.started + usual, q.answer_by);
}

// The shards that have no server near, and a data centre that holds most of
// them.
gateway::relay_plan gateway::plan_relay(const search& it, instant now)
{
    std::map<std::string, std::vector<std::uint32_t>> far_shards;
    for (std::uint32_t n = 0; n < it.shards.size(); ++n)
    {
        const auto all = servers_.of(it.shards[n]);
        const auto usable = [](const server* s)
        { return s->listed && !s->entry.leaving; };
        const bool is_near = std::ranges::any_of(
            all, [&usable](const server* s)
            { return usable(s) && s->away != distance::other_region; });
        if (is_near)
            continue;
        for (const auto* s : all)
            if (usable(s) && (far_shards[s->entry.data_centre].empty() ||
                              far_shards[s->entry.data_centre].back() != n))
                far_shards[s->entry.data_centre].push_back(n);
    }
    std::erase_if(far_shards, [this, now](const auto& one)
                  { return !relays_.choose(one.first, now); });
    std::size_t most = 0;
    for (const auto& [data_centre, shards] : far_shards)
        most = std::max(most, shards.size());
    if (most < least_shards)
        return {};
    std::erase_if(far_shards,
                  [most](const auto& one) { return one.second.size() < most; });
    // Queries in turn go to all data centres that will do.
    const auto n = relayed_++ % far_shards.size();
    auto chosen = std::next(far_shards.begin(), static_cast<std::ptrdiff_t>(n));
    return {chosen->first, std::move(chosen->second)};
}

void gateway::delegate(query& q, instant now, effects& out)
{
    if (!options_.use.relaying || q.is_relayed || !q.search->is_scattered())
        return;
    auto plan = plan_relay(*q.search, now);
    const auto* vm =
        plan.shards.empty() ? nullptr : relays_.choose(plan.data_centre, now);
    if (!vm)
        return;
    const auto number = ++last_exchange_;
    exchange it;
    it.query = q.number;
    it.relay_vm = vm->name;
    it.sent_at = now;
    it.drop_at = q.give_up + drop_margin;
    drop_times_.emplace(it.drop_at, number);
    exchanges_.emplace(number, std::move(it));
    relays_.on_sent(vm->name, now);
    q.relay = number;
    q.relay_outcome = vm->name;
    q.relay_until = help_time(q);
    q.ever_sent = true;
    for (const auto n : plan.shards)
    {
        q.parts[n].state = part_state::relayed;
        q.parts[n].relay_data_centre = plan.data_centre;
    }
    // The relay counts from the request's arrival, and its answer has a way
    // too.
    const auto both_ways =
        server_pool::round_trip(distance::other_region) + relay_margin;
    const auto within = [&](instant at)
    {
        return std::max(
            std::chrono::duration_cast<milliseconds>(at - now - both_ways),
            milliseconds(1));
    };
    out.relays.push_back({std::move(plan.shards), number, vm->address, vm->name,
                          q.version, within(q.answer_by), within(q.give_up),
                          q.request});
}

void gateway::open_relayed(query_number number, relayed_request&& request,
                           instant now, effects& out)
{
    const auto found = catalog_ && catalog_->version() == request.version
                           ? catalog_->match(request.request.host,
                                             request.request.message.target)
                           : nullptr;
    const bool known =
        found && !request.shards.empty() &&
        std::ranges::all_of(request.shards, [&found](std::uint32_t n)
                            { return n < found->shards.size(); });
    if (!known)
    {
        out.answers.push_back({number, declined{}, found, {}});
        return;
    }
    auto q = make_query(number, std::move(request.request), found, now);
    std::vector<part> wanted;
    for (const auto n : request.shards)
    {
        q.parts[n].relay_data_centre = options_.data_centre;
        wanted.push_back(std::move(q.parts[n]));
    }
    q.parts = std::move(wanted);
    q.answer_by = std::min(q.give_up, now + request.answer_within);
    q.is_relayed = true;
    take(std::move(q), now, out);
}

// The relay's shards are asked from here after all. If the relay may have asked
// them, these are repeats and paid for as such.
void gateway::fall_back(query& q, bool may_have_run, instant now, effects& out)
{
    q.relay_until = base::never;
    for (std::size_t n = 0; n < q.parts.size(); ++n)
    {
        auto& p = q.parts[n];
        if (p.state != part_state::relayed)
            continue;
        if (!may_have_run)
        {
            budgets_[p.service].on_request(now);
            p.state = part_state::waiting;
            p.relay_data_centre.clear();
            send_part(q, n, now, out);
            continue;
        }
        p.may_have_run = true;
        p.arrivals = 1;
        p.state = part_state::open;
        if (may_retry(q, p))
            hedge(q, n, now, out);
        else
            fail_part(q, n);
    }
    check_done(q, now, out);
}

// The relay merged the records of all its parts, so each of these counts as
// its, also where an answer came here directly meanwhile.
void gateway::take_relayed_parts(query& q, const merged& from)
{
    const auto n = std::min(from.shards.size(), from.signatures.size());
    for (std::size_t it = 0; it < n; ++it)
    {
        if (from.shards[it] >= q.parts.size())
            continue;
        auto& p = q.parts[from.shards[it]];
        if (p.state == part_state::failed)
            --q.failed;
        if (p.state != part_state::done)
            ++q.done;
        p.state = part_state::done;
        p.hedge_at = base::never;
        p.reply = {};
        p.reply.signature = from.signatures[it];
    }
    q.relay_records = from.records;
}

void gateway::on_relay_reply(exchange_number number, answer&& reply,
                             instant now, effects& out)
{
    if (!exchanges_.contains(number))
        return;
    const auto it = take_exchange(number);
    const bool was_declined = std::holds_alternative<declined>(reply);
    if (was_declined)
        relays_.on_declined(it.relay_vm, now);
    else
        relays_.on_reply(it.relay_vm, now);
    const auto found = queries_.find(it.query);
    if (found == queries_.end() || found->second.relay != number)
        return;
    auto& q = found->second;
    q.relay = 0;
    if (was_declined)
        q.relay_outcome += " declined";
    else if (const auto* parts = std::get_if<merged>(&reply))
    {
        relay_latencies_[q.search->name].add(now - it.sent_at);
        take_relayed_parts(q, *parts);
    }
    else
        q.relay_outcome += " refused";
    fall_back(q, !was_declined, now, out);
}

void gateway::on_relay_failure(exchange_number number, send_failure why,
                               instant now, effects& out)
{
    const auto it = take_exchange(number);
    relays_.on_failure(it.relay_vm, now);
    const auto found = queries_.find(it.query);
    if (found == queries_.end() || found->second.relay != number)
        return;
    found->second.relay = 0;
    found->second.relay_outcome += " " + std::string(base::name_of(why));
    fall_back(found->second, why != send_failure::not_sent, now, out);
}

// The relay's answer is of no use any more.
void gateway::abandon_relay(query& q, instant now, effects& out)
{
    const auto number = std::exchange(q.relay, 0);
    if (number == 0)
        return;
    const auto it = take_exchange(number);
    relays_.on_dropped(it.relay_vm, it.sent_at, now);
    q.relay_outcome += " no answer";
    out.drops.push_back(number);
}

} // namespace mimosacroft::gateway
