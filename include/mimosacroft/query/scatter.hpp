// Sends the shards of a query to the VMs that can ask for them, and collects
// one report for each shard. Used by the root of a query, and by a relay for
// the part of a query that another data centre asked of it.
#ifndef MIMOSACROFT_QUERY_SCATTER_HPP
#define MIMOSACROFT_QUERY_SCATTER_HPP

#include "mimosacroft/core/effects.hpp"
#include "mimosacroft/fleet/agent.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mimosacroft::query
{

struct scatter_job
{
    wire::forward request; ///< all fields but attempt, budget_ms and shards
    std::vector<wire::shard_task> tasks; ///< no shard twice
    /// For each task the upstreams to go on with when its own cannot be
    /// reached, in order of preference; may be empty.
    std::vector<std::vector<std::string>> alternatives;
    base::instant deadline; ///< when the reports are due
};

/// One report for each task of the job, in the order of the tasks.
struct scatter_result
{
    std::uint64_t job = 0;
    std::vector<wire::shard_report> reports;
    std::vector<wire::span> spans; ///< ids unique here, from first_span_id on
};

/// The ids of a job's spans start here; smaller ones are left to its owner.
inline constexpr std::uint64_t first_span_id = 2;

class scatter
{
public:
    scatter(const fleet::agent& fleet, std::uint64_t seed);

    /// Starts a job and returns its number.
    std::uint64_t start(scatter_job job, base::instant now, core::effects& out);

    /// Takes the answer of `from`. One that matches no open forward is dropped
    /// and logged.
    void on_answer(const std::string& from, const wire::forward_answer& msg,
                   base::instant now, core::effects& out);

    /// A link broke. With `was_up` unset nothing was written on it.
    void on_peer_lost(const std::string& vm, bool was_up, base::instant now,
                      core::effects& out);

    /// Gives a job up; there will be no result.
    void abandon(std::uint64_t job, base::instant now, core::effects& out);

    void on_tick(base::instant now, core::effects& out);
    base::instant next_wakeup() const;

    std::vector<scatter_result> take_finished();

private:
    struct open_task
    {
        wire::shard_task task;
        wire::shard_report report;
        bool reported = false;
        bool maybe_run = false;      ///< some forward of it was written
        std::set<std::string> tried; ///< VMs that were lost with it
        std::vector<std::string> alternatives; ///< not used yet
    };

    struct open_job
    {
        scatter_job job;
        base::instant started;
        std::vector<open_task> tasks;
        std::size_t missing = 0;          ///< tasks without a report
        std::set<std::uint32_t> attempts; ///< its open forwards
        std::vector<wire::span> spans;
        std::uint64_t next_span = first_span_id;
    };

    /// A forward that has been sent and is not closed.
    struct open_forward
    {
        std::uint64_t job = 0;
        std::string vm;
        base::instant sent;
        std::vector<std::size_t> tasks; ///< positions in the job's tasks
        std::uint64_t span = 0;
    };

    /// The relay of each far data centre, within one dispatch.
    using relay_map = std::map<std::string, std::string>;

    const std::string* far_data_centre(const open_task& it) const;
    model::lack_reason loss_of(const open_task& it) const;
    std::string relay_of(const open_task& it, const relay_map& relays) const;
    std::string target_of(open_task& it, relay_map& relays, base::instant now);
    std::string route(const open_task& it, base::instant now);
    std::string reroute(open_task& it, base::instant now);
    void dispatch(std::uint64_t id, const std::vector<std::size_t>& positions,
                  base::instant now, core::effects& out);
    void send(std::uint64_t id, const std::string& vm,
              std::vector<std::size_t> positions, base::instant now,
              core::effects& out);
    void report(open_job& job, std::size_t position,
                const wire::shard_report& it);
    bool use_alternative(open_job& job, std::size_t position,
                         const wire::shard_report& it);
    open_forward take_forward(std::uint32_t attempt, const std::string& note,
                              base::instant now);
    void adopt_spans(open_job& job, const open_forward& forward,
                     const std::vector<wire::span>& spans);
    void lose_forward(const open_forward& gone, bool was_up, base::instant now,
                      core::effects& out);
    void finish_if_complete(std::uint64_t id);
    void expire(std::uint64_t id, base::instant now, core::effects& out);
    void close_forwards(std::uint64_t id, const std::string& note,
                        base::instant now, core::effects& out);

    const fleet::agent& fleet_;
    std::mt19937_64 random_;
    std::uint64_t last_job_ = 0;
    std::uint32_t last_attempt_ = 0;
    std::map<std::uint64_t, open_job> jobs_;
    std::map<std::uint32_t, open_forward> forwards_;         ///< by attempt
    std::map<std::string, std::set<std::uint32_t>> sent_to_; ///< by VM
    std::map<std::string, base::instant> avoided_; ///< VMs, until when
    std::set<std::pair<base::instant, std::uint64_t>> deadlines_; ///< with job
    std::vector<scatter_result> finished_;
};

} // namespace mimosacroft::query

#endif
