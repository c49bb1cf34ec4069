// Recent latencies of a server or an upstream.
#include "mimosacroft/base/latency_tracker.hpp"

#include <algorithm>
#include <cmath>

namespace mimosacroft::base
{

namespace
{

constexpr double buckets_per_octave = 4;
constexpr double least_us = 8; ///< upper bound of the first bucket
constexpr float window = 512;  ///< samples until all counts are halved
constexpr double mean_weight = 0.1;

duration from_us(double us)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::micro>(us));
}

} // namespace

void latency_tracker::add(duration sample)
{
    const double us = std::max(to_fractional_us(sample), least_us);
    const auto wanted = static_cast<std::size_t>(
        std::ceil(std::log2(us / least_us) * buckets_per_octave));
    counts_[std::min(wanted, bucket_count - 1)] += 1;
    total_ += 1;
    mean_us_ = samples_ == 0 ? us : mean_us_ + mean_weight * (us - mean_us_);
    ++samples_;
    if (total_ < window)
        return;
    std::ranges::for_each(counts_, [](float& n) { n /= 2; });
    total_ /= 2;
}

duration latency_tracker::mean() const
{
    return from_us(mean_us_);
}

duration latency_tracker::quantile(double q) const
{
    if (samples_ == 0)
        return {};
    const auto wanted = static_cast<float>(q) * total_;
    float seen = 0;
    std::size_t n = 0;
    for (; n + 1 < bucket_count; ++n)
    {
        seen += counts_[n];
        if (seen >= wanted)
            break;
    }
    return from_us(least_us *
                   std::exp2(static_cast<double>(n) / buckets_per_octave));
}

} // namespace mimosacroft::base
