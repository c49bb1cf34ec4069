// Claims of idempotency keys in the platform: of all requests with one key, at
// any VM and at any time, at most one gets to run; the others get its recorded
// result. A claim is not a lease: it does not lapse and nobody takes it over,
// so a claimant that was paused does no harm when it continues.
#ifndef MIMOSACROFT_QUERY_CLAIMS_HPP
#define MIMOSACROFT_QUERY_CLAIMS_HPP

#include "mimosacroft/core/effects.hpp"
#include "mimosacroft/query/claim_codec.hpp"
#include "mimosacroft/query/claim_key.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mimosacroft::query
{

struct claims_options
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::string platform_address; ///< ip:port
    base::milliseconds call_timeout{500};
    base::milliseconds first_retry{25}; ///< doubles with each retry
    base::milliseconds longest_retry{800};
    base::milliseconds record_time{5000};   ///< retries of a record or release
    base::seconds retention{24 * 3600};     ///< of keys, for re-sends
    bool require_dated_keys = false;        ///< refuses keys without a time
    std::size_t max_record_bytes = 900'000; ///< the platform holds a megabyte
};

/// What is claimed.
struct claim_request
{
    std::string name;           ///< of the claim; equal for re-sends
    std::string fingerprint;    ///< of what is asked with the key
    std::int64_t created_s = 0; ///< wall clock
    base::instant deadline;     ///< for the decision
    /// The time that the key states; the claim is removed some day if it does.
    std::optional<std::int64_t> key_s = {};
};

/// The name of the claim for a caller's key to a search.
std::string claim_name(const search_request& request);
/// The fingerprint of all that has to be equal in a re-send.
std::string claim_fingerprint(const search_request& request);

enum class claim_verdict
{
    won,      ///< this request, and no other, may run
    replay,   ///< an earlier request ended; its answer is given
    unknown,  ///< an earlier request has no recorded answer
    mismatch, ///< the key was used with another request
    expired,  ///< the key is outside of the retention
    not_run   ///< the platform did not decide; this request will not run
};

struct claim_decision
{
    std::uint64_t id = 0;
    claim_verdict verdict = claim_verdict::not_run;
    std::optional<search_answer> answer; ///< with replay
    std::string why;                     ///< without an answer
};

class claims
{
public:
    claims(claims_options options, std::uint64_t seed);

    /// Tries to claim. The decision comes by take_decisions(), exactly one for
    /// each id, not after the request's deadline and the tick that follows it.
    std::uint64_t acquire(claim_request request, base::instant now,
                          core::effects& out);

    /// Writes the answer of a request that won.
    void record(std::uint64_t id, search_answer answer, base::instant now,
                core::effects& out);

    /// Removes the claim of a request that won and provably did not run, so
    /// that a re-send may run. take_closed() says when that has ended.
    void release(std::uint64_t id, base::instant now, core::effects& out);

    void on_http_reply(std::uint64_t call,
                       const base::result<wire::http_reply>& reply,
                       base::instant now, core::effects& out);
    void on_tick(base::instant now, core::effects& out);
    base::instant next_wakeup() const;

    /// Claims that are being decided, run, recorded or released.
    std::size_t open() const { return open_.size(); }
    const claims_options& options() const { return options_; }

    std::vector<claim_decision> take_decisions();
    /// Claims for which nothing more is tried, recorded or not.
    std::vector<std::uint64_t> take_closed();

private:
    enum class step
    {
        create,  ///< the conditional create is to be done
        confirm, ///< the create was unclear: read back and compare nonces
        held,    ///< won; the request runs
        record,  ///< the answer is to be written
        release, ///< the claim is to be deleted at `version`
        find     ///< released while unclear: read the version to delete
    };

    /// In every step but `held` there is either an open call or a retry time.
    struct open_claim
    {
        claim_request request;
        claim_record record;
        base::instant started;
        claims::step step = step::create;
        std::uint64_t version = 0; ///< of the claim in the platform, once won
        bool maybe_created = false;
        std::uint64_t call = 0;          ///< 0 without an open call
        base::instant retry;             ///< when the next call is due
        base::milliseconds pause{};      ///< before the retry after next
        base::instant deadline;          ///< when the step is given up
        base::instant due = base::never; ///< its time in due_
    };

    using reply_result = base::result<wire::http_reply>;

    /// What two clocks say of the time that a key states.
    enum class key_time
    {
        valid,   ///< within the retention by both, or not stated
        outside, ///< by both
        disputed ///< by one of them
    };

    bool is_outside(const open_claim& it, std::int64_t clock_s) const;
    std::int64_t own_clock_s(const open_claim& it, base::instant now) const;
    key_time check_key(const open_claim& it, const reply_result& reply,
                       base::instant now) const;
    void win(std::uint64_t id, std::uint64_t version, key_time when,
             base::instant now, core::effects& out);
    claim_decision refusal(std::uint64_t id, key_time when) const;
    void refuse_key(std::uint64_t id, key_time when);

    void call(std::uint64_t id, base::instant now, core::effects& out);
    void retry(open_claim& it, base::instant now);
    void enter(std::uint64_t id, claims::step step, base::instant now,
               core::effects& out);
    void take_reply(std::uint64_t id, const reply_result& reply,
                    base::instant now, core::effects& out);
    void on_created(std::uint64_t id, const reply_result& reply,
                    base::instant now, core::effects& out);
    void on_read(std::uint64_t id, const reply_result& reply, base::instant now,
                 core::effects& out);
    void on_found(std::uint64_t id, const reply_result& reply,
                  base::instant now, core::effects& out);
    void on_written(std::uint64_t id, const reply_result& reply,
                    base::instant now, core::effects& out);
    void judge(std::uint64_t id, const stored_claim& stored, key_time when,
               base::instant now, core::effects& out);
    void lose(std::uint64_t id, claim_verdict verdict, std::string why);
    void give_up(std::uint64_t id, base::instant now, core::effects& out);
    void close(std::uint64_t id);
    void arm(std::uint64_t id);

    claims_options options_;
    std::mt19937_64 random_;
    std::uint64_t last_id_ = 0;
    std::uint64_t last_call_ = 0;
    std::map<std::uint64_t, open_claim> open_;
    /// When a claim is next to be looked at; without those that are held.
    std::set<std::pair<base::instant, std::uint64_t>> due_;
    std::map<std::uint64_t, std::uint64_t> calls_; ///< claim, by call
    std::vector<claim_decision> decisions_;
    std::vector<std::uint64_t> closed_;
};

} // namespace mimosacroft::query

namespace mimosacroft::base
{

template <>
struct enum_names<query::claim_verdict>
{
    static constexpr std::array<std::string_view, 6> table = {
        "won", "replay", "unknown", "mismatch", "expired", "not_run"};
};

} // namespace mimosacroft::base

#endif
