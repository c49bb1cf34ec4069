// The request-handling state machine of an entry VM. For each caller's request
// it decides which search the request belongs to, which servers receive it,
// when to hedge or retry it, when to give a partial answer, and when to refuse
// it. The class does no I/O: each call takes an event with its time, and
// appends the actions for the process to carry out to an `effects`.
#ifndef MIMOSACROFT_GATEWAY_GATEWAY_HPP
#define MIMOSACROFT_GATEWAY_GATEWAY_HPP

#include "mimosacroft/base/latency_tracker.hpp"
#include "mimosacroft/gateway/arrival_budget.hpp"
#include "mimosacroft/gateway/catalog.hpp"
#include "mimosacroft/gateway/crash_ledger.hpp"
#include "mimosacroft/gateway/mechanisms.hpp"
#include "mimosacroft/gateway/query.hpp"
#include "mimosacroft/gateway/relay_set.hpp"
#include "mimosacroft/gateway/server_pool.hpp"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
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
    std::map<std::string, std::string> regions; ///< by data centre
    /// Budget of hedges and retries of each service. The slack is the total of
    /// all VMs; each VM uses an equal share of it.
    arrival_budget_options extra;
    std::uint32_t seed = 1; ///< of the random number generator
    mechanisms use;
    /// Sends to servers at once. A request that needs more is refused before
    /// anything is sent.
    std::size_t max_exchanges = std::numeric_limits<std::size_t>::max();
};

/// The times of a planned stop of this VM.
struct stop_plan
{
    /// From here on requests are refused as not run.
    base::instant refuse_from = base::never;
    /// All queries are answered by then; at most this, and the time to write
    /// the answers, before the process ends.
    base::instant end = base::never;
};

class gateway
{
public:
    explicit gateway(gateway_options options);

    /// Makes `next` the current configuration. Returns false and changes
    /// nothing unless its version is newer than the current one.
    bool apply(catalog_ptr next);
    /// The current configuration; null before the first one is applied.
    const catalog_ptr& current() const { return catalog_; }

    server_pool& servers() { return servers_; }
    /// Handles the removal of a server's entry from the store; see
    /// server_pool::remove.
    void remove_server(const std::string& id, base::instant now,
                       base::duration hold);
    const server_pool& servers() const { return servers_; }

    /// Sets the VMs that can be used as relays, and the number of VMs that send
    /// to the same servers. `size` includes this VM and those in `departed`,
    /// which left the list but may still be sending.
    void set_fleet(const std::vector<vm_entry>& others, std::size_t size,
                   const std::vector<vm_entry>& departed = {});

    /// Sets the budget of hedges and retries; see gateway_options::extra.
    void set_extra_budget(const arrival_budget_options& it)
    {
        options_.extra = it;
    }

    /// Begins a planned stop.
    void plan_stop(const stop_plan& plan);

    /// Handles a new request of a caller.
    void open(query_number number, caller_request&& request, base::instant now,
              effects& out);
    /// Handles the shards of a request that another VM relays to this one.
    void open_relayed(query_number number, relayed_request&& request,
                      base::instant now, effects& out);
    /// Handles what another VM learned.
    void on_news(const fleet_news& news, bool pass_on, base::instant now,
                 effects& out);
    /// Handles the reply of the VM that a query was relayed to.
    void on_relay_reply(exchange_number number, relayed_answer&& reply,
                        base::instant now, effects& out);
    /// Handles a caller that closed its connection before the answer.
    void on_caller_left(query_number number, base::instant now, effects& out);
    /// Answers a query now, with what there is: the process needs the room.
    void give_up(query_number number, base::instant now, effects& out);

    /// Records that the request of an exchange was written to its connection.
    void on_sent(exchange_number number);
    void on_reply(exchange_number number, server_reply&& reply,
                  base::instant now, effects& out);
    void on_failure(exchange_number number, send_failure why, base::instant now,
                    effects& out);

    /// Runs the timers that are due. Call it at next_due() or later.
    void tick(base::instant now, effects& out);
    /// The time of the next timer; base::never if there is none.
    base::instant next_due() const;

    std::size_t open_queries() const { return queries_.size(); }
    std::size_t open_exchanges() const { return exchanges_.size(); }
    /// Number of sends to servers since the start, and how many of them were
    /// hedges or retries, that is not the first send of their part.
    std::uint64_t sends() const { return sends_; }
    std::uint64_t hedges() const { return hedges_; }
    std::size_t fleet_size() const { return fleet_size_; }

