// Queries that are relayed to another VM or received from one.
#include "mimosacroft/gateway/gateway.hpp"

#include "gateway_detail.hpp"

#include "mimosacroft/base/stable_hash.hpp"

#include <algorithm>
#include <vector>

namespace mimosacroft::gateway
{

namespace
{

using base::instant;
using base::milliseconds;

// Fewer far shards than this are requested directly.
constexpr std::size_t min_relay_shards = 3;
// Processing time of the relay, in addition to the network round trip.
constexpr milliseconds relay_margin{4};
// A lost packet stalls a connection for about 200 ms. If the relay has not
// answered after its median latency times this, its shards are also requested
// directly.
constexpr double relay_fallback_factor = 1.7;
// Until enough latencies are measured, this share of the objective is used
// instead.
constexpr double unknown_fallback_share = 0.6;

// A message may name anything; what is kept for a shard takes more memory than
// its name.
bool names_each_shard_once(const std::vector<std::uint32_t>& shards,
                           std::size_t count)
{
    if (shards.empty() || shards.size() > count)
        return false;
    auto sorted = shards;
    std::ranges::sort(sorted);
    return sorted.back() < count &&
           std::ranges::adjacent_find(sorted) == sorted.end();
}

} // namespace

// When relayed shards are also requested directly: late enough that the work is
// seldom done twice, early enough for an answer in time.
instant gateway::relay_fallback_time(const query& q, instant now) const
{
    const auto it = relay_latencies_.find(q.search->name);
    const bool known = it != relay_latencies_.end() &&
                       it->second.samples() >= min_latency_samples;
    const auto ms = known
                        ? base::to_fractional_ms(it->second.quantile(0.5)) *
                              relay_fallback_factor
                        : base::to_fractional_ms(q.search->latency_objective) *
                              unknown_fallback_share;
    const auto delay = std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double, std::milli>(ms));
    return std::min(now + delay, q.answer_by);
}

// Picks the data centre that holds the most shards without a server in this
// region, among those with a usable relay VM. Returns an empty plan if these
// shards are too few.
gateway::relay_plan gateway::plan_relay(const search& it, instant now)
{
    std::map<std::string, std::vector<std::uint32_t>> far_shards;
    for (std::uint32_t n = 0; n < it.shards.size(); ++n)
    {
        const auto all = servers_.of(it.shards[n]);
        const auto usable = [](const server* s)
        { return s->listed && !s->is_leaving(); };
        const bool is_near = std::ranges::any_of(
            all,
            [&usable](const server* s)
            {
                return usable(s) &&
                       s->network_distance != distance::other_region;
            });
        if (is_near)
            continue;
        for (const auto* s : all)
            if (usable(s) && (far_shards[s->entry.data_centre].empty() ||
                              far_shards[s->entry.data_centre].back() != n))
                far_shards[s->entry.data_centre].push_back(n);
    }
    std::erase_if(far_shards, [this, now](const auto& one)
                  { return !relays_.choose(one.first, now); });
    std::size_t max_shards = 0;
    for (const auto& [data_centre, shards] : far_shards)
        max_shards = std::max(max_shards, shards.size());
    if (max_shards < min_relay_shards)
        return {};
    std::erase_if(far_shards, [max_shards](const auto& one)
                  { return one.second.size() < max_shards; });
    // Queries go round-robin to the data centres with equally many shards.
    const auto n = relay_rotation_++ % far_shards.size();
    auto chosen = std::next(far_shards.begin(), static_cast<std::ptrdiff_t>(n));
    return {chosen->first, std::move(chosen->second)};
}

// Restricts a part that is to be relayed to as many servers as the search
// allows, those in the relay's data centre first.
void gateway::choose_servers_for_relay(query& q, part& p,
                                       const std::string& data_centre) const
{
    auto all = allowed_servers(p);
    const auto order = [&](const server* it)
    {
        return std::pair(it->entry.data_centre != data_centre,
                         base::stable_hash({q.request->id, it->entry.id}));
    };
    std::ranges::sort(all, {}, order);
    all.resize(std::min(all.size(), q.search->max_attempts));
    p.chosen_servers.clear();
    p.may_replace_chosen = true;
    for (const auto* it : all)
        p.chosen_servers.push_back(tag_of(it->entry));
}

void gateway::start_relay(query& q, instant now, effects& out)
{
    if (!options_.use.relaying || q.is_relayed || !q.search->is_scattered() ||
        !q.has_time(now))
        return;
    auto plan = plan_relay(*q.search, now);
    // After a probe, one of the shards was requested already.
    std::erase_if(plan.shards, [&q](std::uint32_t n)
                  { return q.parts[n].state != part_state::waiting; });
    const auto* vm =
        plan.shards.empty() ? nullptr : relays_.choose(plan.data_centre, now);
    if (!vm)
        return;
    const auto number = ++last_exchange_;
    exchange it;
    it.query = q.number;
    it.relay_vm = vm->name;
    it.sent_at = now;
    it.cancel_at = q.give_up_at + cancel_margin;
    cancel_timers_.emplace(it.cancel_at, number);
    exchanges_.emplace(number, std::move(it));
    relays_.on_sent(vm->name, now);
    q.relay_exchange = number;
    q.relay_outcome = vm->name;
    q.relay_fallback_at = relay_fallback_time(q, now);
    q.ever_sent = true;
    std::vector<std::vector<server_tag>> servers;
    for (const auto n : plan.shards)
    {
        q.parts[n].state = part_state::relayed;
        choose_servers_for_relay(q, q.parts[n], plan.data_centre);
        servers.push_back(q.parts[n].chosen_servers);
    }
    // The relay measures these times from the arrival of the request there, and
    // its answer has to travel back.
    const auto relay_overhead =
        server_pool::round_trip(distance::other_region) + relay_margin;
    const auto within = [&](instant at)
    {
        return std::max(
            std::chrono::duration_cast<milliseconds>(at - now - relay_overhead),
            milliseconds(1));
    };
    out.relays.push_back({std::move(plan.shards), std::move(servers), number,
                          vm->address, vm->name, q.version, within(q.answer_by),
                          within(q.give_up_at), q.record, news_for_vm(now),
                          q.request});
}

