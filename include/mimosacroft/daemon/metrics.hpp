// Counters, gauges and distributions of one process, written in the usual text
// format. Distributions are kept by Boost.Accumulators.
#ifndef MIMOSACROFT_DAEMON_METRICS_HPP
#define MIMOSACROFT_DAEMON_METRICS_HPP

#include <cstdint>
#include <memory>
#include <string>

namespace mimosacroft::daemon
{

/// May be used from any thread. `name` holds the labels, if any, in the text
/// format: name{label="value"}.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    void add(const std::string& name, std::uint64_t n = 1);
    void set(const std::string& name, double value);
    /// Adds a sample to a distribution, which is shown as a summary with
    /// quantiles, sum and count.
    void observe(const std::string& name, double value);

    std::string render() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mimosacroft::daemon

#endif
