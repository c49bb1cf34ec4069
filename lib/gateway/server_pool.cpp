// The servers that this VM knows and its observations of each.
#include "mimosacroft/gateway/server_pool.hpp"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace mimosacroft::gateway
{

namespace
{

using base::duration;
using base::instant;
using base::milliseconds;

// Without new observations, the excess latency assumed for a slow server halves
// in this time, so that the server is tried again.
constexpr base::seconds latency_ratio_half_life{3};
// Weight of the newest observation in the moving average.
constexpr double latency_ratio_weight = 0.3;
constexpr double max_latency_ratio = 30;
// A single pause does not make a server slow: before weighting, one observation
// is limited to this multiple of the current ratio.
constexpr double max_ratio_increase = 2.5;

// Reported load is valid only shortly after the answer that carried it.
constexpr milliseconds reported_load_lifetime{200};

constexpr milliseconds initial_avoidance{250};
constexpr milliseconds max_avoidance{2'000};
constexpr unsigned max_doublings = 3;
constexpr milliseconds refusal_avoidance{60};

// A server is silent if it has not replied for silence_factor times its usual
// latency plus the round trip, and for at least min_silence. Servers
// occasionally pause for 200 ms; a server that is still silent after
// unresponsive_after, and after four times its usual latency, is assumed to be
// down.
constexpr double silence_factor = 2.2;
constexpr milliseconds min_silence{18};
constexpr milliseconds silence_penalty{150};
constexpr milliseconds unresponsive_after{500};
constexpr milliseconds unlisted_penalty{600};
constexpr double warmup_latency_ratio = 1.6;

// A server's limit is shared by all VMs, in the ratio of these weights. Most
// requests for a server come from the VMs of its own data centre.
constexpr double same_data_centre_weight = 8;
constexpr double same_region_weight = 2;
constexpr double other_region_weight = 1;

// A server can't take a pause back, since it gets no request that it could
// answer, so that a longer one is not believed.
constexpr base::minutes max_pause{5};

// Servers that said that they leave are remembered although their entries are
// removed: an entry may come back from an older state of the store.
constexpr std::size_t max_leaving_records = 4'096;
// Other VMs are told of a server that leaves for this long, and of at most so
// many at a time.
constexpr base::seconds leaving_news_time{10};
constexpr std::size_t max_leaving_news = 8;

// All VMs together send at least this often, in requests per second, since a VM
// learns only from answers that a limit has changed or ended.
constexpr double min_limit_per_second = 0.25;

double limit_weight(distance network_distance)
{
    switch (network_distance)
    {
    case distance::same_data_centre:
        return same_data_centre_weight;
    case distance::same_region:
        return same_region_weight;
    case distance::other_region:
        break;
    }
    return other_region_weight;
}

double decayed_latency_ratio(const server& it, instant now)
{
    const auto age = base::to_seconds(now - it.latency_ratio_at);
    const auto half_lives =
        age / base::to_seconds(duration(latency_ratio_half_life));
    return 1 + (it.latency_ratio - 1) * std::exp2(-half_lives);
}

duration scaled(duration d, double by)
{
    return std::chrono::duration_cast<duration>(d * by);
}

// Number of requests that the server has now, as far as this VM can tell.
std::size_t estimated_load(const server& it, instant now)
{
    std::size_t out = it.in_flight.size();
    if (it.load && now - it.load_at < reported_load_lifetime)
        out = std::max(out, it.load->running + it.load->waiting);
    return out;
}

void end_exchange(server& it, instant sent_at)
{
    const auto found = std::ranges::find(it.in_flight, sent_at);
    if (found != it.in_flight.end())
        it.in_flight.erase(found);
}

void record_load(server& it, std::optional<reported_load> load, instant now)
{
    if (!load)
        return;
    it.load = load;
    it.load_at = now;
}

} // namespace

duration server::silence(instant now) const
{
    if (in_flight.empty())
        return {};
    return now - std::max(in_flight.front(), last_reply);
}

duration estimate_latency(const server& it, duration expected, instant now)
{
    double slow = std::max(decayed_latency_ratio(it, now), 0.5);
    if (it.warmup_until > now)
        slow = std::max(slow, warmup_latency_ratio);
    const auto usual = scaled(expected, slow);
    const auto slots =
        static_cast<double>(std::max<std::size_t>(it.entry.slots, 1));
    const auto ahead =
        std::max(0.0, static_cast<double>(estimated_load(it, now)) - slots + 1);
    auto out = server_pool::round_trip(it.network_distance) +
               scaled(usual, 1 + ahead / slots);
    const auto silence = it.silence(now);
    if (silence >
        std::max<duration>(scaled(usual, silence_factor) +
                               server_pool::round_trip(it.network_distance),
                           min_silence))
        out += silence_penalty;
    if (silence > std::max<duration>(unresponsive_after, 4 * usual))
        out += unlikely_estimate;
    if (it.avoid_until > now || (it.failures > 0 && !it.in_flight.empty()))
        out += unlikely_estimate;
    if (!it.listed)
        out += unlisted_penalty;
    return out;
}

server_pool::server_pool(std::string data_centre,
                         std::map<std::string, std::string> regions,
                         std::uint32_t seed)
    : data_centre_(std::move(data_centre)), regions_(std::move(regions)),
      random_(seed)
{
    fleet_.by_data_centre[data_centre_] = 1;
}

duration server_pool::round_trip(distance network_distance)
{
    switch (network_distance)
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

distance server_pool::distance_between(const std::string& one,
                                       const std::string& other) const
{
    if (one == other)
        return distance::same_data_centre;
    const auto region = regions_.find(one);
    const auto other_region = regions_.find(other);
    if (region != regions_.end() && other_region != regions_.end() &&
        region->second == other_region->second)
        return distance::same_region;
    return distance::other_region;
}

void server_pool::add_to_service(server& it)
{
    by_service_[it.entry.service].push_back(&it);
}

void server_pool::remove_from_service(server& it)
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
            it.forget_at = base::never;
            it.warmup_until = now + entry.warmup_left;
            return changed;
        }
        forget(known->second);
    }
    auto fresh = std::make_unique<server>();
    fresh->number = ++last_number_;
    fresh->entry = entry;
    fresh->network_distance = distance_between(data_centre_, entry.data_centre);
    fresh->warmup_until = now + entry.warmup_left;
    fresh->said_leaving = has_said_leaving({entry.id, entry.started_at});
    add_to_service(*fresh);
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
    it.forget_at = now + hold;
}

