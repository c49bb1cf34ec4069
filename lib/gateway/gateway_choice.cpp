// Choice of the server for a send, and of the time of hedges.
#include "mimosacroft/gateway/gateway.hpp"

#include "gateway_detail.hpp"

#include <algorithm>

namespace mimosacroft::gateway
{

namespace
{

using base::duration;
using base::instant;
using base::milliseconds;

// A part is hedged after its expected latency times hedge_factor plus
// hedge_budget_factor times the square of the used share of the budget, so that
// hedges get rarer as the budget runs out.
constexpr double hedge_factor = 1.6;
constexpr double hedge_budget_factor = 2.5;
constexpr milliseconds min_hedge_delay{8};
// Until enough latencies are measured, the objective divided by this is
// expected.
constexpr int unknown_latency_divisor = 6;

// Added to the estimate of a server that the part was already sent to, so that
// it is used again only if all others are slower by more than this.
constexpr milliseconds tried_penalty{30};
// Random addition to each estimate, which spreads sends over equal servers.
constexpr milliseconds tie_break_jitter{1};

// Shares of the stored permits for a server with a limit that are kept for
// first sends, and for those of urgent searches.
constexpr double repeat_permit_reserve = 0.5;
constexpr double ordinary_permit_reserve = 0.25;

// All VMs share a server's connections; the rest stays free for VMs that join.
constexpr double usable_connection_share = 0.9;
// Exchanges with each server if the service sets no limit of connections.
constexpr std::size_t default_max_exchanges = 64;

// A part is sent to a server that keeps failing at most so often, each time at
// once. One failure may come from an idle connection that the server closed.
constexpr std::ptrdiff_t max_sends_to_failing_server = 2;

} // namespace

base::duration gateway::expected_latency(const search& of) const
{
    const auto it = latencies_.find(of.name);
    if (it == latencies_.end() || it->second.samples() < min_latency_samples)
        return of.latency_objective / unknown_latency_divisor;
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
    const auto utilization =
        budgets_[p.service].utilization(budget_options(), now);
    const auto factor =
        hedge_factor + hedge_budget_factor * utilization * utilization;
    const auto scaled = std::chrono::duration_cast<duration>(
        expected_latency(*q.search) * factor);
    return std::max<duration>(scaled, min_hedge_delay) +
           server_pool::round_trip(to.network_distance);
}

bool gateway::spend_extra_budget(const std::string& service, instant now)
{
    return budgets_[service].try_acquire(budget_options(), now);
}

// The number of exchanges that this VM may have in flight with each server of a
// service.
std::size_t gateway::max_exchanges_per_server(const std::string& service) const
{
    const auto* settings = catalog_->find_service(service);
    if (!settings || settings->max_connections == 0)
        return default_max_exchanges;
    const auto all = static_cast<double>(settings->max_connections) *
                     usable_connection_share;
    const auto mine =
        static_cast<std::size_t>(all / static_cast<double>(fleet_size_));
    return std::max<std::size_t>(mine, 1);
}

// The servers that a part may be sent to. Of the servers that were chosen for a
// relayed part, some may be gone by the time that the part is sent from here;
// others take their places.
std::vector<server*> gateway::allowed_servers(const part& p) const
{
    std::vector<server*> out;
    const auto is_chosen = [&p](const server& it)
    {
        return p.chosen_servers.empty() ||
               std::ranges::find(p.chosen_servers, tag_of(it.entry)) !=
                   p.chosen_servers.end();
    };
    const auto all = servers_.of(p.service);
    auto places = p.may_replace_chosen ? p.chosen_servers.size() : 0;
    places -= std::min<std::size_t>(
        places, std::ranges::count_if(all, [&](const server* it)
                                      { return is_chosen(*it); }));
    for (auto* it : all)
    {
        const bool takes_place = !is_chosen(*it) && places > 0;
        if (it->is_leaving() || (!is_chosen(*it) && !takes_place))
            continue;
        places -= takes_place ? 1 : 0;
        out.push_back(it);
    }
    return out;
}

// When the pauses that a part's servers asked for let it be sent; never if it
// has no server.
base::instant gateway::pause_end(const part& p, instant now) const
{
    auto out = base::never;
    for (const auto* it : allowed_servers(p))
        out = std::min(out, std::max(it->paused_until, now));
    return out;
}

double gateway::permit_reserve(const query& q, const part& p)
{
    if (p.attempts_used > 0)
        return repeat_permit_reserve;
    return q.search->priority > 0 ? ordinary_permit_reserve : 0;
}

// Whether the part has a server whose limit, if it states one, lets this VM
// send the part now.
bool gateway::is_any_permitted(const query& q, const part& p, instant now)
{
    return std::ranges::any_of(
        allowed_servers(p), [&](server* it)
        { return servers_.may_send(*it, permit_reserve(q, p), now); });
}

server* gateway::choose_server(const query& q, const part& p, instant now)
{
    const auto expected = expected_latency(*q.search);
    const auto max_exchanges = max_exchanges_per_server(p.service);
    server* best = nullptr;
    duration best_cost{};
    for (auto* it : allowed_servers(p))
    {
        if (it->in_flight.size() >= max_exchanges ||
            !servers_.may_send(*it, permit_reserve(q, p), now))
            continue;
        const bool busy =
            std::ranges::any_of(p.in_flight, [this, it](exchange_number n)
                                { return exchanges_.at(n).to == it->number; });
        if (busy)
            continue;
        auto cost = estimate_latency(*it, expected, now) +
                    std::chrono::duration_cast<duration>(tie_break_jitter *
                                                         random_fraction());
        if (std::ranges::find(p.tried_servers, it->number) !=
            p.tried_servers.end())
            cost += tried_penalty;
        if (!best || cost < best_cost)
        {
            best = it;
            best_cost = cost;
        }
    }
    return best;
}

// Whether the part was sent to a server repeatedly and the server still fails.
// Without a pause, a part whose only server is down would be sent without end.
bool gateway::is_exhausted(const part& p, const server& it, instant now)
{
    return it.avoid_until > now &&
           std::ranges::count(p.tried_servers, it.number) >=
               max_sends_to_failing_server;
}

} // namespace mimosacroft::gateway
