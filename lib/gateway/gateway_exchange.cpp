// Sends to servers, and what comes of them.
#include "mimosacroft/gateway/gateway.hpp"

#include "gateway_detail.hpp"

#include "mimosacroft/base/stable_hash.hpp"

#include <algorithm>

namespace mimosacroft::gateway
{

namespace
{

using base::duration;
using base::instant;
using base::milliseconds;

// A part is sent to a second server after this many usual latencies; the more
// of the budget is used, the later.
constexpr double hedge_factor = 1.6;
constexpr double hedge_restraint = 2.5;
constexpr milliseconds least_hedge_delay{8};
// No server or no budget for a second send: looked at again after this.
constexpr milliseconds hedge_again{25};
// Until latencies are known: this part of the objective.
constexpr int unknown_latency_share = 6;

// A server that was tried before is asked again only if no other comes near.
constexpr milliseconds tried_penalty{30};
constexpr milliseconds tie_spread{1};

// Connections are shared by all VMs; a part stays free for VMs that come.
constexpr double usable_connections = 0.9;
constexpr std::size_t unlimited = 64;

constexpr milliseconds dark_after{500};
constexpr unsigned first_server_error = 500;
// A server that failed this often in a row is named in the log, once.
constexpr unsigned reported_failures = 2;

// What came of a send, for the log.
std::string describe(const server_reply& reply)
{
    if (reply.misdirected)
        return "misdirected";
    auto out = std::to_string(reply.message.status);
    if (!reply.executed)
        out += " not executed";
    else if (reply.signature.empty())
        out += " unsigned";
    return out;
}

core::log_event returned_event(const server& it)
{
    return {core::event_id::server_returned,
            {{"peer", it.entry.id}, {"failures", std::to_string(it.failures)}}};
}

core::log_event ejected_event(const server& it)
{
    return {core::event_id::server_ejected,
            {{"peer", it.entry.id},
             {"upstream", it.entry.service},
             {"failures", std::to_string(it.failures)}}};
}

} // namespace

base::duration gateway::usual_latency(const search& of) const
{
    const auto it = latencies_.find(of.name);
    if (it == latencies_.end() || it->second.samples() < enough_samples)
        return of.objective / unknown_latency_share;
    return it->second.quantile(0.5);
}

arrival_budget_options gateway::budget_options() const
{
    auto out = options_.extra;
    out.slack /= static_cast<double>(fleet_size_);
    return out;
}

base::duration gateway::hedge_delay(const query& q, const part& p,
                                    const server& to, instant now)
{
    const auto used = budgets_[p.service].used(budget_options(), now);
    const auto factor = hedge_factor + hedge_restraint * used * used;
    const auto usual =
        std::chrono::duration_cast<duration>(usual_latency(*q.search) * factor);
    return std::max<duration>(usual, least_hedge_delay) +
           server_pool::round_trip(to.away);
}

bool gateway::take_extra(const std::string& service, instant now)
{
    return budgets_[service].take(budget_options(), now);
}

// With each server of a service.
std::size_t gateway::most_exchanges(const std::string& service) const
{
    const auto* settings = catalog_->find_service(service);
    if (!settings || settings->most_connections == 0)
        return unlimited;
    const auto all =
        static_cast<double>(settings->most_connections) * usable_connections;
    const auto mine =
        static_cast<std::size_t>(all / static_cast<double>(fleet_size_));
    return std::max<std::size_t>(mine, 1);
}

// The servers that a part may go to. Two VMs that both work on a part must not
// use more servers together than the search allows: they take the same ones,
// those beside the relay first.
std::vector<server*> gateway::candidates(const query& q, const part& p) const
{
    std::vector<server*> out;
    for (auto* it : servers_.of(p.service))
        if (!it->entry.leaving)
            out.push_back(it);
    if (p.relay_data_centre.empty() || out.size() <= q.search->attempts)
        return out;
    const auto order = [&q, &p](const server* it)
    {
        return std::pair(it->entry.data_centre != p.relay_data_centre,
                         base::stable_hash({q.request->id, it->entry.id}));
    };
    std::ranges::sort(out, {}, order);
    out.resize(q.search->attempts);
    return out;
}

server* gateway::choose(const query& q, const part& p, instant now)
{
    const auto usual = usual_latency(*q.search);
    const auto most = most_exchanges(p.service);
    server* best = nullptr;
    duration least{};
    for (auto* it : candidates(q, p))
    {
        if (it->sent.size() >= most)
            continue;
        const bool busy =
            std::ranges::any_of(p.under_way, [this, it](exchange_number n)
                                { return exchanges_.at(n).to == it->number; });
        if (busy)
            continue;
        auto cost =
            estimate(*it, usual, now) +
            std::chrono::duration_cast<duration>(tie_spread * random_share());
        if (std::ranges::find(p.tried, it->number) != p.tried.end())
            cost += tried_penalty;
        if (!best || cost < least)
        {
            best = it;
            least = cost;
        }
    }
    return best;
}

void gateway::send_part(query& q, std::size_t part, instant now, effects& out)
{
    auto& p = q.parts[part];
    if (!servers_.has_live(p.service))
    {
        fail_part(q, part);
        return;
    }
    if (auto* to = choose(q, p, now))
        send(q, part, *to, now, out);
    else
        wait(q, part);
}

void gateway::wait(const query& q, std::size_t part)
{
    waiting_[q.parts[part].service].emplace(wait_key{q.search->rank, q.give_up},
                                            waiter{q.number, part});
}

void gateway::drop_waiters(const query& q)
{
    for (const auto& p : q.parts)
    {
        if (p.state != part_state::waiting)
            continue;
        const auto queue = waiting_.find(p.service);
        if (queue == waiting_.end())
            continue;
        std::erase_if(queue->second, [&q](const auto& it)
                      { return it.second.query == q.number; });
        if (queue->second.empty())
            waiting_.erase(queue);
    }
}

void gateway::send(query& q, std::size_t part, server& to, instant now,
                   effects& out)
{
    auto& p = q.parts[part];
    const auto number = ++last_exchange_;
    ++sends_;
    exchange it;
    it.query = q.number;
    it.part = part;
    it.to = to.number;
    it.sent_at = now;
    it.drop_at = q.give_up + drop_margin;
    it.expected = usual_latency(*q.search);
    it.search = q.search->name;
    drop_times_.emplace(it.drop_at, number);
    exchanges_.emplace(number, std::move(it));
    servers_.on_sent(to, now);

    p.state = part_state::open;
    p.under_way.push_back(number);
    p.tried.push_back(to.number);
    p.sends.push_back(
        {number,
         to.entry.id,
         std::chrono::duration_cast<milliseconds>(now - q.started),
         {},
         {}});
    ++p.arrivals;
    q.ever_sent = true;
    const bool may_hedge = options_.use.hedging && q.search->may_repeat() &&
                           p.arrivals < q.search->attempts;
    p.hedge_at = may_hedge ? now + hedge_delay(q, p, to, now) : base::never;
    const auto left = std::chrono::duration_cast<milliseconds>(q.give_up - now);
    out.sends.push_back({number, to.entry.address, to.entry.id,
                         std::max(left, milliseconds(1)),
                         q.search->may_repeat(), q.request});
}

// Also the next try of a part whose tries so far came to nothing.
void gateway::hedge(query& q, std::size_t part, instant now, effects& out)
{
    auto& p = q.parts[part];
    p.hedge_at = base::never;
    if (p.state == part_state::done || p.state == part_state::failed ||
        p.arrivals >= q.search->attempts)
        return;
    auto* to = choose(q, p, now);
    const bool worthwhile =
        to && (p.under_way.empty() ||
               estimate(*to, usual_latency(*q.search), now) < unlikely);
    if (worthwhile && (p.arrivals == 0 || take_extra(p.service, now)))
    {
        hedges_ += p.arrivals > 0 ? 1 : 0;
        send(q, part, *to, now, out);
        return;
    }
    p.hedge_at = now + hedge_again;
}

void gateway::pump(const std::string& service, instant now, effects& out)
{
    const auto queue = waiting_.find(service);
    if (queue == waiting_.end())
        return;
    while (!queue->second.empty())
    {
        const auto first = queue->second.begin();
        const auto next = first->second;
        auto& q = queries_.at(next.query);
        auto* to = choose(q, q.parts[next.part], now);
        if (!to)
            return;
        queue->second.erase(first);
        send(q, next.part, *to, now, out);
        schedule(q);
    }
    waiting_.erase(queue);
}

gateway::exchange gateway::take_exchange(exchange_number number)
{
    const auto found = exchanges_.find(number);
    auto out = std::move(found->second);
    drop_times_.erase({out.drop_at, number});
    exchanges_.erase(found);
    return out;
}

query* gateway::query_of(exchange_number number, const exchange& it,
                         std::string_view outcome, instant now)
{
    const auto found = queries_.find(it.query);
    if (found == queries_.end())
        return nullptr;
    auto& p = found->second.parts[it.part];
    std::erase(p.under_way, number);
    const auto record =
        std::ranges::find(p.sends, number, &send_record::number);
    if (record != p.sends.end())
    {
        record->outcome = outcome;
        record->ended = std::chrono::duration_cast<milliseconds>(
            now - found->second.started);
    }
    return &found->second;
}

void gateway::on_sent(exchange_number number)
{
    const auto found = exchanges_.find(number);
    if (found != exchanges_.end())
        found->second.written = true;
}

void gateway::on_reply(exchange_number number, server_reply&& reply,
                       instant now, effects& out)
{
    if (!exchanges_.contains(number))
        return;
    const auto it = take_exchange(number);
    auto* q = query_of(number, it, describe(reply), now);
    std::string service;
    if (auto* from = servers_.find(it.to))
    {
        service = from->entry.service;
        if (reply.misdirected)
            servers_.forget(it.to);
        else if (!reply.executed)
            servers_.on_refused(*from, it.sent_at, now, reply.load);
        else if (reply.message.status >= first_server_error)
            servers_.on_failure(*from, it.sent_at, now);
        else
        {
            if (from->failures >= reported_failures)
                out.events.push_back(returned_event(*from));
            latencies_[it.search].add(now - it.sent_at -
                                      server_pool::round_trip(from->away));
            servers_.on_reply(*from, it.sent_at, now, it.expected, reply.load);
        }
    }
    if (q)
    {
        auto& p = q->parts[it.part];
        const bool good =
            reply.executed && reply.is_success() && !reply.signature.empty();
        const bool final_status =
            reply.executed && !q->search->is_scattered() &&
            reply.message.status < first_server_error && !reply.is_success();
        p.may_have_run = p.may_have_run || reply.executed;
        if (good || final_status)
            on_good_part(*q, it.part, std::move(reply), now, out);
        else
        {
            // Not in place of an answer that another server gave.
            const bool is_open = p.state != part_state::done;
            if (is_open && reply.executed && !reply.is_success())
            {
                p.reply = std::move(reply);
                p.has_reply = true;
            }
            on_bad_part(*q, it.part, now, out);
        }
    }
    pump(service, now, out);
}

void gateway::on_failure(exchange_number number, send_failure why, instant now,
                         effects& out)
{
    const auto found = exchanges_.find(number);
    if (found == exchanges_.end())
        return;
    if (!found->second.relay_vm.empty())
    {
        on_relay_failure(number, why, now, out);
        return;
    }
    const auto it = take_exchange(number);
    std::string service;
    if (auto* to = servers_.find(it.to))
    {
        service = to->entry.service;
        servers_.on_failure(*to, it.sent_at, now);
        if (to->failures == reported_failures)
            out.events.push_back(ejected_event(*to));
    }
    if (auto* q = query_of(number, it, base::name_of(why), now))
    {
        auto& p = q->parts[it.part];
        if (why == send_failure::not_sent)
            --p.arrivals;
        else
            p.may_have_run = true;
        on_bad_part(*q, it.part, now, out);
    }
    pump(service, now, out);
}

void gateway::end_exchange(exchange_number number, instant now, effects& out)
{
    out.drops.push_back(number);
    if (!exchanges_.at(number).relay_vm.empty())
    {
        on_relay_failure(number, send_failure::lost, now, out);
        return;
    }
    const auto it = take_exchange(number);
    std::string service;
    if (auto* to = servers_.find(it.to))
    {
        service = to->entry.service;
        if (to->silence(now) >= dark_after)
        {
            servers_.on_failure(*to, it.sent_at, now);
            if (to->failures == reported_failures)
                out.events.push_back(ejected_event(*to));
        }
        else
            servers_.on_dropped(*to, it.sent_at);
    }
    if (auto* q = query_of(number, it, "silent", now))
    {
        q->parts[it.part].may_have_run =
            q->parts[it.part].may_have_run || it.written;
        on_bad_part(*q, it.part, now, out);
    }
    pump(service, now, out);
}

void gateway::on_good_part(query& q, std::size_t part, server_reply&& reply,
                           instant now, effects& out)
{
    auto& p = q.parts[part];
    if (p.state == part_state::done || p.state == part_state::failed)
        return;
    p.state = part_state::done;
    p.hedge_at = base::never;
    p.reply = std::move(reply);
    p.has_reply = true;
    ++q.done;
    check_done(q, now, out);
}

bool gateway::may_retry(const query& q, const part& p) const
{
    return (q.search->may_repeat() || !p.may_have_run) &&
           p.arrivals < q.search->attempts;
}

void gateway::fail_part(query& q, std::size_t part)
{
    auto& p = q.parts[part];
    p.state = part_state::failed;
    p.hedge_at = base::never;
    ++q.failed;
}

void gateway::on_bad_part(query& q, std::size_t part, instant now, effects& out)
{
    auto& p = q.parts[part];
    if (p.state == part_state::done || p.state == part_state::failed)
        return;
    if (!p.under_way.empty())
        return;
    if (may_retry(q, p))
        hedge(q, part, now, out);
    else
        fail_part(q, part);
    check_done(q, now, out);
}

} // namespace mimosacroft::gateway
