// Counters, gauges and histograms of one process.
#include "mimosacroft/base/metrics.hpp"

#include <algorithm>
#include <array>
#include <sstream>

namespace mimosacroft::base
{

namespace
{

constexpr auto second_bounds =
    std::to_array({0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3,
                   0.5, 1.0, 2.0, 5.0, 10.0});
constexpr auto share_bounds =
    std::to_array({0.5, 0.75, 0.9, 0.95, 0.99, 0.999});

std::string with_suffix(const std::string& name, const std::string& suffix)
{
    const auto brace = name.find('{');
    if (brace == std::string::npos)
        return name + suffix;
    return name.substr(0, brace) + suffix + name.substr(brace);
}

std::string escaped(std::string_view value)
{
    std::string out;
    for (const char c : value)
    {
        if (c == '\n')
        {
            out += "\\n";
            continue;
        }
        if (c == '"' || c == '\\')
            out += '\\';
        out += c;
    }
    return out;
}

std::string text_of(double value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

} // namespace

std::string with_label(const std::string& name, std::string_view label,
                       std::string_view value)
{
    std::string out = name;
    if (out.ends_with('}'))
        out.back() = ',';
    else
        out += '{';
    out += label;
    out += "=\"";
    out += escaped(value);
    out += "\"}";
    return out;
}

bool metrics::has_room() const
{
    return counters_.size() + gauges_.size() + histograms_.size() < most_series;
}

void metrics::add(const std::string& name, std::uint64_t n)
{
    const std::lock_guard lock(mutex_);
    const auto it = counters_.find(name);
    if (it != counters_.end())
        it->second += n;
    else if (has_room())
        counters_.emplace(name, n);
    else
        ++left_out_;
}

void metrics::set(const std::string& name, double value)
{
    const std::lock_guard lock(mutex_);
    const auto it = gauges_.find(name);
    if (it != gauges_.end())
        it->second = value;
    else if (has_room())
        gauges_.emplace(name, value);
    else
        ++left_out_;
}

void metrics::observe_seconds(const std::string& name, double value)
{
    observe(name, value, second_bounds);
}

void metrics::observe_share(const std::string& name, double value)
{
    observe(name, value, share_bounds);
}

void metrics::observe(const std::string& name, double value,
                      std::span<const double> bounds)
{
    const std::lock_guard lock(mutex_);
    auto it = histograms_.find(name);
    if (it == histograms_.end() && !has_room())
    {
        ++left_out_;
        return;
    }
    if (it == histograms_.end())
    {
        histogram fresh{bounds, std::vector<std::uint64_t>(bounds.size() + 1),
                        0};
        it = histograms_.emplace(name, std::move(fresh)).first;
    }
    const auto bucket = std::ranges::lower_bound(bounds, value);
    const auto n = static_cast<std::size_t>(bucket - bounds.begin());
    ++it->second.counts[n];
    it->second.sum += value;
}

std::string metrics::render() const
{
    const std::lock_guard lock(mutex_);
    std::ostringstream out;
    for (const auto& [name, n] : counters_)
        out << name << " " << n << "\n";
    for (const auto& [name, value] : gauges_)
        out << name << " " << value << "\n";
    for (const auto& [name, it] : histograms_)
    {
        const auto buckets = with_suffix(name, "_bucket");
        std::uint64_t below = 0;
        for (std::size_t n = 0; n < it.counts.size(); ++n)
        {
            below += it.counts[n];
            const auto bound =
                n < it.bounds.size() ? text_of(it.bounds[n]) : "+Inf";
            out << with_label(buckets, "le", bound) << " " << below << "\n";
        }
        out << with_suffix(name, "_sum") << " " << it.sum << "\n"
            << with_suffix(name, "_count") << " " << below << "\n";
    }
    if (left_out_ > 0)
        out << "mimosa_metrics_left_out_total " << left_out_ << "\n";
    return out.str();
}

} // namespace mimosacroft::base
