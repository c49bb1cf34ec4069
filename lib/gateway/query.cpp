// A caller's request under way.
#include "mimosacroft/gateway/query.hpp"

namespace mimosacroft::gateway
{

bool covers(std::size_t in, std::size_t all, double least)
{
    // A rounding error must not turn enough into too little.
    constexpr double tolerance = 1e-9;
    return static_cast<double>(in) + tolerance >=
           least * static_cast<double>(all);
}

// Another VM decides whether what there is will do.
double query::least_coverage() const
{
    return is_relayed ? 0 : search->least_coverage;
}

bool query::has_least() const
{
    return done > 0 && covers(done, parts.size(), least_coverage());
}

bool query::can_reach_least() const
{
    const auto possible = parts.size() - failed;
    return possible > 0 && covers(possible, parts.size(), least_coverage());
}

} // namespace mimosacroft::gateway
