// The servers that this VM knows, and what it observed of each.
#include "mimosacroft/gateway/server_pool.hpp"

#include <algorithm>
#include <cmath>

namespace mimosacroft::gateway
{

namespace
{

using base::duration;
using base::instant;
using base::milliseconds;

// Without a newer observation a slow server is thought half as slow again
// after this time, so that it is tried again.
constexpr base::seconds slowness_half_life{3};
constexpr double slowness_weight = 0.3; ///< of the newest observation
constexpr double most_slowness = 30;
// One pause is no slow server: one observation raises the value this much at
// most before it is weighed.
constexpr double most_rise = 2.5;

// Stated load describes the moment of an answer only.
constexpr milliseconds load_lifetime{200};

constexpr milliseconds first_avoidance{250};
constexpr milliseconds longest_avoidance{2'000};
constexpr unsigned most_doublings = 3;
constexpr milliseconds refusal_avoidance{60};

// A server that owes answers for this many usual latencies is silent; servers
// pause for a fifth of a second now and then, and dark ones stay silent.
constexpr double silent_after = 2.2;
constexpr milliseconds least_silence{18};
constexpr milliseconds silence_penalty{150};
constexpr milliseconds dark_after{500};
constexpr milliseconds unlisted_penalty{600};
constexpr double cold_slowness = 1.6;

double decayed_slowness(const server& it, instant now)
{
    const auto age = base::to_seconds(now - it.slowness_at);
    const auto half_lives =
        age / base::to_seconds(duration(slowness_half_life));
    return 1 + (it.slowness - 1) * std::exp2(-half_lives);
}

duration scaled(duration d, double by)
{
    return std::chrono::duration_cast<duration>(d * by);
}

// Requests that the server has now, as far as this VM can tell.
std::size_t load_of(const server& it, instant now)
{
    std::size_t out = it.sent.size();
    if (it.load && now - it.load_at < load_lifetime)
        out = std::max(out, it.load->running + it.load->waiting);
    return out;
}

void end_exchange(server& it, instant sent_at)
{
    const auto found = std::ranges::find(it.sent, sent_at);
    if (found != it.sent.end())
        it.sent.erase(found);
}

void note_load(server& it, std::optional<stated_load> load, instant now)
{
    if (!load)
        return;
    it.load = load;
    it.load_at = now;
}

} // namespace

duration server::silence(instant now) const
{
    if (sent.empty())
        return {};
    return now - std::max(sent.front(), last_reply);
}

duration estimate(const server& it, duration expected, instant now)
{
    double slow = std::max(decayed_slowness(it, now), 0.5);
    if (it.cold_until > now)
        slow = std::max(slow, cold_slowness);
    const auto usual = scaled(expected, slow);
    const auto slots =
        static_cast<double>(std::max<std::size_t>(it.entry.slots, 1));
    const auto ahead =
        std::max(0.0, static_cast<double>(load_of(it, now)) - slots + 1);
    auto out =
        server_pool::round_trip(it.away) + scaled(usual, 1 + ahead / slots);
    const auto silence = it.silence(now);
    if (silence > std::max<duration>(scaled(usual, silent_after) +
                                         server_pool::round_trip(it.away),
                                     least_silence))
        out += silence_penalty;
    if (silence > std::max<duration>(dark_after, 4 * usual))
        out += unlikely;
    if (it.avoid_until > now || (it.failures > 0 && !it.sent.empty()))
        out += unlikely;
    if (!it.listed)
        out += unlisted_penalty;
    return out;
}

server_pool::server_pool(std::string data_centre,
                         std::map<std::string, std::string> regions)
    : data_centre_(std::move(data_centre)), regions_(std::move(regions))
{
}

duration server_pool::round_trip(distance away)
{
    switch (away)
    {
    case distance::same_data_centre:
        return milliseconds(1);
    case distance::same_region:
        return milliseconds(8);
    case distance::other_region:
        break;
    }
    return milliseconds(20);
}

distance server_pool::distance_to(const std::string& data_centre) const
{
    if (data_centre == data_centre_)
        return distance::same_data_centre;
    const auto mine = regions_.find(data_centre_);
    const auto other = regions_.find(data_centre);
    if (mine != regions_.end() && other != regions_.end() &&
        mine->second == other->second)
        return distance::same_region;
    return distance::other_region;
}

void server_pool::link(server& it)
{
    by_service_[it.entry.service].push_back(&it);
}

void server_pool::unlink(server& it)
{
    const auto found = by_service_.find(it.entry.service);
    if (found == by_service_.end())
        return;
    std::erase(found->second, &it);
    if (found->second.empty())
        by_service_.erase(found);
}

bool server_pool::apply(const server_entry& entry, instant now)
{
    const auto known = by_id_.find(entry.id);
    if (known != by_id_.end())
    {
        auto& it = *by_number_.at(known->second);
        const bool same = it.entry.started_at == entry.started_at &&
                          it.entry.address == entry.address &&
                          it.entry.service == entry.service;
        if (same)
        {
            const bool changed =
                it.entry.leaving != entry.leaving || !it.listed;
            it.entry = entry;
            it.listed = true;
            it.gone_at = base::never;
            it.cold_until = now + entry.cold_for;
            return changed;
        }
        forget(known->second);
    }
    auto fresh = std::make_unique<server>();
    fresh->number = ++last_number_;
    fresh->entry = entry;
    fresh->away = distance_to(entry.data_centre);
    fresh->cold_until = now + entry.cold_for;
    link(*fresh);
    by_id_[entry.id] = fresh->number;
    by_number_.emplace(fresh->number, std::move(fresh));
    return true;
}

void server_pool::remove(const std::string& id, instant now, duration hold)
{
    const auto known = by_id_.find(id);
    if (known == by_id_.end())
        return;
    auto& it = *by_number_.at(known->second);
    if (!it.listed)
        return;
    it.listed = false;
    it.gone_at = now + hold;
}

void server_pool::forget(server_number number)
{
    const auto found = by_number_.find(number);
    if (found == by_number_.end())
        return;
    unlink(*found->second);
    const auto id = by_id_.find(found->second->entry.id);
    if (id != by_id_.end() && id->second == number)
        by_id_.erase(id);
    by_number_.erase(found);
}

instant server_pool::settle(instant now)
{
    auto next = base::never;
    std::vector<server_number> due;
    for (const auto& [number, it] : by_number_)
    {
        if (it->gone_at <= now)
            due.push_back(number);
        else
            next = std::min(next, it->gone_at);
    }
    std::ranges::for_each(due, [this](auto number) { forget(number); });
    return next;
}

server* server_pool::find(server_number number)
{
    const auto it = by_number_.find(number);
    return it == by_number_.end() ? nullptr : it->second.get();
}

std::span<server* const> server_pool::of(const std::string& service) const
{
    const auto it = by_service_.find(service);
    if (it == by_service_.end())
        return {};
    return it->second;
}

bool server_pool::has_live(const std::string& service) const
{
    return std::ranges::any_of(of(service), [](const server* it)
                               { return !it->entry.leaving; });
}

std::vector<std::string> server_pool::listed_ids() const
{
    std::vector<std::string> out;
    for (const auto& [number, it] : by_number_)
        if (it->listed)
            out.push_back(it->entry.id);
    return out;
}

void server_pool::on_sent(server& it, instant now)
{
    it.sent.push_back(now);
}

void server_pool::on_reply(server& it, instant sent_at, instant now,
                           duration expected, std::optional<stated_load> load)
{
    end_exchange(it, sent_at);
    const auto usual = std::max<duration>(expected, milliseconds(1));
    const auto took = now - sent_at - round_trip(it.away);
    const auto before = decayed_slowness(it, now);
    const auto ratio =
        std::clamp(base::to_fractional_ms(took) / base::to_fractional_ms(usual),
                   0.2, std::min(most_rise * before, most_slowness));
    it.slowness = before + slowness_weight * (ratio - before);
    it.slowness_at = now;
    it.last_reply = now;
    it.failures = 0;
    it.avoid_until = {};
    note_load(it, load, now);
}

void server_pool::on_refused(server& it, instant sent_at, instant now,
                             std::optional<stated_load> load)
{
    end_exchange(it, sent_at);
    it.last_reply = now;
    it.avoid_until = std::max(it.avoid_until, now + refusal_avoidance);
    note_load(it, load, now);
}

void server_pool::on_failure(server& it, instant sent_at, instant now)
{
    end_exchange(it, sent_at);
    const auto doublings = std::min(it.failures, most_doublings);
    ++it.failures;
    it.avoid_until =
        now + std::min<duration>(first_avoidance * (1 << doublings),
                                 longest_avoidance);
}

void server_pool::on_dropped(server& it, instant sent_at)
{
    end_exchange(it, sent_at);
}

} // namespace mimosacroft::gateway
