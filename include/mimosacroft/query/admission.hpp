// Limits the queries that a root has open. A query needs all of its shards, so
// when the servers are overloaded and each shard is refused by chance, nearly
// no query gets a whole answer. The root therefore takes fewer queries and
// refuses the others before anything runs.
//
// The limit follows the share of shards that waited long in a leaf's queue or
// were refused there: additive increase, multiplicative decrease. Slow or dead
// servers leave no queue behind, and so do not lower the limit.
#ifndef MIMOSACROFT_QUERY_ADMISSION_HPP
#define MIMOSACROFT_QUERY_ADMISSION_HPP

#include "mimosacroft/base/time.hpp"
#include "mimosacroft/model/resources.hpp"

#include <array>
#include <cstddef>

namespace mimosacroft::query
{

struct admission_options
{
    bool enabled = true;
    double initial_limit = 256;
    double least_limit = 2;
    double most_limit = 4096;
    base::milliseconds window{100}; ///< the limit falls once in it, at most
    double congested_share = 0.1;   ///< of shards, from which the limit falls
    double decrease = 0.7;          ///< factor
    /// Urgent queries may go beyond the limit by this factor: a root without an
    /// ordinary one open cannot know whether others have some.
    double urgent_factor = 4;
};

class admission
{
public:
    explicit admission(admission_options options = {});

    /// Whether one more query may start; it then counts as open. An urgent one
    /// is refused only far over the limit with no ordinary one open.
    bool try_open(model::priority priority);

    /// A query ended: how many shards it had, and how many of them waited long
    /// or were refused in a queue.
    void close(model::priority priority, std::size_t shards,
               std::size_t congested, base::instant now);

    double limit() const { return limit_; }

private:
    std::size_t open() const { return open_[0] + open_[1]; }
    void end_window(base::instant now);

    admission_options options_;
    double limit_;                      ///< within least and most
    std::array<std::size_t, 2> open_{}; ///< by priority
    base::instant window_start_{};
    std::size_t shards_ = 0;    ///< of queries that ended in the window
    std::size_t congested_ = 0; ///< of shards_
};

} // namespace mimosacroft::query

#endif
