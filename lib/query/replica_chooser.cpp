// Chooses the server that gets the next call.
#include "mimosacroft/query/replica_chooser.hpp"

#include <algorithm>
#include <cmath>

namespace mimosacroft::query
{

namespace
{

constexpr double high_quantile = 0.95;
constexpr std::size_t high_every = 16; ///< samples between updates of `high`
constexpr double failure_weight = 0.2;
constexpr double failure_cost = 10; ///< factor of a server that always fails
constexpr double load_cost = 0.25;  ///< most that a reported load adds
constexpr double least_warmth = 0.1;
constexpr std::uint32_t max_doublings = 5;
constexpr double unknown_us = 1000;

// The mean and the high quantile together: the mean alone hides a tail.
double latency_us(const replica_state& it)
{
    return (base::to_fractional_us(it.latency.mean()) +
            base::to_fractional_us(it.high)) /
           2;
}

bool is_open(const replica_chooser::limits& within, const model::server& it)
{
    return within.takes_work(it) &&
           !(within.asked && within.asked->contains(it.name));
}

} // namespace

replica_state& replica_chooser::state_of(const std::string& server,
                                         base::instant now)
{
    const auto [it, made] = servers_.try_emplace(server);
    if (made)
        it->second.warm_since = now;
    return it->second;
}

const replica_state* replica_chooser::find(const std::string& server) const
{
    const auto it = servers_.find(server);
    return it == servers_.end() ? nullptr : &it->second;
}

bool replica_chooser::ejected(const std::string& server,
                              base::instant now) const
{
    const auto* it = find(server);
    return options_.ejection && it && it->ejected_until > now;
}

double replica_chooser::warmth(const replica_state& it, base::instant now) const
{
    const auto begin = std::max(it.warm_since, it.ejected_until);
    const double part = base::to_fractional_us(now - begin) /
                        base::to_fractional_us(options_.slow_start);
    return std::clamp(part, least_warmth, 1.0);
}

double replica_chooser::cost(const replica_state& it, std::uint32_t in_flight,
                             double typical_us, base::instant now) const
{
    const double waiting = in_flight + 1;
    if (!options_.by_latency)
        return waiting;
    const bool known =
        it.latency.samples() > 0 && now - it.seen <= options_.latency_ttl;
    const double latency = known ? latency_us(it) : typical_us;
    const double load = std::clamp(it.reported_load.value_or(0), 0.0, 1.0);
    return waiting * latency * (1 + failure_cost * it.failure_rate) *
           (1 + load_cost * load) / warmth(it, now);
}

// Ejection counts only while a server that takes work is left: the others may
// have begun to leave after it.
bool replica_chooser::any_in(const model::upstream& from, const limits& within,
                             base::instant now) const
{
    return std::ranges::any_of(
        from.servers, [&](const model::server& it)
        { return within.takes_work(it) && !ejected(it.name, now); });
}

bool replica_chooser::has_candidate(const model::upstream& from,
                                    const limits& within,
                                    base::instant now) const
{
    const bool respect = any_in(from, within, now);
    return std::ranges::any_of(
        from.servers, [&](const model::server& it)
        { return is_open(within, it) && !(respect && ejected(it.name, now)); });
}

const model::server* replica_chooser::choose(const model::upstream& from,
                                             const limits& within,
                                             base::instant now)
{
    // What a server without own samples is taken for: the mean of the others.
    double sum = 0;
    double known = 0;
    for (const auto& it : from.servers)
    {
        const auto* state = find(it.name);
        if (!state || state->latency.samples() == 0)
            continue;
        sum += latency_us(*state);
        known += 1;
    }
    // Where no server is known it is this VM that is new, not the servers.
    const auto since = known > 0 ? now : now - options_.slow_start;
    const double typical = known > 0 ? sum / known : unknown_us;

    const bool respect = any_in(from, within, now);
    const model::server* best = nullptr;
    double least = 0;
    for (const auto& it : from.servers)
    {
        const auto busy = within.in_flight(it.name);
        const auto& state = state_of(it.name, since);
        const double part = options_.by_latency
                                ? within.slots * warmth(state, now)
                                : within.slots;
        const auto slots = std::min(
            within.slots,
            std::max(static_cast<std::uint32_t>(std::floor(part)), 1U));
        if (busy >= slots || (respect && ejected(it.name, now)) ||
            !is_open(within, it))
            continue;
        const double here = cost(state, busy, typical, now);
        if (best && here >= least)
            continue;
        best = &it;
        least = here;
    }
    return best;
}

void replica_chooser::on_success(const std::string& server,
                                 base::duration latency, base::instant now)
{
    auto& it = state_of(server, now);
    it.latency.add(latency);
    if (it.latency.samples() % high_every == 1)
        it.high = it.latency.quantile(high_quantile);
    it.failure_rate *= 1 - failure_weight;
    it.failures = 0;
    it.ejections = 0;
    it.seen = now;
}

void replica_chooser::on_abandoned(const std::string& server,
                                   base::duration elapsed, base::instant now)
{
    auto& it = state_of(server, now);
    it.latency.add(elapsed);
    it.high = std::max(it.high, elapsed);
    it.seen = now;
}

// Never all, and at most the capped share of the upstream's servers.
bool replica_chooser::may_eject(const model::upstream& of,
                                base::instant now) const
{
    const auto out = std::ranges::count_if(of.servers, [&](const auto& it)
                                           { return ejected(it.name, now); });
    const auto after = static_cast<double>(out + 1);
    const auto all = static_cast<double>(of.servers.size());
    return after < all && after <= all * options_.max_ejected_share;
}

std::optional<base::duration>
replica_chooser::on_failure(const model::upstream& of,
                            const std::string& server, base::instant now)
{
    auto& it = state_of(server, now);
    it.failure_rate += failure_weight * (1 - it.failure_rate);
    ++it.failures;
    it.seen = now;
    // A server that has just returned is out again after its first failure.
    const auto limit = it.ejections > 0 ? 1 : options_.failures_to_eject;
    if (!options_.ejection || it.failures < limit || ejected(server, now) ||
        !may_eject(of, now))
        return std::nullopt;
    const auto doublings = std::min(it.ejections, max_doublings);
    const auto wanted = options_.eject_time * (1U << doublings);
    const base::duration time =
        std::min<base::duration>(wanted, options_.max_eject_time);
    ++it.ejections;
    it.ejected_until = now + time;
    it.failures = 0;
    return time;
}

void replica_chooser::on_report(const std::string& server,
                                std::optional<double> load,
                                const std::string& incarnation,
                                base::instant now)
{
    auto& it = state_of(server, now);
    it.reported_load = load;
    if (incarnation.empty() || incarnation == it.incarnation)
        return;
    // Another process has empty caches: it begins slowly, and its predecessor's
    // failures are not held against it.
    if (!it.incarnation.empty())
    {
        it.warm_since = now;
        it.failures = 0;
    }
    it.incarnation = incarnation;
}

} // namespace mimosacroft::query
