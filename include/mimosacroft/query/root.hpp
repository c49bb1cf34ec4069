// The root of queries: admits a caller's request, pins the epoch, has the
// shards asked for, and decides the answer.
#ifndef MIMOSACROFT_QUERY_ROOT_HPP
#define MIMOSACROFT_QUERY_ROOT_HPP

#include "mimosacroft/query/admission.hpp"
#include "mimosacroft/query/claims.hpp"
#include "mimosacroft/query/scatter.hpp"
#include "mimosacroft/query/search.hpp"

#include <map>
#include <optional>

namespace mimosacroft::query
{

class root
{
public:
    root(const fleet::agent& fleet, query::scatter& scatter,
         query::claims& claims, admission_options options = {});

    /// Admits a request. Its answer comes by take_answers().
    void start(search_request request, base::instant now, core::effects& out);

    /// Takes the result of a scatter job; false if the job is not a root's.
    bool on_scattered(scatter_result& result, base::instant now,
                      core::effects& out);

    /// Takes the decision on the idempotency key of a request.
    void on_claim(claim_decision& decision, base::instant now,
                  core::effects& out);
    /// Nothing more is tried for a claim.
    void on_claim_closed(std::uint64_t claim);

    void on_tick(base::instant now);
    base::instant next_wakeup() const;

    /// Queries without an answer yet.
    std::size_t open() const
    {
        return open_.size() + claiming_.size() + releasing_.size();
    }

    std::vector<search_answer> take_answers();

    /// How many queries may be open.
    double limit() const { return admission_.limit(); }

private:
    /// A request that passed the checks.
    struct admitted
    {
        search_request request;
        base::instant started;
        base::instant deadline;
        std::uint64_t claim = 0; ///< 0 without an idempotency key
        bool restarted = false;  ///< at a newer epoch
        bool ran_before = false; ///< shards may have run before the restart
        std::uint32_t extra_attempts = 0; ///< spent before the restart
        std::size_t congested = 0;        ///< shards that queues held up
    };

    struct open_query
    {
        root::admitted admitted;
        search_answer answer; ///< filled as far as known
        std::vector<wire::shard_task> tasks;
    };

    /// An answer that waits until its claim is removed, so that a re-send of
    /// the caller finds no claim in its way.
    struct held_answer
    {
        search_answer answer;
        base::instant deadline;
    };

    std::optional<std::string> problem_of(const search_request& request) const;
    void refuse(const search_request& request, model::outcome outcome,
                std::string why);
    void run(admitted query, base::instant now, core::effects& out);
    void claim(admitted query, base::instant now, core::effects& out);
    void finish(const admitted& query, search_answer answer, base::instant now,
                core::effects& out);
    void close_claim(const admitted& query, search_answer answer,
                     base::instant now, core::effects& out);
    bool may_restart(const open_query& query, const scatter_result& result,
                     base::instant now) const;
    void restart(open_query& query, const scatter_result& result,
                 base::instant now, core::effects& out);
    wire::span span_of(const admitted& query, base::instant now) const;
    static std::vector<std::size_t> shards_of(const model::search& search,
                                              const model::index& index,
                                              const search_request& request);
    void add_task(const model::index& index, std::size_t position,
                  scatter_job& job) const;

    const fleet::agent& fleet_;
    query::scatter& scatter_;
    query::claims& claims_;
    query::admission admission_;
    std::uint64_t last_query_ = 0;
    std::map<std::uint64_t, open_query> open_;       ///< by scatter job
    std::map<std::uint64_t, admitted> claiming_;     ///< by claim
    std::map<std::uint64_t, held_answer> releasing_; ///< by claim
    std::vector<search_answer> answers_;
};

} // namespace mimosacroft::query

#endif
