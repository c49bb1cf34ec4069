// Runs a node: carries out its effects with sockets and timers, and brings it
// their results. All of it happens on the loop's thread; other threads come in
// by call().
#ifndef MIMOSACROFT_DAEMON_RUNTIME_HPP
#define MIMOSACROFT_DAEMON_RUNTIME_HPP

#include "mimosacroft/base/metrics.hpp"
#include "mimosacroft/daemon/recent_answers.hpp"
#include "mimosacroft/daemon/trace_store.hpp"
#include "mimosacroft/net/http_client.hpp"
#include "mimosacroft/net/loop.hpp"
#include "mimosacroft/net/peer_transport.hpp"
#include "mimosacroft/node/node.hpp"

#include <cstdint>
#include <exception>
#include <functional>
#include <future>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace mimosacroft::daemon
{

/// The platform answered with an older version than before, and went on so.
struct older_store
{
    std::uint64_t version = 0;  ///< of the store as it came back
    std::uint64_t in_force = 0; ///< of this VM at that time
    base::instant seen;
};

class runtime
{
public:
    runtime(fleet::agent_options fleet, net::peer_transport_options peers,
            node::node_options options = {},
            std::size_t max_unfinished_bytes =
                net::http_client::default_max_unfinished_bytes);

    /// Runs until stop().
    void run();
    void stop();

    /// Runs `fn` on the loop's thread and waits for its value. From any other
    /// thread.
    template <typename Fn>
    auto call(Fn fn)
    {
        std::promise<decltype(fn())> done;
        loop_.post(
            [&]
            {
                try
                {
                    done.set_value(fn());
                }
                catch (...)
                {
                    done.set_exception(std::current_exception());
                }
            });
        return done.get_future().get();
    }

    /// Runs a search to its end. From any thread but the loop's.
    query::search_answer search(query::search_request request);

    /// An HTTP exchange by the loop's client. From any thread but the loop's.
    base::result<wire::http_reply> exchange(const std::string& address,
                                            wire::http_request request,
                                            base::milliseconds timeout);

    /// Tells the peers that this VM stops and takes no more forwards of them.
    /// Searches are refused after `grace`. `fn` runs on the loop once nothing
    /// is in flight any more.
    void drain(base::milliseconds grace, std::function<void()> fn);

    /// See fleet::agent::ask_behind(). Only on the loop's thread.
    void ask_behind(std::uint64_t version);

    /// Only on the loop's thread.
    const node::node& node() const { return node_; }
    const net::peer_counters& peer_counters() const
    {
        return peers_.counters();
    }
    std::size_t connections(const std::string& address) const
    {
        return http_.connections(address);
    }

    const recent_answers& recent() const { return recent_; }
    /// When the configuration that is in force came; never if none has.
    base::instant config_changed() const { return config_changed_; }
    base::instant started() const { return started_; }
    /// When the server at an address replied last; never if it has not, or long
    /// ago.
    base::instant server_heard(const std::string& address) const;
    /// The platform's store came back older than what is in force.
    const std::optional<older_store>& platform_older() const
    {
        return platform_older_;
    }

    base::metrics& metrics() { return metrics_; }
    const daemon::trace_store& traces() const { return traces_; }

private:
    using call_key = std::pair<core::call_owner, std::uint64_t>;

    void step(const std::function<void(base::instant, core::effects&)>& fn);
    void carry_out(core::effect& it);
    void carry_out(core::send_peer& it);
    void carry_out(core::http_call& it);
    void carry_out(const core::abandon_call& it);
    void carry_out(const core::log_event& it);
    void deliver_answers();
    void note_status();
    void note_server(const std::string& address);
    void note_older_store(const core::log_event& it);
    void fail_search(std::uint64_t ticket, std::exception_ptr why);
    void report_failure(const std::string& what);
    void arm_timer();
    void check_drained();
    void await_flush(base::instant due);

    net::loop loop_;
    base::metrics metrics_;
    daemon::trace_store traces_;
    recent_answers recent_;
    std::uint64_t config_version_ = 0; ///< as of config_changed_
    base::instant config_changed_ = base::never;
    const base::instant started_ = std::chrono::steady_clock::now();
    std::map<std::string, base::instant> servers_heard_; ///< by address
    std::optional<older_store> platform_older_;
    node::node node_;
    net::http_client http_;
    net::peer_transport peers_;
    std::map<call_key, std::uint64_t> calls_; ///< the client's number of a call
    std::map<std::uint64_t, std::promise<query::search_answer>> waiting_;
    std::uint64_t last_ticket_ = 0;
    base::instant armed_ = base::never; ///< when the next tick is due
    std::function<void()> on_drained_;
};

} // namespace mimosacroft::daemon

#endif
