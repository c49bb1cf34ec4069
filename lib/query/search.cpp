// Outcome and coverage of an answer.
#include "mimosacroft/query/search.hpp"

#include <algorithm>

namespace mimosacroft::query
{

search_answer blank_answer(const search_request& request)
{
    search_answer out;
    out.ticket = request.ticket;
    out.search = request.search;
    out.trace = request.trace;
    return out;
}

double coverage_of(const search_answer& answer)
{
    const auto all = answer.included.size() + answer.lacking.size();
    return all == 0 ? 1.0
                    : static_cast<double>(answer.included.size()) /
                          static_cast<double>(all);
}

model::outcome decide_outcome(const search_answer& answer)
{
    if (answer.lacking.empty())
        return model::outcome::answered;
    if (!answer.included.empty())
        return model::outcome::partial;
    const bool none_ran =
        std::ranges::none_of(answer.lacking, &lacking_shard::maybe_run);
    return none_ran ? model::outcome::not_run : model::outcome::unknown;
}

} // namespace mimosacroft::query
