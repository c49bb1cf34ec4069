// Virtual time: actions in the order of their due times.
#ifndef MIMOSACROFT_LOAD_EVENT_QUEUE_HPP
#define MIMOSACROFT_LOAD_EVENT_QUEUE_HPP

#include "mimosacroft/base/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace mimosacroft::load
{

class event_queue
{
public:
    using action = std::function<void()>;

    base::instant now() const { return now_; }

    /// Runs `fn` at `due`, or next if that has passed. Actions of the same time
    /// run in the order in which they were added.
    void at(base::instant due, action fn);
    void after(base::duration wait, action fn);

    /// Runs everything due up to and including `end`, then sets the time to it.
    void run_until(base::instant end);

private:
    struct entry
    {
        base::instant due;
        std::uint64_t number = 0;
        action fn;
    };

    struct later
    {
        bool operator()(const entry& a, const entry& b) const
        {
            return a.due != b.due ? a.due > b.due : a.number > b.number;
        }
    };

    std::priority_queue<entry, std::vector<entry>, later> entries_;
    std::uint64_t last_number_ = 0;
    base::instant now_; ///< only grows
};

} // namespace mimosacroft::load

#endif