void gateway::open_relayed(query_number number, relayed_request&& request,
                           instant now, effects& out)
{
    const auto found = catalog_ && catalog_->version() == request.version
                           ? catalog_->match(request.request.host,
                                             request.request.message.target)
                           : nullptr;
    take_news(request.news, now, out);
    const bool known =
        found && names_each_shard_once(request.shards, found->shards.size()) &&
        request.servers.size() == request.shards.size();
    if (!known)
    {
        out.answers.push_back(
            {number, declined{}, found, {}, {}, news_for_vm(now)});
        return;
    }
    auto q = make_query(number, std::move(request.request), found, now);
    std::vector<part> wanted;
    for (std::size_t it = 0; it < request.shards.size(); ++it)
    {
        auto& p = q.parts[request.shards[it]];
        p.chosen_servers = std::move(request.servers[it]);
        wanted.push_back(std::move(p));
    }
    q.parts = std::move(wanted);
    q.answer_by = std::min(q.give_up_at, now + request.answer_within);
    q.is_relayed = true;
    q.remote_record = request.record;
    if (!has_room_for(q))
    {
        out.answers.push_back(
            {number, declined{}, found, {}, {}, news_for_vm(now)});
        return;
    }
    if (verdict_of(q, now) == crash_verdict::condemned)
    {
        out.answers.push_back({number,
                               refused{refusal::harmful, std::nullopt},
                               found,
                               {},
                               {},
                               news_for_vm(now)});
        return;
    }
    if (!has_permits(q, false, now))
    {
        out.answers.push_back(
            {number, declined{}, found, {}, {}, news_for_vm(now)});
        return;
    }
    start_query(std::move(q), now, out);
}

// Requests the relayed shards directly. If the relay may have sent them to
// servers, these sends are repeats, which count as attempts and take budget.
void gateway::fall_back_to_direct(query& q, bool may_have_run, instant now,
                                  effects& out)
{
    q.relay_fallback_at = base::never;
    const bool is_useful = may_have_run || has_permits(q, false, now);
    for (std::size_t n = 0; n < q.parts.size(); ++n)
    {
        auto& p = q.parts[n];
        if (p.state != part_state::relayed)
            continue;
        if (!is_useful)
        {
            fail_part(q, n);
            continue;
        }
        if (!may_have_run)
        {
            budgets_[p.service].on_request(now);
            p.state = part_state::waiting;
            p.chosen_servers.clear();
            if (may_risk_server(q, p, now))
                send_part(q, n, now, out);
            else
                hold_or_fail_part(q, n, now);
            continue;
        }
        p.may_have_run = true;
        p.attempts_used = 1;
        p.state = part_state::open;
        if (may_retry(q, p))
            send_again(q, n, now, out);
        else
            fail_part(q, n);
    }
    answer_if_ready(q, now, out);
}

// Takes over the relay's answer. Its records merge all parts that it lists, so
// each of these parts is replaced by the relay's, even if a direct answer
// arrived in the meantime; otherwise its records would count twice.
void gateway::apply_relay_answer(query& q, const merged& from)
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
        p.is_held = false;
        p.reply = {};
        p.reply.signature = from.signatures[it];
    }
    q.relay_records = from.records;
}

void gateway::on_relay_reply(exchange_number number, relayed_answer&& answer,
                             instant now, effects& out)
{
    take_news(answer.news, now, out);
    if (!exchanges_.contains(number))
        return;
    const auto& reply = answer.reply;
    const auto it = remove_exchange(number);
    const bool was_declined = std::holds_alternative<declined>(reply);
    if (was_declined)
        relays_.on_declined(it.relay_vm, now);
    else
        relays_.on_reply(it.relay_vm, now);
    const auto found = queries_.find(it.query);
    if (found == queries_.end() || found->second.relay_exchange != number)
        return;
    auto& q = found->second;
    q.relay_exchange = 0;
    q.remote_record = answer.record;
    if (answer.record.answered > 0)
        note_run(q, now, out);
    if (was_declined)
        q.relay_outcome += " declined";
    else if (const auto* parts = std::get_if<merged>(&reply))
    {
        relay_latencies_[q.search->name].add(now - it.sent_at);
        apply_relay_answer(q, *parts);
    }
    else
        q.relay_outcome += " refused";
    fall_back_to_direct(q, !was_declined, now, out);
}

void gateway::on_relay_failure(exchange_number number, send_failure why,
                               instant now, effects& out)
{
    const auto it = remove_exchange(number);
    relays_.on_failure(it.relay_vm, now);
    const auto found = queries_.find(it.query);
    if (found == queries_.end() || found->second.relay_exchange != number)
        return;
    found->second.relay_exchange = 0;
    found->second.relay_outcome += " " + std::string(base::name_of(why));
    fall_back_to_direct(found->second, why != send_failure::not_sent, now, out);
}

// Cancels the exchange with the relay, whose answer is no longer needed.
void gateway::cancel_relay(query& q, instant now, effects& out)
{
    const auto number = std::exchange(q.relay_exchange, 0);
    if (number == 0)
        return;
    const auto it = remove_exchange(number);
    relays_.on_canceled(it.relay_vm, it.sent_at, now);
    q.relay_outcome += " no answer";
    out.cancel(number);
}

} // namespace mimosacroft::gateway
