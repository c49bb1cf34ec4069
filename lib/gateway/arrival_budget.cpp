// Limits the extra requests (hedges and retries) that reach a service.
#include "mimosacroft/gateway/arrival_budget.hpp"

#include <algorithm>
#include <limits>

namespace mimosacroft::gateway
{

namespace
{

// Requests are counted when the VM receives them and extra requests when it
// sends them. They reach the service a little later, possibly in the next
// window, so a part of the budget is kept in reserve.
constexpr double safety_factor = 0.95;

std::int64_t second_of(base::instant at)
{
    return std::chrono::floor<std::chrono::seconds>(at.time_since_epoch())
        .count();
}

} // namespace

void arrival_budget::advance(base::instant now)
{
    const auto second = second_of(now);
    const auto passed =
        std::min<std::int64_t>(second - newest_second_, bucket_count);
    for (std::int64_t n = 0; n < passed; ++n)
        buckets_[static_cast<std::size_t>(second - n) % bucket_count] = {};
    newest_second_ = std::max(newest_second_, second);
}

const arrival_budget::bucket&
arrival_budget::bucket_at(std::int64_t second) const
{
    return buckets_[static_cast<std::size_t>(second) % bucket_count];
}

double arrival_budget::requests_in(std::int64_t from, std::int64_t to) const
{
    double out = 0;
    for (auto second = from; second <= std::min(to, newest_second_); ++second)
        out += bucket_at(second).requests;
    return out;
}

// The window starts somewhere within the second `start`, so only seconds that
// lie entirely inside the window are counted.
double arrival_budget::max_requests(std::int64_t start,
                                    std::int64_t window) const
{
    const auto half = window / 2;
    return std::max({requests_in(start + 1, start + window - 1),
                     requests_in(start + 1 - half, start + half - 1),
                     requests_in(start + 1 - window, start - 1)});
}

// Returns how many extra requests fit into every window that contains the
// newest second.
double arrival_budget::remaining(const arrival_budget_options& options) const
{
    const auto window = options.window.count();
    double extras = 0;
    double out = std::numeric_limits<double>::max();
    for (auto start = newest_second_; start >= newest_second_ - window; --start)
    {
        extras += bucket_at(start).extras;
        const auto limit =
            options.ratio * max_requests(start, window) + options.slack;
        out = std::min(out, safety_factor * limit - extras);
    }
    return out;
}

void arrival_budget::on_request(base::instant now)
{
    advance(now);
    ++buckets_[static_cast<std::size_t>(newest_second_) % bucket_count]
          .requests;
}

bool arrival_budget::try_acquire(const arrival_budget_options& options,
                                 base::instant now)
{
    advance(now);
    if (remaining(options) < 1)
        return false;
    ++buckets_[static_cast<std::size_t>(newest_second_) % bucket_count].extras;
    return true;
}

double arrival_budget::utilization(const arrival_budget_options& options,
                                   base::instant now)
{
    advance(now);
    const auto window = options.window.count();
    const auto limit =
        safety_factor *
        (options.ratio * max_requests(newest_second_ - window, window) +
         options.slack);
    return limit <= 0 ? 1
                      : std::clamp(1 - remaining(options) / limit, 0.0, 1.0);
}

} // namespace mimosacroft::gateway
