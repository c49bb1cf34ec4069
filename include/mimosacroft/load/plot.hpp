// Draws the latency curves of measurements as SVG.
#ifndef MIMOSACROFT_LOAD_PLOT_HPP
#define MIMOSACROFT_LOAD_PLOT_HPP

#include "mimosacroft/base/error.hpp"
#include "mimosacroft/load/measurement.hpp"

#include <string>
#include <vector>

namespace mimosacroft::load
{

struct curve
{
    std::string label;
    std::vector<quantile> points;
};

/// Reads the curves from the JSON of an experiment's report.
base::result<std::vector<curve>> read_curves(const std::string& json);

/// Latency over the share of requests. The share's axis is logarithmic towards
/// 1, so that each nine has the same width; so is the axis of latency.
std::string to_svg(const std::vector<curve>& curves);

} // namespace mimosacroft::load

#endif
