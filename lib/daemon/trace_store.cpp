// The traces of the latest queries.
#include "mimosacroft/daemon/trace_store.hpp"

#include <algorithm>

namespace mimosacroft::daemon
{

void trace_store::put(const query::search_answer& answer)
{
    auto kept = answer;
    for (auto& it : kept.included)
        it.payload.clear();
    const std::lock_guard lock(mutex_);
    traces_.push_front(std::move(kept));
    if (traces_.size() > max_traces)
        traces_.pop_back();
}

std::optional<query::search_answer>
trace_store::find(const std::string& trace) const
{
    const std::lock_guard lock(mutex_);
    const auto it =
        std::ranges::find(traces_, trace, &query::search_answer::trace);
    if (it == traces_.end())
        return std::nullopt;
    return *it;
}

} // namespace mimosacroft::daemon