    /// Sends to servers that state a limit, since the start.
    struct limited_sends
    {
        std::uint64_t first = 0; ///< first sends of their part
        std::uint64_t again = 0; ///< hedges and retries
    };
    const limited_sends& sends_to_limited() const { return limited_sends_; }

    /// Requests under which servers ended.
    const crash_ledger& crashes() const { return crashes_; }

private:
    /// One send of a request to a server, or to another VM as a relay.
    struct exchange
    {
        query_number query = 0; ///< 0: the query was closed, result not needed
        std::size_t part = 0;   ///< index in the query's parts
        server_number to = 0;
        base::instant sent_at{};
        base::instant cancel_at{};
        base::duration expected{}; ///< latency without network round trip
        std::string relay_vm;      ///< the relay's name; empty for a server
        std::string search;   ///< name of the search, whose latency is tracked
        bool written = false; ///< the request was written to its connection
    };

    /// Orders parts that wait for a server with a free slot: by the search's
    /// priority, then by the query's final deadline.
    using wait_key = std::pair<int, base::instant>;
    /// A part in the queue of its service.
    struct waiter
    {
        query_number query = 0;
        std::size_t part = 0;
    };
    using wait_queue = std::multimap<wait_key, waiter>;

    // Admission and start of queries.
    query make_query(query_number number, caller_request&& request,
                     const search_ptr& of, base::instant now);
    base::instant compute_answer_by(const query& q);
    void refuse_request(query_number number, refusal why,
                        const caller_request& request, const search_ptr& of,
                        effects& out,
                        base::milliseconds at_least = base::milliseconds(0));
    /// `at_least` is when the reason of the refusal ends, if that is known.
    refused refusal_for(refusal why, const caller_request& request,
                        base::milliseconds at_least = base::milliseconds(0));
    /// How long the servers' pauses keep the query from enough of its parts.
    base::milliseconds pause_left(const query& q, base::instant now) const;
    void refuse_query(query& q, refusal why, base::instant now, effects& out);
    std::optional<refusal> refusal_at_admission(const query& q,
                                                base::instant now);
    bool can_be_served(const search& it) const;
    /// Whether it is likely to be answered before this VM stops.
    bool has_time_before_stop(const search& it, base::instant now) const;
    bool is_overloaded(const search& it, base::instant now, base::instant due);
    bool has_capacity(const search& it, base::instant now,
                      base::instant due) const;
    bool can_be_sent(const query& q, const part& p, bool may_relay,
                     base::instant now);
    void cancel_soon(const query& q, base::instant now);
    bool has_room_for(const query& q) const;
    bool has_permits(const query& q, bool may_relay, base::instant now);
    void start_query(query&& q, base::instant now, effects& out);
    void send_query(query& q, base::instant now, effects& out);
    void send_parts(query& q, base::instant now, effects& out);

    // Relays.
    /// The shards to relay, and the data centre of the relay VM. Without shards
    /// nothing is relayed.
    struct relay_plan
    {
        std::string data_centre;
        std::vector<std::uint32_t> shards;
    };
    relay_plan plan_relay(const search& it, base::instant now);
    base::instant relay_fallback_time(const query& q, base::instant now) const;
    void choose_servers_for_relay(query& q, part& p,
                                  const std::string& data_centre) const;
    void start_relay(query& q, base::instant now, effects& out);
    void apply_relay_answer(query& q, const merged& from);
    void fall_back_to_direct(query& q, bool may_have_run, base::instant now,
                             effects& out);
    void on_relay_failure(exchange_number number, send_failure why,
                          base::instant now, effects& out);
    void cancel_relay(query& q, base::instant now, effects& out);

    // Choice of servers and sends.
    void send_part(query& q, std::size_t part, base::instant now, effects& out);
    server* choose_server(const query& q, const part& p, base::instant now);
    static double permit_reserve(const query& q, const part& p);
    bool is_any_permitted(const query& q, const part& p, base::instant now);
    std::vector<server*> allowed_servers(const part& p) const;
    base::instant pause_end(const part& p, base::instant now) const;
    static bool is_exhausted(const part& p, const server& it,
                             base::instant now);
    std::size_t max_exchanges_per_server(const std::string& service) const;
    void send_to(query& q, std::size_t part, server& to, base::instant now,
                 effects& out);
    void send_again(query& q, std::size_t part, base::instant now,
                    effects& out);
    bool spend_extra_budget(const std::string& service, base::instant now);
    arrival_budget_options budget_options() const;
    void send_waiting(const std::string& service, base::instant now,
                      effects& out);
    void enqueue_part(const query& q, std::size_t part);
    void remove_waiters(const query& q);

