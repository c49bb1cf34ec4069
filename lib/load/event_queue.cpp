// Virtual time.
#include "mimosacroft/load/event_queue.hpp"

#include <algorithm>
#include <utility>

namespace mimosacroft::load
{

void event_queue::at(base::instant due, action fn)
{
    entries_.push({std::max(due, now_), ++last_number_, std::move(fn)});
}

void event_queue::after(base::duration wait, action fn)
{
    at(now_ + wait, std::move(fn));
}

void event_queue::run_until(base::instant end)
{
    while (!entries_.empty() && entries_.top().due <= end)
    {
        auto next = entries_.top();
        entries_.pop();
        now_ = next.due;
        next.fn();
    }
    now_ = std::max(now_, end);
}

} // namespace mimosacroft::load
