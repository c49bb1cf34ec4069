// The leaf: asks the servers of the upstreams that this VM owns. Subqueries
// wait for a slot of a server; the ones that wait together go out in one call.
#ifndef MIMOSACROFT_QUERY_LEAF_HPP
#define MIMOSACROFT_QUERY_LEAF_HPP

#include "mimosacroft/core/effects.hpp"
#include "mimosacroft/fleet/agent.hpp"
#include "mimosacroft/query/leaf_options.hpp"
#include "mimosacroft/query/upstream_codec.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mimosacroft::query
{

/// An answer of the leaf for the VM that sent the forward.
struct leaf_answer
{
    std::string to;
    wire::forward_answer msg;
};

class leaf
{
public:
    explicit leaf(fleet::agent& fleet, leaf_options options = {});

    /// Takes the tasks of a forward whose upstreams this VM owns.
    void on_forward(const std::string& from, const wire::forward& msg,
                    std::vector<wire::shard_task> tasks, base::instant now,
                    core::effects& out);

    void on_cancel(const std::string& from, const wire::cancel& msg,
                   base::instant now, core::effects& out);

    void on_http_reply(std::uint64_t id,
                       const base::result<wire::http_reply>& reply,
                       base::instant now, core::effects& out);

    void on_tick(base::instant now, core::effects& out);
    base::instant next_wakeup() const;

    /// Forwards that are not answered yet.
    std::size_t open() const { return forwards_.size(); }

    std::vector<leaf_answer> take_answers();

private:
    using forward_key = std::pair<std::string, std::uint32_t>; // VM, attempt

    struct open_task
    {
        wire::shard_task task;
        bool reported = false;
        bool maybe_run = false;
        std::uint32_t attempts = 0;
        std::set<std::string> tried; ///< servers that failed
    };

    struct open_forward
    {
        wire::forward request; ///< without its shards
        base::instant started;
        base::instant deadline;
        std::vector<open_task> tasks;
        std::size_t missing = 0;
        std::vector<wire::shard_report> reports;
        std::vector<wire::span> spans;
    };

    struct task_key
    {
        forward_key forward;
        std::size_t task = 0; ///< position in the forward's tasks
    };

    struct open_call
    {
        std::string upstream;
        std::string server;
        base::instant sent;
        std::map<std::string, task_key> tasks; ///< by subquery id
    };

    void dispatch(const std::string& upstream, base::instant now,
                  core::effects& out);
    const model::server* choose_server(const model::upstream& upstream,
                                       const open_task& task,
                                       std::uint32_t slots) const;
    void send_batch(const model::upstream& upstream,
                    const model::server& server,
                    const std::vector<task_key>& batch, base::instant now,
                    core::effects& out);
    void take_reply(const open_call& call, const upstream_reply& reply,
                    base::instant now, core::effects& out);
    void retry_or_report(const task_key& key, const open_call& call,
                         model::lack_reason reason, bool maybe_run);
    void report(const task_key& key, wire::shard_report it);
    void refuse(const open_call& call, std::string reason,
                core::effects& out) const;
    void answer_if_complete(const forward_key& key, base::instant now);
    open_task* find(const task_key& key);

    fleet::agent& fleet_;
    leaf_options options_;
    std::uint64_t last_call_ = 0;
    base::instant ticked_; ///< last on_tick()
    std::map<forward_key, open_forward> forwards_;
    std::map<std::uint64_t, open_call> calls_;
    std::map<std::string, std::uint32_t> in_flight_;      ///< calls, by server
    std::map<std::string, std::deque<task_key>> waiting_; ///< by upstream
    std::vector<leaf_answer> answers_;
};

} // namespace mimosacroft::query

#endif
