// The decisions on callers' requests: which search a request belongs to, which
// servers get it, when it is sent to a second one, when it is answered with
// what is there, and when it is refused. No input or output: each call takes
// what happened and when, and appends what is to be done.
#ifndef MIMOSACROFT_GATEWAY_GATEWAY_HPP
#define MIMOSACROFT_GATEWAY_GATEWAY_HPP

#include "mimosacroft/base/latency_tracker.hpp"
#include "mimosacroft/gateway/arrival_budget.hpp"
#include "mimosacroft/gateway/catalog.hpp"
#include "mimosacroft/gateway/mechanisms.hpp"
#include "mimosacroft/gateway/query.hpp"
#include "mimosacroft/gateway/relay_set.hpp"
#include "mimosacroft/gateway/server_pool.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mimosacroft::gateway
{

struct gateway_options
{
    std::string data_centre;
    std::map<std::string, std::string> regions; ///< of data centres
    /// Of each service; the slack is for all VMs together.
    arrival_budget_options extra;
    std::uint32_t seed = 1;
    mechanisms use;
};

class gateway
{
public:
    explicit gateway(gateway_options options);

    /// Puts a configuration in force. Older versions are refused: returns false
    /// and changes nothing.
    bool apply(catalog_ptr next);
    const catalog_ptr& current() const { return catalog_; }

    server_pool& servers() { return servers_; }
    /// The entry of a server was removed; see server_pool::remove.
    void remove_server(const std::string& id, base::instant now,
                       base::duration hold);
    const server_pool& servers() const { return servers_; }

    /// The other VMs, and how many send to the same servers, this one counted.
    void set_fleet(const std::vector<vm_entry>& others, std::size_t size);

    void set_extra(const arrival_budget_options& it) { options_.extra = it; }

    void open(query_number number, caller_request&& request, base::instant now,
              effects& out);
    /// A request that another VM took.
    void open_relayed(query_number number, relayed_request&& request,
                      base::instant now, effects& out);
    /// The VM that was asked to answer has done so.
    void on_relay_reply(exchange_number number, answer&& reply,
                        base::instant now, effects& out);
    /// The caller closed its connection.
    void leave(query_number number, base::instant now, effects& out);

    /// The request of an exchange is written to its connection.
    void on_sent(exchange_number number);
    void on_reply(exchange_number number, server_reply&& reply,
                  base::instant now, effects& out);
    void on_failure(exchange_number number, send_failure why, base::instant now,
                    effects& out);

    /// Does what is due. To be called at next_due() or later.
    void tick(base::instant now, effects& out);
    base::instant next_due() const;

    std::size_t open_queries() const { return queries_.size(); }
    std::size_t open_exchanges() const { return exchanges_.size(); }
    /// Sends to servers since the start, and how many of them were not the
    /// first for their part.
    std::uint64_t sends() const { return sends_; }
    std::uint64_t hedges() const { return hedges_; }
    std::size_t fleet_size() const { return fleet_size_; }

private:
    struct exchange
    {
        query_number query = 0; ///< 0: nobody waits for the result
        std::size_t part = 0;
        server_number to = 0;
        base::instant sent_at{};
        base::instant drop_at{};
        base::duration expected{}; ///< usual latency without the way
        std::string relay_vm; ///< with another VM, not a server; else empty
        std::string search;   ///< whose latencies the result belongs to
        bool written = false;
    };

    /// Orders parts that wait for a free server: rank, then deadline.
    using wait_key = std::pair<int, base::instant>;
    struct waiter
    {
        query_number query = 0;
        std::size_t part = 0;
    };
    using wait_queue = std::multimap<wait_key, waiter>;

    // Admission and the start of a query.
    query make_query(query_number number, caller_request&& request,
                     const search_ptr& of, base::instant now);
    base::instant answer_time(const query& q);
    void refuse(query_number number, refusal why, const caller_request& request,
                const search_ptr& of, effects& out);
    refused refusal_for(refusal why, const caller_request& request);
    void refuse_query(query& q, refusal why, base::instant now, effects& out);
    bool can_be_served(const search& it) const;
    bool has_room(const search& it, base::instant now, base::instant due) const;
    void take(query&& q, base::instant now, effects& out);
    void start_parts(query& q, base::instant now, effects& out);

    // Relays.
    struct relay_plan
    {
        std::string data_centre;
        std::vector<std::uint32_t> shards;
    };
    relay_plan plan_relay(const search& it, base::instant now);
    base::instant help_time(const query& q) const;
    void delegate(query& q, base::instant now, effects& out);
    void take_relayed_parts(query& q, const merged& from);
    void fall_back(query& q, bool may_have_run, base::instant now,
                   effects& out);
    void on_relay_failure(exchange_number number, send_failure why,
                          base::instant now, effects& out);
    void abandon_relay(query& q, base::instant now, effects& out);

    // Choice and sending.
    void send_part(query& q, std::size_t part, base::instant now, effects& out);
    server* choose(const query& q, const part& p, base::instant now);
    std::vector<server*> candidates(const query& q, const part& p) const;
    std::size_t most_exchanges(const std::string& service) const;
    void send(query& q, std::size_t part, server& to, base::instant now,
              effects& out);
    void hedge(query& q, std::size_t part, base::instant now, effects& out);
    bool take_extra(const std::string& service, base::instant now);
    arrival_budget_options budget_options() const;
    void pump(const std::string& service, base::instant now, effects& out);
    void wait(const query& q, std::size_t part);
    void drop_waiters(const query& q);

    // Results.
    exchange take_exchange(exchange_number number);
    query* query_of(exchange_number number, const exchange& it,
                    std::string_view outcome, base::instant now);
    void on_good_part(query& q, std::size_t part, server_reply&& reply,
                      base::instant now, effects& out);
    void on_bad_part(query& q, std::size_t part, base::instant now,
                     effects& out);
    bool may_retry(const query& q, const part& p) const;
    void fail_part(query& q, std::size_t part);
    void check_done(query& q, base::instant now, effects& out);
    void check_single(query& q, base::instant now, effects& out);
    void check_scattered(query& q, base::instant now, effects& out);
    void answer_merged(query& q, base::instant now, effects& out);
    void finish_merged(query& q, merged reply, base::instant now, effects& out);
    void answer_failed(query& q, base::instant now, effects& out);
    void take_back_unwritten(query& q, base::instant now, effects& out);
    void close(query& q, base::instant now, effects& out);
    void set_drop_time(exchange_number number, base::instant at);
    void end_exchange(exchange_number number, base::instant now, effects& out);

    // Time.
    void schedule(query& q);
    void tick_query(query& q, base::instant now, effects& out);
    base::duration usual_latency(const search& of) const;
    base::duration hedge_delay(const query& q, const part& p, const server& to,
                               base::instant now);

    double random_share();

    gateway_options options_;
    catalog_ptr catalog_;
    server_pool servers_;
    relay_set relays_;
    std::size_t relayed_ = 0; ///< spreads queries over data centres
    splitter splitter_;
    std::minstd_rand random_;
    std::size_t fleet_size_ = 1;
    std::uint64_t sends_ = 0;
    std::uint64_t hedges_ = 0;
    exchange_number last_exchange_ = 0;
    std::unordered_map<query_number, query> queries_;
    std::unordered_map<exchange_number, exchange> exchanges_;
    std::unordered_map<std::string, arrival_budget> budgets_; ///< by service
    std::unordered_map<std::string, base::latency_tracker> latencies_;
    std::unordered_map<std::string, base::latency_tracker> relay_latencies_;
    /// Longest deadline seen of each search's callers: what an attempt has less
    /// was used up by the caller's earlier attempts.
    std::unordered_map<std::string, base::milliseconds> longest_deadlines_;
    std::unordered_map<std::string, wait_queue> waiting_; ///< by service
    std::set<std::pair<base::instant, query_number>> query_times_;
    std::set<std::pair<base::instant, exchange_number>> drop_times_;
    base::instant settle_at_ = base::never;
};

} // namespace mimosacroft::gateway

#endif
