// The leaf: asks the servers of the upstreams that this VM owns. Subqueries
// wait for a slot of a server; the ones that wait together go out in one call.
// docs/design/leaf.md says why it decides as it does.
#ifndef MIMOSACROFT_QUERY_LEAF_HPP
#define MIMOSACROFT_QUERY_LEAF_HPP

#include "mimosacroft/base/latency_tracker.hpp"
#include "mimosacroft/core/effects.hpp"
#include "mimosacroft/fleet/agent.hpp"
#include "mimosacroft/query/extra_budget.hpp"
#include "mimosacroft/query/leaf_options.hpp"
#include "mimosacroft/query/replica_chooser.hpp"
#include "mimosacroft/query/slot_ledger.hpp"
#include "mimosacroft/query/upstream_codec.hpp"
#include "mimosacroft/query/work_queue.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace mimosacroft::query
{

/// An answer of the leaf for the VM that sent the forward.
struct leaf_answer
{
    std::string to;
    wire::forward_answer msg;
};

/// What the leaf knows of one server, for operators.
struct server_stats
{
    std::string server;
    std::uint32_t in_flight = 0; ///< calls, given up ones included
    std::uint32_t held = 0;      ///< calls given up and not confirmed
    bool ejected = false;
    double latency_ms = 0;      ///< decayed mean
    double high_latency_ms = 0; ///< high quantile
};

/// Totals count subqueries, but for `cancels` and `bad_answers`.
struct leaf_stats
{
    std::uint64_t first_attempts = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t refusals = 0;    ///< refused early for overload
    std::uint64_t cancels = 0;     ///< cancel requests sent to servers
    std::uint64_t bad_answers = 0; ///< not merged
    std::size_t waiting = 0;       ///< now
    std::vector<server_stats> servers;
};

class leaf
{
public:
    explicit leaf(fleet::agent& fleet, leaf_options options = {});

    /// Takes the tasks of a forward whose upstreams this VM owns.
    void on_forward(const std::string& from, const wire::forward& msg,
                    std::vector<wire::shard_task> tasks, base::instant now,
                    core::effects& out);

    /// Forgets a forward: what waits is removed and never sent, what was sent
    /// is canceled at its server. Nothing is answered.
    void on_cancel(const std::string& from, const wire::cancel& msg,
                   base::instant now, core::effects& out);

    void on_http_reply(std::uint64_t id,
                       const base::result<wire::http_reply>& reply,
                       base::instant now, core::effects& out);

    void on_tick(base::instant now, core::effects& out);
    base::instant next_wakeup() const;

    /// Forwards that are not answered yet.
    std::size_t open() const { return forwards_.size(); }

    leaf_stats stats(base::instant now) const;

    std::vector<leaf_answer> take_answers();

private:
    /// Attempts are counted by the process that sent them; the query tells
    /// its processes before and after a restart apart.
    struct forward_key
    {
        std::string from;
        wire::query_ref query;
        std::uint32_t attempt = 0;

        friend bool operator<(const forward_key& a, const forward_key& b)
        {
            return std::tie(a.from, a.query, a.attempt) <
                   std::tie(b.from, b.query, b.attempt);
        }
        friend bool operator==(const forward_key& a,
                               const forward_key& b) = default;
    };

    struct task_key
    {
        forward_key forward;
        std::size_t task = 0; ///< position in the forward's tasks
    };

    struct open_task
    {
        wire::shard_task task;
        bool reported = false;
        /// An attempt was written and no server's word says that it did not
        /// run. What open calls did is not known yet.
        bool ran = false;
        std::uint32_t attempts = 0;
        base::duration waited{};           ///< before the first attempt
        std::set<std::string> asked;       ///< servers
        std::set<std::uint64_t> calls;     ///< open ones that ask for it
        std::optional<work_ticket> queued; ///< its place while it waits
        model::lack_reason lack = model::lack_reason::timeout; ///< seen last
    };

    struct open_forward
    {
        wire::forward request; ///< without its shards
        base::instant started;
        base::instant deadline;
        std::vector<open_task> tasks;
        std::size_t missing = 0; ///< tasks that are not reported
        std::vector<wire::shard_report> reports;
        std::vector<wire::span> spans;
    };

    struct open_call
    {
        std::uint64_t id = 0;
        std::string upstream;
        std::string server;
        std::string address;
        base::instant sent;
        base::instant deadline;
        base::instant hedge_at = base::never;
        std::map<std::string, task_key> tasks; ///< by subquery id
    };

    struct open_cancel
    {
        std::uint64_t call = 0;
        std::string upstream;
    };

    /// What belongs to one upstream.
    struct lane
    {
        work_queue<task_key> waiting;
        extra_budget budget;        ///< hedges, and retries beyond the reserve
        extra_budget retry_reserve; ///< retries of attempts without work
        base::latency_tracker latency;
        base::instant unusable{}; ///< last time this VM had no share
    };

    enum class attempt_kind
    {
        first_or_retry,
        hedge
    };

    struct copy_end; // how an attempt for a task ended

    lane& lane_of(const std::string& upstream);
    open_task* find(const task_key& key);

    // Waiting.
    void enqueue(const task_key& key, base::instant now, core::effects& out);
    bool can_make_it(lane& in, const model::upstream& upstream,
                     const open_forward& forward, base::instant now) const;
    void refuse_early(const task_key& key, core::effects& out);
    void unqueue(open_task& task);

    // Sending.
    void dispatch(const std::string& upstream, base::instant now,
                  core::effects& out);
    bool serve_next(const model::upstream& upstream, lane& from,
                    std::vector<task_key>& deferred, base::instant now,
                    core::effects& out);
    replica_chooser::limits limits_of(const model::upstream& upstream,
                                      const open_task& task,
                                      base::instant now) const;
    bool takes_work(const model::server& server) const;
    std::vector<task_key> take_batch(lane& from, const model::server& server);
    void send(const model::upstream& upstream, const model::server& server,
              const std::vector<task_key>& batch, attempt_kind kind,
              base::instant now, core::effects& out);
    void hedge(std::uint64_t call, base::instant now, core::effects& out);
    void abandon_if_unwanted(std::uint64_t call, base::instant now,
                             core::effects& out);

    void probe_leaving(base::instant now, core::effects& out);

    // Receiving.
    void on_canceled(std::uint64_t id,
                     const base::result<wire::http_reply>& reply,
                     base::instant now, core::effects& out);
    void on_probed(std::uint64_t id,
                   const base::result<wire::http_reply>& reply,
                   base::instant now);
    void take_outcome(const open_call& call,
                      const base::result<wire::http_reply>& reply,
                      base::instant now, core::effects& out);
    void take_failure(const open_call& call, const copy_end& how,
                      const std::string& why, base::instant now,
                      core::effects& out);
    void take_reply(const open_call& call, const upstream_reply& reply,
                    base::instant now, core::effects& out);
    bool take_result(const open_call& call, const task_key& key,
                     const upstream_result& result, base::instant now,
                     core::effects& out);
    void note_failure(const open_call& call, base::instant now,
                      core::effects& out);
    void note_server(const std::string& server, const std::string& incarnation,
                     bool leaving, std::optional<double> load,
                     base::instant asked, base::instant now);
    void end_copy(const open_call& call, const task_key& key,
                  const copy_end& how, base::instant now, core::effects& out);
    bool may_retry(const task_key& key, const open_call& call,
                   const copy_end& how, base::instant now);
    bool pay_for_retry(const open_call& call, const copy_end& how,
                       base::instant now);
    void refuse(const std::string& server, std::string reason,
                core::effects& out);
    void add_spans(const open_call& call, base::instant now);
    void add_queue_span(open_forward& forward) const;

    // Reporting.
    void report_lacking(const task_key& key, model::lack_reason reason);
    void report(const task_key& key, wire::shard_report it);
    model::lack_reason lack_at_deadline(const open_task& task,
                                        base::instant now) const;
    void expire_forward(const forward_key& key, base::instant now,
                        core::effects& out);
    void answer_if_complete(const forward_key& key);

    fleet::agent& fleet_;
    leaf_options options_;
    std::uint64_t last_call_ = 0;
    base::instant ticked_; ///< last on_tick()
    std::map<forward_key, open_forward> forwards_;
    std::set<std::pair<base::instant, forward_key>> due_; ///< open forwards
    std::map<std::uint64_t, open_call> calls_;
    std::map<std::uint64_t, open_cancel> cancels_;
    std::map<std::uint64_t, std::string> probes_; ///< servers, by open call
    base::instant next_probe_;
    std::set<std::pair<base::instant, std::uint64_t>> hedge_due_; ///< calls
    std::map<std::string, lane> lanes_;                           ///< upstreams
    std::set<std::string> standing_; ///< at least the upstreams that wait
    replica_chooser chooser_;
    slot_ledger slots_;
    leaf_stats totals_;
    std::vector<leaf_answer> answers_;
};

} // namespace mimosacroft::query

#endif
