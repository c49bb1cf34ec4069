// Entry VMs in one process with virtual time, and models of what is round them:
// links, the platform, upstream servers and the balancer before the VMs.
#ifndef MIMOSACROFT_LOAD_TESTBED_HPP
#define MIMOSACROFT_LOAD_TESTBED_HPP

#include "mimosacroft/load/event_queue.hpp"
#include "mimosacroft/load/model_server.hpp"
#include "mimosacroft/node/node.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mimosacroft::load
{

struct data_centre
{
    std::string name;
    std::string region;
    std::size_t vms = 3;
};

/// One-way delays. Each message takes up to `jitter` of its delay more.
struct link_delays
{
    base::microseconds caller{1000};
    base::microseconds inside{1000}; ///< within a data centre
    base::microseconds between{3000};
    base::microseconds regions{8000};
    double jitter = 0.1;
};

struct testbed_options
{
    std::uint64_t seed = 1;
    std::vector<data_centre> data_centres;
    link_delays delays;
    server_traits servers;
    /// Every VM is the only owner of its data centre's upstreams, with an even
    /// share of their slots.
    bool even_shares = false;
    std::function<std::unique_ptr<node::node>(fleet::agent_options,
                                              std::uint64_t seed)>
        make_node;
};

/// One caller's request and what became of it.
struct exchange
{
    query::search_request request;
    base::instant sent;
    base::instant ended;
    std::optional<query::search_answer> answer; ///< none if the VM went away
};

class testbed
{
public:
    explicit testbed(testbed_options options);

    event_queue& time() { return time_; }

    /// Writes a resource to the platform.
    void declare(const model::resource& value);

    /// Sends a request through the balancer now.
    void ask(query::search_request request);

    void kill(std::size_t vm);
    void pause(std::size_t vm);
    void resume(std::size_t vm);

    model_server& server(const std::string& name) { return *servers_.at(name); }
    const std::map<std::string, std::unique_ptr<model_server>>& servers() const
    {
        return servers_;
    }

    /// Requests that have ended, in order of their ends.
    const std::vector<exchange>& ended() const { return ended_; }

    /// The shards of an index at an epoch.
    const std::set<std::string>& shards_of(const std::string& index,
                                           std::uint64_t epoch) const
    {
        return shards_.at({index, epoch});
    }

    std::uint64_t duplicate_runs() const { return duplicate_runs_; }
    std::uint64_t over_connections() const { return over_connections_; }

private:
    using call_key = std::pair<core::call_owner, std::uint64_t>;

    struct entry_vm
    {
        std::string name;
        std::string data_centre;
        std::unique_ptr<node::node> node;
        bool alive = true;
        bool paused = false;
        bool in_rotation = true;
        std::vector<event_queue::action> held; ///< inputs during a pause
        base::instant armed = base::never;
        std::map<call_key, std::uint64_t> calls;   ///< to the testbed's number
        std::map<std::string, std::uint32_t> idle; ///< connections, by server
        std::set<std::uint64_t> tickets; ///< requests without an answer
    };

    /// An HTTP call on its way.
    struct open_call
    {
        std::size_t vm = 0;
        call_key key;
        std::string server; ///< empty for the platform
        std::vector<query::upstream_subquery> subqueries;
        bool fresh = false;
    };

    struct waiting_watch
    {
        std::uint64_t call = 0;
        std::uint64_t after = 0;
    };

    using input =
        std::function<void(node::node&, base::instant, core::effects&)>;

    void add_servers(const model::upstream& it);
    void give(std::size_t vm, input fn);
    void step(std::size_t vm, const input& fn);
    void arm(std::size_t vm);
    void carry_out(std::size_t vm, core::send_peer& it);
    void carry_out(std::size_t vm, core::http_call& it);
    void carry_out(std::size_t vm, const core::abandon_call& it);
    void carry_out(std::size_t, const core::log_event&) {}
    void call_server(std::size_t vm, std::uint64_t number,
                     const core::http_call& it, const std::string& server);
    void arrive(std::uint64_t number);
    void expire(std::size_t vm, const call_key& key);
    void call_platform(std::uint64_t number, const core::http_call& it);
    void reply(std::uint64_t number, wire::http_reply it);
    void close(std::size_t vm, std::uint64_t number);
    void drop_connection(const std::string& server);
    void count_runs(const std::vector<query::upstream_subquery>& subqueries);
    void take_answers(std::size_t vm);
    void end(std::size_t request, std::optional<query::search_answer> answer);
    std::optional<std::size_t> next_in_rotation();
    std::optional<std::size_t> find_vm(const std::string& name) const;
    std::string changes_after(std::size_t vm, std::uint64_t version) const;
    std::string vms_for(std::size_t vm) const;
    base::duration delay(const std::string& from, const std::string& to);
    base::duration vary(base::microseconds it);

    testbed_options options_;
    event_queue time_;
    std::mt19937_64 random_;
    std::vector<entry_vm> vms_;
    std::map<std::string, std::string> regions_; ///< by data centre
    std::map<std::string, std::unique_ptr<model_server>> servers_;
    std::map<std::string, std::string> addresses_; ///< of servers, to names
    std::map<std::string, model::upstream> upstream_of_; ///< by server
    std::map<std::string, std::uint32_t> connections_;   ///< by server
    std::map<std::pair<std::size_t, std::size_t>, base::instant> link_busy_;
    std::map<std::uint64_t, open_call> calls_;
    std::uint64_t last_call_ = 0;
    std::vector<std::pair<std::uint64_t, model::resource>> objects_;
    std::list<waiting_watch> watches_;
    std::uint64_t list_version_ = 1;
    std::set<std::size_t> delisted_;
    std::set<std::string> once_only_; ///< searches that are not repeatable
    std::map<std::string, std::uint32_t> runs_; ///< of once-only requests
    std::map<std::pair<std::string, std::uint64_t>, std::set<std::string>>
        shards_;
    std::map<std::size_t, exchange> open_; ///< requests without an end
    std::size_t last_request_ = 0;
    std::size_t rotation_ = 0;
    std::vector<exchange> ended_;
    std::uint64_t duplicate_runs_ = 0;
    std::uint64_t over_connections_ = 0;
};

} // namespace mimosacroft::load

#endif
