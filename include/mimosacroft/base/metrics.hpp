// Counters, gauges and histograms of one process, written in the usual text
// format.
#ifndef MIMOSACROFT_BASE_METRICS_HPP
#define MIMOSACROFT_BASE_METRICS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mimosacroft::base
{

/// `name` with one more label. `value` may hold any bytes.
std::string with_label(const std::string& name, std::string_view label,
                       std::string_view value);

/// May be used from any thread. `name` holds the labels, if any, in the text
/// format: name{label="value"}; see with_label().
class metrics
{
public:
    void add(const std::string& name, std::uint64_t n = 1);
    void set(const std::string& name, double value);
    /// Adds a time in seconds to a histogram.
    void observe_seconds(const std::string& name, double value);
    /// Adds a share from 0 to 1 to a histogram.
    void observe_share(const std::string& name, double value);

    std::string render() const;

    /// Series that are kept at most; samples of others are counted as left out.
    static constexpr std::size_t most_series = 2'000;

private:
    struct histogram
    {
        std::span<const double> bounds;    ///< upper ones, ascending
        std::vector<std::uint64_t> counts; ///< one more than bounds
        double sum = 0;
    };

    bool has_room() const;
    void observe(const std::string& name, double value,
                 std::span<const double> bounds);

    mutable std::mutex mutex_; // guards all below
    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, double> gauges_;
    std::map<std::string, histogram> histograms_;
    std::uint64_t left_out_ = 0;
};

} // namespace mimosacroft::base

#endif
