// What the sources of the leaf share.
#ifndef MIMOSACROFT_LIB_QUERY_LEAF_DETAIL_HPP
#define MIMOSACROFT_LIB_QUERY_LEAF_DETAIL_HPP

#include "mimosacroft/base/names.hpp"
#include "mimosacroft/base/time.hpp"
#include "mimosacroft/model/resources.hpp"
#include "mimosacroft/wire/messages.hpp"

#include <cstddef>

namespace mimosacroft::query
{

/// Subqueries in one call, at most.
inline constexpr std::size_t max_batch = 64;

/// How often a server that is marked as leaving is asked whether it is another
/// process by now. No work goes to it, so nothing else would tell.
inline constexpr base::milliseconds probe_period{1000};

inline constexpr double hedge_quantile = 0.95;
inline constexpr double typical_quantile = 0.5;

inline model::priority priority_of(const wire::forward& request)
{
    return base::value_at<model::priority>(request.priority)
        .value_or(model::priority::ordinary);
}

} // namespace mimosacroft::query

#endif