    // Requests under which servers end.
    crash_verdict verdict_of(const query& q, base::instant now) const;
    bool may_risk_server(const query& q, const part& p,
                         base::instant now) const;
    void hold_or_fail_part(query& q, std::size_t part, base::instant now);
    void fail_hopeless_parts(query& q, base::instant now);
    void start_probe(query& q, base::instant now, effects& out);
    bool advance_probe(query& q, base::instant now, effects& out);
    void note_run(query& q, base::instant now, effects& out);
    void note_server_ended(query& q, base::instant now, effects& out);
    void note_crashes(query& q, base::instant now, effects& out);

    // What servers say of themselves, and what VMs tell each other of it.
    void note_statements(server& from, const server_reply& reply,
                         base::instant sent_at, base::instant now,
                         effects& out);
    void take_news(const fleet_news& news, base::instant now, effects& out);
    fleet_news news_for_vm(base::instant now) const;
    void tell_vm(const vm_entry& to, bool pass_on, base::instant now,
                 effects& out);
    void tell_data_centre(base::instant now, effects& out);
    void tell_fleet(base::instant now, effects& out);

    // Results.
    exchange remove_exchange(exchange_number number);
    /// Takes over the limit that an answer of `from` stated, or its lack.
    void note_limit(server& from, std::optional<double> per_second,
                    base::instant sent_at, base::instant now, effects& out);
    /// Records the outcome of an exchange that ended. Returns its query, or
    /// null if that was closed.
    query* record_outcome(exchange_number number, const exchange& it,
                          std::string_view outcome, base::instant now);
    void complete_part(query& q, std::size_t part, server_reply&& reply,
                       base::instant now, effects& out);
    void retry_or_fail_part(query& q, std::size_t part, base::instant now,
                            effects& out);
    bool may_retry(const query& q, const part& p) const;
    void fail_part(query& q, std::size_t part);
    void answer_if_ready(query& q, base::instant now, effects& out);
    void answer_single_if_ready(query& q, base::instant now, effects& out);
    void answer_scattered_if_ready(query& q, base::instant now, effects& out);
    void answer_merged(query& q, base::instant now, effects& out);
    void emit_merged(query& q, merged reply, base::instant now, effects& out);
    void answer_failed(query& q, base::instant now, effects& out);
    void cancel_unwritten(query& q, base::instant now, effects& out);
    void close_query(query& q, base::instant now, effects& out);
    void set_cancel_timer(exchange_number number, base::instant at);
    void expire_exchange(exchange_number number, base::instant now,
                         effects& out);

    // Timers and latencies.
    void schedule_timer(query& q);
    void tick_query(query& q, base::instant now, effects& out);
    base::duration expected_latency(const search& of) const;
    base::duration hedge_delay(const query& q, const part& p, const server& to,
                               base::instant now);

    double random_fraction();

    gateway_options options_;
    // No query's final deadline is later than its end: none is open when the
    // process ends, whenever it came and whatever its servers do.
    stop_plan stop_;
    catalog_ptr catalog_;
    server_pool servers_;
    relay_set relays_;
    std::size_t relay_rotation_ = 0; ///< round-robin counter over data centres
    traffic_splitter splitter_;
    std::minstd_rand random_;
    std::size_t fleet_size_ = 1;
    std::uint64_t sends_ = 0;
    std::uint64_t hedges_ = 0;
    limited_sends limited_sends_;
    exchange_number last_exchange_ = 0;
    std::unordered_map<query_number, query> queries_;
    std::unordered_map<exchange_number, exchange> exchanges_;
    std::unordered_map<std::string, arrival_budget> budgets_; ///< by service
    std::unordered_map<std::string, base::latency_tracker>
        latencies_; ///< of servers, by search
    /// When the last of them was added, by search.
    std::unordered_map<std::string, base::instant> latency_added_at_;
    std::unordered_map<std::string, base::latency_tracker>
        relay_latencies_; ///< by search
    /// Longest deadline seen of each search's callers, by name. A shorter
    /// deadline means that earlier attempts of the caller used up the rest.
    std::unordered_map<std::string, base::milliseconds> max_deadlines_;
    std::unordered_map<std::string, wait_queue> waiting_; ///< by service
    crash_ledger crashes_;
    base::instant next_news_at_{}; ///< of tell_fleet
    std::set<std::pair<base::instant, query_number>> query_timers_;
    std::set<std::pair<base::instant, exchange_number>> cancel_timers_;
    /// When server_pool::forget_expired is due.
    base::instant forget_servers_at_ = base::never;
};

} // namespace mimosacroft::gateway

#endif
