// Follows one kind of object in the platform's store: lists it, then watches
// for changes, and starts anew when the history is gone. No input or output: it
// says which call is due, and takes what came of it.
#ifndef MIMOSACROFT_GATEWAY_OBJECT_FOLLOWER_HPP
#define MIMOSACROFT_GATEWAY_OBJECT_FOLLOWER_HPP

#include "mimosacroft/base/time.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosacroft::gateway
{

/// An object of the store, or the news of its end.
struct object_change
{
    std::string name;
    std::string content; ///< JSON of what its writer says; empty if deleted
    bool deleted = false;
};

/// One page of a list, or the changes that a watch brought.
struct object_batch
{
    std::vector<object_change> changes;
    std::uint64_t revision = 0; ///< of the store; continue from here
    bool has_more = false;      ///< of a list: another page follows
};

enum class follow_step
{
    list,
    watch
};

struct follow_call
{
    follow_step step = follow_step::list;
    std::string after;          ///< list: the last name of the page before
    std::uint64_t revision = 0; ///< watch: from here
    base::milliseconds wait{0}; ///< watch: for this long; its source says
};

struct follower_options
{
    /// From the start of one call to the next; keeps a busy kind from using up
    /// the store's rate.
    base::milliseconds pace{400};
    base::milliseconds first_retry{150};
    base::milliseconds longest_retry{400};
};

class object_follower
{
public:
    explicit object_follower(follower_options options) : options_(options) {}

    /// The call that is due, which then counts as under way; nothing if none.
    std::optional<follow_call> next(base::instant now);
    /// When next() has something to say; never while a call is under way.
    base::instant next_due() const;

    /// Takes a page or changes. When a list is complete, gives the names that
    /// it holds; all others are gone.
    std::optional<std::set<std::string>> on_batch(const object_batch& batch,
                                                  base::instant now);

    /// The history that the watch needs is gone.
    void on_history_gone(base::instant now);
    /// The call failed or was refused. `jitter` from 0 to 1 spreads the VMs.
    void on_failure(base::instant now, double jitter);
    /// After a failure: another source can be asked without a pause.
    void retry_at_once(base::instant now) { due_ = now; }

    /// Whether a whole list was taken since the start.
    bool is_complete() const { return complete_; }
    /// Calls that failed in a row.
    unsigned failures() const { return failures_; }
    std::uint64_t revision() const { return revision_; }

private:
    void start_list();

    follower_options options_;
    follow_step step_ = follow_step::list;
    std::string after_;
    std::set<std::string> listed_;
    std::uint64_t list_revision_ = 0; ///< of the first page
    std::uint64_t revision_ = 0;
    bool complete_ = false;
    bool under_way_ = false;
    unsigned failures_ = 0;
    base::instant due_{};
    base::instant started_{}; ///< the last call
};

} // namespace mimosacroft::gateway

#endif
