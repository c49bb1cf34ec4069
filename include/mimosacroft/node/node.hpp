// One entry VM without its sockets: takes every input with the time of its
// arrival, lets the parts decide, and hands out effects and answers.
#ifndef MIMOSACROFT_NODE_NODE_HPP
#define MIMOSACROFT_NODE_NODE_HPP

#include "mimosacroft/fleet/agent.hpp"
#include "mimosacroft/query/claim_sweeper.hpp"
#include "mimosacroft/query/leaf.hpp"
#include "mimosacroft/query/root.hpp"
#include "mimosacroft/query/scatter.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace mimosacroft::node
{

/// Settings of the parts of a node that are not the fleet's.
struct node_options
{
    query::leaf_options leaf;
    query::admission_options admission;
    base::seconds claim_retention{24 * 3600};
    bool require_dated_keys = false;
    base::seconds claim_sweep_period{60};
};

class node
{
public:
    node(fleet::agent_options fleet, std::uint64_t seed,
         node_options options = {});

    void on_search(query::search_request request, base::instant now,
                   core::effects& out);
    void on_message(const std::string& from, std::uint64_t incarnation,
                    wire::message msg, base::instant now, core::effects& out);
    void on_link_down(const std::string& vm, bool was_up, base::instant now,
                      core::effects& out);
    void on_http_reply(core::call_owner owner, std::uint64_t id,
                       const base::result<wire::http_reply>& reply,
                       base::instant now, core::effects& out);
    /// The wall clock, in seconds since 1970.
    void on_wall_clock(std::int64_t seconds, base::instant now);
    void on_tick(base::instant now, core::effects& out);
    base::instant next_wakeup() const;

    /// Tells the peers that this VM stops, and refuses their new forwards as
    /// not run. Searches are still taken, until the balancer has noticed.
    void begin_drain(base::instant now, core::effects& out);
    bool draining() const { return draining_; }
    /// Answers new searches with not_run from now on.
    void refuse_searches() { refuses_searches_ = true; }
    /// See fleet::agent::ask_behind().
    void ask_behind(std::uint64_t version, base::instant now,
                    core::effects& out)
    {
        fleet_.ask_behind(version, now, out);
    }
    /// Nothing is in flight.
    bool idle() const;

    /// The answers of requests that ended.
    std::vector<query::search_answer> take_answers();

    const fleet::agent& fleet() const { return fleet_; }
    const query::root& root() const { return root_; }
    const query::leaf& leaf() const { return leaf_; }
    const query::claim_sweeper& claim_sweeper() const { return sweeper_; }

private:
    /// A forward of another VM that this one passes on and merges.
    struct relayed
    {
        std::string from;
        wire::query_ref query;
        std::uint32_t attempt = 0;
        std::uint64_t epoch = 0;
    };

    /// What a cancel names: sender, query and attempt.
    using relay_key = std::tuple<std::string, wire::query_ref, std::uint32_t>;

    void on_forward(const std::string& from, const wire::forward& msg,
                    base::instant now, core::effects& out);
    void on_cancel(const std::string& from, const wire::cancel& msg,
                   base::instant now, core::effects& out);
    void on_drain_notice(const std::string& from, const wire::drain_notice& msg,
                         core::effects& out);
    void refuse_forward(const std::string& from, const wire::forward& msg,
                        core::effects& out);
    relayed end_relay(std::uint64_t job);
    void relay(const std::string& from, const wire::forward& msg,
               std::vector<wire::shard_task> tasks, base::instant now,
               core::effects& out);
    void settle(base::instant now, core::effects& out);
    bool settle_once(base::instant now, core::effects& out);
    bool loop_back(base::instant now, core::effects& out);

    fleet::agent fleet_;
    query::scatter scatter_;
    query::claims claims_;
    query::claim_sweeper sweeper_;
    query::root root_;
    query::leaf leaf_;
    std::map<std::uint64_t, relayed> relayed_;      ///< by scatter job
    std::map<relay_key, std::uint64_t> relay_jobs_; ///< of relayed_
    std::vector<query::search_answer> answers_;
    bool draining_ = false;
    bool refuses_searches_ = false; ///< implies draining_
};

} // namespace mimosacroft::node

#endif