void server_pool::forget(server_number number)
{
    const auto found = by_number_.find(number);
    if (found == by_number_.end())
        return;
    remove_from_service(*found->second);
    const auto id = by_id_.find(found->second->entry.id);
    if (id != by_id_.end() && id->second == number)
        by_id_.erase(id);
    by_number_.erase(found);
}

instant server_pool::forget_expired(instant now)
{
    auto next = base::never;
    std::vector<server_number> due;
    for (const auto& [number, it] : by_number_)
    {
        if (it->forget_at <= now)
            due.push_back(number);
        else
            next = std::min(next, it->forget_at);
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
                               { return !it->is_leaving(); });
}

std::vector<std::string> server_pool::listed_ids() const
{
    std::vector<std::string> out;
    for (const auto& [number, it] : by_number_)
        if (it->listed)
            out.push_back(it->entry.id);
    return out;
}

std::size_t server_pool::limited() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(by_number_, [](const auto& one)
                              { return one.second->limit.has_value(); }));
}

std::size_t server_pool::leaving() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        by_number_, [](const auto& one) { return one.second->is_leaving(); }));
}

std::size_t server_pool::paused(instant now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(by_number_, [now](const auto& one)
                              { return one.second->paused_until > now; }));
}

double server_pool::limit_share(const server& it) const
{
    // VMs that are assumed to exist count as close to the server, so that the
    // share is too small rather than too large.
    auto total = static_cast<double>(fleet_.unknown) * same_data_centre_weight;
    for (const auto& [data_centre, vms] : fleet_.by_data_centre)
        total +=
            static_cast<double>(vms) *
            limit_weight(distance_between(data_centre, it.entry.data_centre));
    return limit_weight(it.network_distance) / total;
}

void server_pool::refill_permits(server& it, instant now) const
{
    const auto per_second =
        std::max(it.limit->per_second, min_limit_per_second);
    it.limit->permits.advance(per_second * limit_share(it), now);
}

