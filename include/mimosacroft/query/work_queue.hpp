// The subqueries that wait for a slot of an upstream: urgent before ordinary,
// the earliest deadline first in each class.
#ifndef MIMOSACROFT_QUERY_WORK_QUEUE_HPP
#define MIMOSACROFT_QUERY_WORK_QUEUE_HPP

#include "mimosacroft/base/time.hpp"
#include "mimosacroft/model/resources.hpp"

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <utility>

namespace mimosacroft::query
{

struct work_queue_options
{
    std::size_t max_length = 2048;
    /// While both classes wait, one in this many is an ordinary one.
    std::uint32_t ordinary_every = 8;
    /// Without priorities the order is that of arrival.
    bool priorities = true;
};

/// Where an entry stands; names it for remove().
struct work_ticket
{
    model::priority priority = model::priority::ordinary;
    base::instant deadline;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const work_ticket&, const work_ticket&) = default;
};

/// Invariant: size() is at most max_length.
template <typename T>
class work_queue
{
public:
    using entry = std::pair<const work_ticket, T>;

    explicit work_queue(work_queue_options options = {}) : options_(options) {}

    std::size_t size() const { return urgent_.size() + ordinary_.size(); }
    bool empty() const { return size() == 0; }
    bool full() const { return size() >= options_.max_length; }

    /// Adds an item; the queue must not be full.
    work_ticket push(model::priority priority, base::instant deadline, T item)
    {
        if (!options_.priorities)
        {
            priority = model::priority::ordinary;
            deadline = {};
        }
        const work_ticket made{priority, deadline, ++last_sequence_};
        lane_of(priority).emplace(made, std::move(item));
        return made;
    }

    /// Takes out the ordinary item with the latest deadline, to make room for
    /// an urgent one; nothing if no ordinary one waits.
    std::optional<T> evict_ordinary()
    {
        if (!options_.priorities || ordinary_.empty())
            return std::nullopt;
        const auto last = std::prev(ordinary_.end());
        auto out = std::move(last->second);
        ordinary_.erase(last);
        return out;
    }

    /// The item to serve next; the queue must not be empty.
    const entry& front() const
    {
        return serves_ordinary() ? *ordinary_.begin() : *urgent_.begin();
    }

    /// Takes out the item to serve next.
    T pop()
    {
        const bool ordinary = serves_ordinary();
        auto& lane = ordinary ? ordinary_ : urgent_;
        auto out = std::move(lane.begin()->second);
        lane.erase(lane.begin());
        since_ordinary_ = ordinary ? 0 : since_ordinary_ + 1;
        forget_pressure();
        return out;
    }

    bool remove(const work_ticket& it)
    {
        const bool gone = lane_of(it.priority).erase(it) > 0;
        forget_pressure();
        return gone;
    }

    /// How many items would be served before one with this deadline.
    std::size_t ahead_of(model::priority priority, base::instant deadline) const
    {
        if (!options_.priorities)
            return size();
        const bool urgent = priority == model::priority::urgent;
        const auto& own = urgent ? urgent_ : ordinary_;
        const auto before = own.upper_bound({priority, deadline, UINT64_MAX});
        const auto n =
            static_cast<std::size_t>(std::distance(own.begin(), before));
        return urgent ? n : n + urgent_.size();
    }

    /// An urgent item cannot afford that ordinary ones go first: they get no
    /// share until no urgent one waits.
    void press_urgent() { pressed_ = true; }

private:
    using lane = std::map<work_ticket, T>;

    lane& lane_of(model::priority it)
    {
        return it == model::priority::urgent ? urgent_ : ordinary_;
    }

    bool serves_ordinary() const
    {
        if (urgent_.empty() || ordinary_.empty())
            return urgent_.empty();
        return !pressed_ && since_ordinary_ + 1 >= options_.ordinary_every;
    }

    void forget_pressure() { pressed_ = pressed_ && !urgent_.empty(); }

    work_queue_options options_;
    lane urgent_;
    lane ordinary_;
    std::uint64_t last_sequence_ = 0;
    std::uint32_t since_ordinary_ = 0; ///< urgent ones since an ordinary one
    bool pressed_ = false;
};

} // namespace mimosacroft::query

#endif
