// Removes claims whose keys are too old to be sent again. Every VM does it, in
// small sweeps and without a word to the others: a sweep lists the oldest
// claims and deletes some of them, each on condition of its version. Two VMs
// that take the same claim do no harm.
//
// A claim counts as old only if this VM's clock and the platform's agree.
#ifndef MIMOSACROFT_QUERY_CLAIM_SWEEPER_HPP
#define MIMOSACROFT_QUERY_CLAIM_SWEEPER_HPP

#include "mimosacroft/core/effects.hpp"
#include "mimosacroft/query/claim_key.hpp"

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace mimosacroft::query
{

struct claim_sweeper_options
{
    std::string platform_address; ///< ip:port
    base::milliseconds call_timeout{1000};
    /// Between two sweeps of the whole fleet, while no claims are made.
    base::milliseconds fleet_period{60'000};
    base::milliseconds longest_rest{3'600'000}; ///< when none is old
    base::milliseconds budget_retry{1000};      ///< after a refused call
    base::seconds clock_tolerance{1800}; ///< between own and platform's clock
    std::size_t listed = 64;             ///< names in one list
    std::size_t removed = 16;            ///< claims of one sweep, at most
    double removals_per_claim = 1.25;    ///< that a new claim pays for
};

/// An object of the platform that is to be deleted.
struct old_claim
{
    std::string name;
    std::uint64_t version = 0;
};

class claim_sweeper
{
public:
    /// Says whether a call to the platform may be made now, and counts it.
    using call_permit = std::function<bool(base::instant)>;

    claim_sweeper(claim_sweeper_options options, std::uint64_t seed,
                  call_permit may_call);

    /// The wall clock in seconds since 1970; nothing is removed without it.
    void on_wall_clock(std::int64_t seconds, base::instant now);
    /// This VM made a claim; it pays for removals.
    void on_claim_won(base::instant now);
    void on_http_reply(std::uint64_t call,
                       const base::result<wire::http_reply>& reply,
                       base::instant now, core::effects& out);
    /// `members` is the number of VMs that sweep.
    void on_tick(std::size_t members, base::instant now, core::effects& out);
    base::instant next_wakeup() const;
    /// Starts nothing more.
    void stop() { stopped_ = true; }

    std::uint64_t removed() const { return removed_; }
    /// Deletes that found another version, or nothing.
    std::uint64_t lost_races() const { return lost_races_; }

private:
    using reply_result = base::result<wire::http_reply>;

    void call(wire::http_request request, base::instant now,
              core::effects& out);
    void list(base::instant now, core::effects& out);
    void remove_next(base::instant now, core::effects& out);
    void on_listed(const reply_result& reply, base::instant now,
                   core::effects& out);
    void on_removed(const reply_result& reply, base::instant now);
    bool clocks_agree(std::int64_t platform_s, base::instant now,
                      core::effects& out) const;
    void end_sweep(core::effects& out);
    void rest(base::duration least, base::instant now);

    claim_sweeper_options options_;
    std::mt19937_64 random_;
    call_permit may_call_;
    std::int64_t wall_s_ = 0; ///< at wall_read_; 0 if not known
    base::instant wall_read_;
    std::size_t members_ = 1;
    std::uint64_t last_call_ = 0;
    std::uint64_t call_ = 0;       ///< 0 without an open call
    std::vector<old_claim> queue_; ///< of this sweep; the next one last
    std::uint64_t removed_ = 0;
    std::uint64_t removed_before_ = 0; ///< of earlier sweeps
    std::uint64_t lost_races_ = 0;
    double credit_ = 0;         ///< removals that claims have paid for
    base::instant nothing_old_; ///< no claim is old before
    base::instant due_ = base::instant{}; ///< of the next sweep or call
    bool scheduled_ = false;              ///< due_ was set since the start
    bool stopped_ = false;
};

} // namespace mimosacroft::query

#endif
