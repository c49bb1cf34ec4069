// Follows one kind of object of the store, over a connection of its own: from
// the store itself or from another VM that has it from there.
#ifndef MIMOSACROFT_ENTRY_STORE_WATCH_HPP
#define MIMOSACROFT_ENTRY_STORE_WATCH_HPP

#include "mimosacroft/entry/spread_codec.hpp"
#include "mimosacroft/gateway/object_cache.hpp"
#include "mimosacroft/gateway/object_follower.hpp"
#include "mimosacroft/gateway/object_sources.hpp"
#include "mimosacroft/http/client.hpp"

#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mimosacroft::entry
{

class store_watch
{
public:
    struct handlers
    {
        std::function<void(const std::vector<gateway::object_change>&)>
            on_changes;
        /// A list is complete: names that are not in it are gone.
        std::function<void(const std::set<std::string>& names)> on_list;
        /// A call to the store failed; `text` says how.
        std::function<void(const std::string& text)> on_failure;
        /// A call ended: the cache may have something new for other VMs, and
        /// the next call may be due.
        std::function<void()> on_call_ended = [] {};
    };

    store_watch(http::asio::io_context& io, std::string kind,
                std::string store_address, gateway::follower_options options,
                gateway::watch_waits waits, handlers h, std::uint32_t seed);

    /// Makes the call that is due and ends one that takes too long.
    void tick(base::instant now);
    base::instant next_due() const;

    /// Where to read from, beside the store.
    gateway::object_sources& sources() { return sources_; }

    /// Whether other VMs can rely on what is known here.
    bool can_serve(base::instant now) const;

    const std::string& kind() const { return kind_; }
    const gateway::object_cache& cache() const { return cache_; }
    bool is_complete() const { return follower_.is_complete(); }
    /// Since all that the store has was known here.
    base::duration age(base::instant now) const { return now - fresh_at_; }
    std::uint64_t store_calls() const { return store_calls_; }
    http::traffic moved() const { return client_.moved(); }
    /// Whether the last calls failed.
    bool is_failing() const { return follower_.failures() > 0; }

private:
    void start(const gateway::follow_call& call, base::instant now);
    void on_reply(http::response&& reply);
    base::result<spread_answer> decode(const http::response& reply) const;
    void take(const spread_answer& it, base::instant now);
    void fail(const std::string& text);
    double random_share();

    std::string kind_;
    std::string store_address_;
    base::milliseconds oldest_served_; ///< to other VMs
    gateway::object_follower follower_;
    gateway::object_sources sources_;
    gateway::object_cache cache_;
    handlers on_;
    std::minstd_rand random_;
    http::client client_;
    http::exchange_number last_call_ = 0;
    std::uint64_t store_calls_ = 0;
    gateway::follow_step step_ = gateway::follow_step::list;
    std::string asked_; ///< address of the VM asked last; empty for the store
    base::milliseconds oldest_news_{0};    ///< of the VM asked last
    base::instant call_due_ = base::never; ///< when the call under way fails
    base::instant fresh_at_{};
};

} // namespace mimosacroft::entry

#endif
