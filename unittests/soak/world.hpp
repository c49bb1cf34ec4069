// The world of a soak: the real daemons as processes, with a stand-in of the
// store, servers, callers, and proxies between them that can do harm.
#ifndef MIMOSACROFT_UNITTESTS_SOAK_WORLD_HPP
#define MIMOSACROFT_UNITTESTS_SOAK_WORLD_HPP

#include "../platform/store_standin.hpp"
#include "../support/loopback.hpp"
#include "../support/process.hpp"
#include "ledger.hpp"
#include "proxy.hpp"
#include "standin_server.hpp"

#include "mimosacroft/entry/settings.hpp"
#include "mimosacroft/http/client.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace mimosacroft::tests
{

struct world_options
{
    std::uint32_t seed = 1;
    std::size_t vms = 4;
    std::string folder; ///< of settings files and logs
};

class world
{
public:
    explicit world(world_options options);

    /// Lets everything work for a while.
    void run_for(base::milliseconds length);
    /// Starts what `step` says after a time.
    void after(base::milliseconds wait, std::function<void()> step);

    // What faults do.
    /// The store, or a way to it or between VMs, fails for a while.
    void note_trouble(base::milliseconds length);
    std::size_t vms() const { return vms_.size(); }
    std::size_t servers() const { return servers_.size(); }
    void kill_vm(std::size_t n, base::milliseconds away);
    /// Asks it to stop; it is started again when it has.
    void stop_vm(std::size_t n);
    void pause_vm(std::size_t n, base::milliseconds length);
    /// Its settings file changes, with a signal or without.
    void change_settings(std::size_t n, bool signal);
    proxy& store_link(std::size_t vm) { return *vms_.at(vm).store_link; }
    proxy& peer_link(std::size_t vm) { return *vms_.at(vm).peer_link; }
    standin_server& server(std::size_t n) { return *servers_.at(n); }
    store_standin& store() { return store_; }
    void replace_server(std::size_t n);
    /// What its entry says of leaving.
    void set_leaving(std::size_t n, bool leaving);
    /// The server states a limit in its answers for a while.
    void limit_server(std::size_t n, base::milliseconds length);
    void note_refusing(const standin_server& it, base::milliseconds length);
    /// After `age` the store fails, and after `away` more it comes back from a
    /// copy of now. Operators and servers then write again what they wrote.
    void restore_store(base::milliseconds age, base::milliseconds away);
    /// A new version; every VM that was not disturbed must know it in time.
    void change_configuration();

    /// Work of operators, in calm: a server leaves, a VM stops, a configuration
    /// changes. No caller may notice.
    void plan_work();
    /// Asks each VM for a path that only the newest version knows.
    void probe_configuration();

    /// Sends requests as callers do until told to stop.
    void set_load(bool on);
    /// One request to each VM; the number of those answered with 200 in time.
    std::size_t ask_all();

    /// Promises broken so far, in words.
    std::vector<std::string> broken() const;
    const ledger& seen() const { return seen_; }

private:
    struct vm_state
    {
        entry::settings settings;
        std::unique_ptr<process> running;
        std::unique_ptr<proxy> store_link;
        std::unique_ptr<proxy> peer_link;
        http::tcp::endpoint callers;
        std::string listed_peer;  ///< where other VMs reach it
        bool may_be_asked = true; ///< as the balancer sees it
        int starts = 0;
        std::size_t start_span = 0; ///< of ledger::vm_gone
    };

    http::tcp::endpoint free_endpoint();
    void make_searches();
    void make_servers();
    void make_vm(std::size_t n);
    void write_settings(const vm_state& it) const;
    void start_vm(std::size_t n);
    /// The record of a request that is over.
    caller_record& end_of(http::exchange_number number);
    void note_serves(std::size_t vm);
    void watch_stop(std::size_t n, base::instant by);
    void put_configuration();
    void put_server(standin_server& it);
    void write_again();
    void send_load();
    std::size_t send(std::size_t vm, const gateway::search_ptr& search,
                     const std::string& path);
    void sweep();

    world_options options_;
    std::minstd_rand random_;
    unsigned short last_port_ = 10'000;
    http::asio::io_context io_;
    ledger seen_;
    http::tcp::endpoint store_at_;
    store_standin store_;
    std::vector<gateway::search_ptr> searches_;
    std::vector<std::unique_ptr<standin_server>> servers_;
    std::vector<vm_state> vms_;
    http::client callers_;
    std::unordered_map<http::exchange_number, std::size_t> open_; ///< records
    std::uint64_t version_ = 1;
    std::uint64_t server_writes_ = 0; ///< the count in the servers' entries
    std::uint64_t unrelated_ = 0;     ///< content of an object of others
    bool restores_ = false;           ///< one at a time
    std::vector<std::string> broken_;
    bool loads_ = false;
};

} // namespace mimosacroft::tests

#endif
