// Limits the queries that a root has open.
#include "mimosacroft/query/admission.hpp"

#include <algorithm>
#include <cassert>

namespace mimosacroft::query
{

namespace
{

constexpr std::size_t place(model::priority it)
{
    return static_cast<std::size_t>(it);
}

constexpr std::size_t ordinary = place(model::priority::ordinary);

} // namespace

admission::admission(admission_options options)
    : options_(options), limit_(options.initial_limit)
{
}

bool admission::try_open(model::priority priority)
{
    const bool urgent = priority == model::priority::urgent;
    const double most = urgent ? limit_ * options_.urgent_factor : limit_;
    const bool room = static_cast<double>(open()) < most;
    const bool goes_first = urgent && open_[ordinary] > 0;
    if (options_.enabled && !room && !goes_first)
        return false;
    ++open_[place(priority)];
    return true;
}

void admission::close(model::priority priority, std::size_t shards,
                      std::size_t congested, base::instant now)
{
    assert(open_[place(priority)] > 0 && "only an open query is closed");
    // An unused limit does not grow.
    const bool used = 2 * static_cast<double>(open()) >= limit_;
    --open_[place(priority)];
    shards_ += shards;
    congested_ += congested;
    if (congested == 0 && used)
        limit_ = std::min(limit_ + 1 / limit_, options_.most_limit);
    if (now - window_start_ >= options_.window)
        end_window(now);
}

void admission::end_window(base::instant now)
{
    const auto share = static_cast<double>(congested_) /
                       static_cast<double>(std::max<std::size_t>(shards_, 1));
    if (share >= options_.congested_share)
        // The limit falls from what was in use, not from an unused height.
        limit_ = std::max(options_.decrease *
                              std::min(limit_, static_cast<double>(open() + 1)),
                          options_.least_limit);
    window_start_ = now;
    shards_ = 0;
    congested_ = 0;
}

} // namespace mimosacroft::query
