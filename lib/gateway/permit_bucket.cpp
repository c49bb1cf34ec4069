// A token bucket for the sends to a server that states a limit.
#include "mimosacroft/gateway/permit_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace mimosacroft::gateway
{

namespace
{

// Unused permits of this time can be stored.
constexpr double storage_s = 1;
// The only permit of a bucket with a low rate lapses after this time.
constexpr double permit_lifetime_s = 1;

} // namespace

void permit_bucket::advance(double rate, base::instant now)
{
    const auto passed =
        base::to_seconds(std::max(now - at_, base::duration(0)));
    at_ = std::max(at_, now);
    capacity_ = std::max(1.0, rate * storage_s);
    level_ += rate * passed;
    if (rate <= 0)
        level_ = 0;
    else if (rate * storage_s >= 1)
        level_ = std::min(level_, capacity_);
    else
        // The level rises on while the permit is unused, and starts at zero
        // again when it lapses.
        level_ = std::fmod(level_, 1 + rate * permit_lifetime_s);
}

bool permit_bucket::has_permit(double reserve) const
{
    return level_ >= 1 + reserve * (capacity_ - 1);
}

void permit_bucket::take()
{
    level_ = std::max(0.0, std::min(level_, capacity_) - 1);
}

} // namespace mimosacroft::gateway
