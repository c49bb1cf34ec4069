// The budget of extra arrivals at a service.
#include "mimosacroft/gateway/arrival_budget.hpp"

#include <algorithm>
#include <limits>

namespace mimosacroft::gateway
{

namespace
{

// Requests are counted when they come and extras when they are sent; at the
// service they arrive a little later, maybe in the next window.
constexpr double safety = 0.95;

std::int64_t second_of(base::instant at)
{
    return std::chrono::floor<std::chrono::seconds>(at.time_since_epoch())
        .count();
}

} // namespace

void arrival_budget::advance(base::instant now)
{
    const auto second = second_of(now);
    const auto passed = std::min<std::int64_t>(second - current_, bucket_count);
    for (std::int64_t n = 0; n < passed; ++n)
        buckets_[static_cast<std::size_t>(second - n) % bucket_count] = {};
    current_ = std::max(current_, second);
}

const arrival_budget::bucket& arrival_budget::at(std::int64_t second) const
{
    return buckets_[static_cast<std::size_t>(second) % bucket_count];
}

double arrival_budget::requests_in(std::int64_t from, std::int64_t to) const
{
    double out = 0;
    for (auto second = from; second <= std::min(to, current_); ++second)
        out += at(second).requests;
    return out;
}

// A window starts somewhere inside the second `start`: only seconds that are
// wholly in it count.
double arrival_budget::most_requests(std::int64_t start,
                                     std::int64_t window) const
{
    const auto half = window / 2;
    return std::max({requests_in(start + 1, start + window - 1),
                     requests_in(start + 1 - half, start + half - 1),
                     requests_in(start + 1 - window, start - 1)});
}

// The extra arrivals that every window around the newest second still has room
// for.
double arrival_budget::room(const arrival_budget_options& options) const
{
    const auto window = options.window.count();
    double extras = 0;
    double out = std::numeric_limits<double>::max();
    for (auto start = current_; start >= current_ - window; --start)
    {
        extras += at(start).extras;
        const auto most =
            options.ratio * most_requests(start, window) + options.slack;
        out = std::min(out, safety * most - extras);
    }
    return out;
}

void arrival_budget::on_request(base::instant now)
{
    advance(now);
    ++buckets_[static_cast<std::size_t>(current_) % bucket_count].requests;
}

bool arrival_budget::take(const arrival_budget_options& options,
                          base::instant now)
{
    advance(now);
    if (room(options) < 1)
        return false;
    ++buckets_[static_cast<std::size_t>(current_) % bucket_count].extras;
    return true;
}

double arrival_budget::used(const arrival_budget_options& options,
                            base::instant now)
{
    advance(now);
    const auto window = options.window.count();
    const auto most =
        safety * (options.ratio * most_requests(current_ - window, window) +
                  options.slack);
    return most <= 0 ? 1 : std::clamp(1 - room(options) / most, 0.0, 1.0);
}

} // namespace mimosacroft::gateway
