// The experiments by name.
#ifndef MIMOSACROFT_LOAD_EXPERIMENTS_HPP
#define MIMOSACROFT_LOAD_EXPERIMENTS_HPP

#include "mimosacroft/load/measurement.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace mimosacroft::load
{

struct experiment
{
    std::string name;
    std::string summary;
    std::function<experiment_report(std::uint64_t seed)> run;
};

const std::vector<experiment>& experiments();

/// The experiment of a name, or null.
const experiment* find_experiment(const std::string& name);

} // namespace mimosacroft::load

#endif
