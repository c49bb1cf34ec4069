// Counters, gauges and distributions of one process.
#include "mimosacroft/daemon/metrics.hpp"

// The quantile header of Boost.Accumulators uses string streams without
// including them, so they come first.
#include <sstream>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>
#include <mutex>

namespace mimosacroft::daemon
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 4> quantiles = {0.5, 0.95, 0.99, 0.999};

using distribution =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum,
                                    acc::tag::extended_p_square_quantile>>;

// Splits name{labels} and joins the labels with one more.
std::string with_label(const std::string& name, const std::string& label)
{
    const auto brace = name.find('{');
    if (brace == std::string::npos)
        return name + "{" + label + "}";
    return name.substr(0, name.size() - 1) + "," + label + "}";
}

std::string with_suffix(const std::string& name, const std::string& suffix)
{
    const auto brace = name.find('{');
    if (brace == std::string::npos)
        return name + suffix;
    return name.substr(0, brace) + suffix + name.substr(brace);
}

} // namespace

struct metrics::impl
{
    mutable std::mutex mutex; // guards all below
    std::map<std::string, std::uint64_t> counters;
    std::map<std::string, double> gauges;
    std::map<std::string, distribution> distributions;
};

metrics::metrics() : impl_(std::make_unique<impl>()) {}
metrics::~metrics() = default;

void metrics::add(const std::string& name, std::uint64_t n)
{
    const std::lock_guard lock(impl_->mutex);
    impl_->counters[name] += n;
}

void metrics::set(const std::string& name, double value)
{
    const std::lock_guard lock(impl_->mutex);
    impl_->gauges[name] = value;
}

void metrics::observe(const std::string& name, double value)
{
    const std::lock_guard lock(impl_->mutex);
    const auto [it, made] = impl_->distributions.try_emplace(
        name, acc::extended_p_square_probabilities = quantiles);
    it->second(value);
}

std::string metrics::render() const
{
    const std::lock_guard lock(impl_->mutex);
    std::ostringstream out;
    for (const auto& [name, n] : impl_->counters)
        out << name << " " << n << "\n";
    for (const auto& [name, value] : impl_->gauges)
        out << name << " " << value << "\n";
    for (const auto& [name, it] : impl_->distributions)
    {
        for (const auto q : quantiles)
        {
            std::ostringstream label;
            label << "quantile=\"" << q << "\"";
            out << with_label(name, label.str()) << " "
                << acc::quantile(it, acc::quantile_probability = q) << "\n";
        }
        out << with_suffix(name, "_sum") << " " << acc::sum(it) << "\n"
            << with_suffix(name, "_count") << " " << acc::count(it) << "\n";
    }
    return out.str();
}

} // namespace mimosacroft::daemon