bool server_pool::has_said_leaving(const server_incarnation& it) const
{
    return std::ranges::find(said_leaving_, it, &leaving_record::who) !=
           said_leaving_.end();
}

bool server_pool::on_said_leaving(const server_incarnation& it, instant now)
{
    // Without a start time, the next incarnation looks the same.
    if (it.started_at == 0 || has_said_leaving(it))
        return false;
    if (said_leaving_.size() == max_leaving_records)
        said_leaving_.pop_front();
    said_leaving_.push_back({it, now});
    const auto known = by_id_.find(it.id);
    if (known == by_id_.end())
        return true;
    auto& listed = *by_number_.at(known->second);
    listed.said_leaving =
        listed.said_leaving || listed.entry.started_at == it.started_at;
    return true;
}

std::vector<server_incarnation> server_pool::recently_left(instant now) const
{
    std::vector<server_incarnation> out;
    for (const auto& it : said_leaving_ | std::views::reverse)
    {
        if (out.size() == max_leaving_news || it.at + leaving_news_time < now)
            break;
        out.push_back(it.who);
    }
    return out;
}

bool server_pool::on_pause(server& it, milliseconds pause, instant now)
{
    const bool is_new = it.paused_until <= now;
    const auto until = now + std::min<milliseconds>(pause, max_pause);
    it.paused_until = std::max(it.paused_until, until);
    last_pause_end_ = std::max(last_pause_end_, until);
    return is_new;
}

bool server_pool::may_send(server& it, double reserve, instant now) const
{
    if (it.paused_until > now)
        return false;
    if (!it.limit)
        return true;
    refill_permits(it, now);
    return it.limit->permits.has_permit(reserve);
}

void server_pool::on_sent(server& it, instant now)
{
    it.in_flight.push_back(now);
    if (!it.limit)
        return;
    ++it.limit->sends;
    refill_permits(it, now);
    it.limit->permits.take();
}

void server_pool::on_reply(server& it, instant sent_at, instant now,
                           duration expected, std::optional<reported_load> load)
{
    end_exchange(it, sent_at);
    const auto usual = std::max<duration>(expected, milliseconds(1));
    const auto took = now - sent_at - round_trip(it.network_distance);
    const auto before = decayed_latency_ratio(it, now);
    const auto ratio = std::clamp(
        base::to_fractional_ms(took) / base::to_fractional_ms(usual), 0.2,
        std::min(max_ratio_increase * before, max_latency_ratio));
    it.latency_ratio = before + latency_ratio_weight * (ratio - before);
    it.latency_ratio_at = now;
    it.last_reply = now;
    it.failures = 0;
    it.avoid_until = {};
    record_load(it, load, now);
}

void server_pool::on_refused(server& it, instant sent_at, instant now,
                             std::optional<reported_load> load)
{
    end_exchange(it, sent_at);
    it.last_reply = now;
    it.avoid_until = std::max(it.avoid_until, now + refusal_avoidance);
    record_load(it, load, now);
}

bool server_pool::on_stated_limit(server& it, std::optional<double> per_second,
                                  instant sent_at, instant now)
{
    if (!per_second)
    {
        if (!it.limit || sent_at <= it.limit->last_at)
            return false;
        it.limit.reset();
        return true;
    }
    const bool changed = !it.limit || it.limit->per_second != *per_second;
    // Permits of the time before are granted at the old limit.
    if (it.limit)
        refill_permits(it, now);
    else
        it.limit = stated_limit{
            *per_second, now, now, 0,
            permit_bucket(std::uniform_real_distribution<>(0, 1)(random_),
                          now)};
    it.limit->per_second = *per_second;
    it.limit->last_at = now;
    return changed;
}

void server_pool::on_failure(server& it, instant sent_at, instant now)
{
    end_exchange(it, sent_at);
    const auto doublings = std::min(it.failures, max_doublings);
    ++it.failures;
    it.avoid_until =
        now +
        std::min<duration>(initial_avoidance * (1 << doublings), max_avoidance);
}

void server_pool::on_canceled(server& it, instant sent_at)
{
    end_exchange(it, sent_at);
}

} // namespace mimosacroft::gateway
