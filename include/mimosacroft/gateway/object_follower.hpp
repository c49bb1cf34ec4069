// Follows one kind of object in the platform's store. It lists the objects,
// then watches for changes, and lists again when the store no longer has the
// history that the watch needs. A state machine without I/O: it returns the
// call that is due, and its owner reports the result.
#ifndef MIMOSACROFT_GATEWAY_OBJECT_FOLLOWER_HPP
#define MIMOSACROFT_GATEWAY_OBJECT_FOLLOWER_HPP

#include "mimosacroft/base/time.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mimosacroft::gateway
{

/// The current state of an object in the store, or its deletion.
struct object_change
{
    std::string name;
    std::string content; ///< JSON; empty if deleted
    bool deleted = false;
};

/// Returns the changes without those of an object that a later one replaces.
std::vector<object_change>
without_superseded(std::vector<object_change> changes);

/// A state of the store. The store may come back from a copy and give out again
/// the revisions since: these then stand for other changes, and the era is
/// higher. Any position of a later era comes after those of earlier ones.
struct store_position
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    auto operator<=>(const store_position&) const = default;
};

/// One page of a list, or the changes that a watch returned.
struct object_batch
{
    std::vector<object_change> changes;
    store_position position;    ///< of the store; the next watch starts here
    bool has_more = false;      ///< list only: another page follows
    std::size_t unreadable = 0; ///< objects without a readable name, left out
};

enum class follow_step
{
    list,
    watch
};

struct follow_call
{
    follow_step step = follow_step::list;
    std::string after;       ///< list: last name of the previous page
    store_position position; ///< watch: returns changes after this
    /// watch: how long the source waits for changes. Depends on the source, so
    /// next() leaves it zero.
    base::milliseconds watch_timeout{0};
};

struct follower_options
{
    /// Minimum time from the start of a watch to the start of the next call.
    /// Keeps a kind that changes often from using up the store's rate limit.
    base::milliseconds min_call_interval{400};
    base::milliseconds initial_backoff{150};
    base::milliseconds max_backoff{400};
};

class object_follower
{
public:
    explicit object_follower(follower_options options) : options_(options) {}

    /// Returns the call that is due and marks it as in flight; nothing if no
    /// call is due.
    std::optional<follow_call> next(base::instant now);
    /// Returns when next() will return a call; `never` while one is in flight.
    base::instant next_due() const;

    /// Handles a page of a list or the changes of a watch. On the last page of
    /// a list, returns the whole list; other objects have been deleted. The
    /// changes of a watch must be of the era of position().
    std::optional<object_batch> on_batch(const object_batch& batch,
                                         base::instant now);

    /// Called when what on_batch() was given is applied, which took `took`.
    /// Delays the next call, so that a VM for which changes come faster than
    /// it applies them has time for its callers. The first list, and the pages
    /// of later ones, are not delayed.
    void on_applied(base::duration took, base::instant now);

    /// Called when the source no longer has the history that the watch needs,
    /// or when it is in a later era.
    void on_history_gone(base::instant now);
    /// Called when the call failed or was refused. `jitter`, from 0 to 1,
    /// spreads the retries of the VMs.
    void on_failure(base::instant now, double jitter);
    /// Cancels the backoff after a failure, when another source can be asked.
    void retry_immediately(base::instant now) { next_call_at_ = now; }

    /// Whether a complete list was received since the start.
    bool is_complete() const { return has_full_list_; }
    /// Number of consecutive failed calls.
    unsigned failures() const { return failures_; }
    store_position position() const { return position_; }

private:
    void start_list();

    follower_options options_;
    follow_step step_ = follow_step::list;
    std::string last_listed_name_;
    /// The pages of a list so far, with the position of the first one.
    std::optional<object_batch> listed_;
    store_position position_;
    bool has_full_list_ = false;
    bool call_in_flight_ = false;
    unsigned failures_ = 0;
    base::instant next_call_at_{};
    base::instant last_call_at_{}; ///< start of the last call
};

} // namespace mimosacroft::gateway

#endif
