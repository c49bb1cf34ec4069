// Recent latencies of a server or an upstream: a decayed mean and quantiles.
#ifndef MIMOSACROFT_BASE_LATENCY_TRACKER_HPP
#define MIMOSACROFT_BASE_LATENCY_TRACKER_HPP

#include "mimosacroft/base/time.hpp"

#include <array>
#include <cstddef>

namespace mimosacroft::base
{

/// Counts in buckets whose bounds grow by a quarter of an octave; all counts
/// are halved when the window is full, so that older samples fade.
class latency_tracker
{
public:
    void add(duration sample);

    /// Decayed mean; zero without samples.
    duration mean() const;
    /// Upper bound of the bucket that holds the quantile; zero without samples.
    duration quantile(double q) const;
    std::size_t samples() const { return samples_; }

private:
    static constexpr std::size_t bucket_count = 96;

    std::array<float, bucket_count> counts_{};
    float total_ = 0;         ///< sum of counts_
    std::size_t samples_ = 0; ///< all that were ever added
    double mean_us_ = 0;
};

} // namespace mimosacroft::base

#endif
