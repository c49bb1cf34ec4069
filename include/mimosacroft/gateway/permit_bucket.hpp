// A token bucket that paces the sends of this VM to a server that states a
// limit. The rates of all VMs' buckets add up to the limit.
#ifndef MIMOSACROFT_GATEWAY_PERMIT_BUCKET_HPP
#define MIMOSACROFT_GATEWAY_PERMIT_BUCKET_HPP

#include "mimosacroft/base/time.hpp"

namespace mimosacroft::gateway
{

/// Invariant: in any span of n seconds, a bucket with a constant rate of at
/// least one permit per second grants at most rate * (n + 1) permits. With a
/// lower rate it stores a single permit, which lapses after one second: else
/// many VMs with small shares could spend stored permits at the same moment.
class permit_bucket
{
public:
    /// `initial` is the number of permits at first, from 0 to 1. VMs that start
    /// with different numbers get their permits at different times.
    permit_bucket(double initial, base::instant now) : level_(initial), at_(now)
    {
    }

    /// Adds the permits accrued until `now` at `rate`, in permits per second.
    void advance(double rate, base::instant now);

    /// Whether a permit is available while `reserve`, a share from 0 to 1 of
    /// the other permits that the bucket can store, is kept back.
    bool has_permit(double reserve) const;
    void take();

private:
    double level_;
    double capacity_ = 1; ///< at least 1
    base::instant at_;    ///< of the last advance
};

} // namespace mimosacroft::gateway

#endif
