// The budget of extra arrivals at a service.
#include "mimosacroft/gateway/arrival_budget.hpp"

#include <algorithm>

namespace mimosacroft::gateway
{

namespace
{

// Requests are counted when they come and extras when they are sent; at the
// service they arrive a little later, maybe in the next window.
constexpr double safety = 0.9;

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

// Extras are summed over one second more than the window, requests over one
// less: a window may begin inside a second.
arrival_budget::totals
arrival_budget::sums(const arrival_budget_options& options) const
{
    totals out;
    const auto window = options.window.count();
    for (std::int64_t age = 0; age <= window; ++age)
    {
        const auto& it =
            buckets_[static_cast<std::size_t>(current_ - age) % bucket_count];
        out.extras += it.extras;
        out.requests += age < window ? it.requests : 0;
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
    const auto sum = sums(options);
    if (sum.extras + 1 >
        safety * (options.ratio * sum.requests + options.slack))
        return false;
    ++buckets_[static_cast<std::size_t>(current_) % bucket_count].extras;
    return true;
}

double arrival_budget::used(const arrival_budget_options& options,
                            base::instant now)
{
    advance(now);
    const auto sum = sums(options);
    const auto most = safety * (options.ratio * sum.requests + options.slack);
    return most <= 0 ? 1 : std::min(1.0, sum.extras / most);
}

} // namespace mimosacroft::gateway
