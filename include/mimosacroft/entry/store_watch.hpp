// Follows one kind of the store's objects over a connection of its own: reads
// them from the store or from another VM.
#ifndef MIMOSACROFT_ENTRY_STORE_WATCH_HPP
#define MIMOSACROFT_ENTRY_STORE_WATCH_HPP

#include "mimosacroft/entry/spread_codec.hpp"
#include "mimosacroft/gateway/object_cache.hpp"
#include "mimosacroft/gateway/object_follower.hpp"
#include "mimosacroft/gateway/object_sources.hpp"
#include "mimosacroft/http/client.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mimosacroft::entry
{

/// Why the objects are listed once more although a list was there.
enum class list_reason
{
    history_gone,     ///< the source has no changes back to the last position
    too_many_changes, ///< these would be more to read than the objects
    new_era,          ///< the store came back from a copy
};
inline constexpr std::size_t list_reason_count = 3;

class store_watch
{
public:
    struct handlers
    {
        std::function<void(const std::vector<gateway::object_change>&)>
            on_changes;
        /// A list is complete: objects that are not in it have been removed.
        std::function<void(const std::set<std::string>& names)> on_list;
        /// The store came back from a copy: what was written to it since the
        /// copy was made may be missing.
        std::function<void(std::uint64_t era)> on_new_era = [](auto) {};
        /// A call to the store failed, not one to another VM; `text` tells why.
        std::function<void(const std::string& text)> on_failure;
        /// The objects are listed once more; `source` is the address of the VM
        /// that has them, empty for the store.
        std::function<void(list_reason why, const std::string& source)>
            on_list_again = [](auto, const auto&) {};
        /// So many objects have no readable name and were left out.
        std::function<void(std::size_t count)> on_unreadable = [](auto) {};
        /// A call ended: the cache may have changes to serve to other VMs, and
        /// the next call may be due.
        std::function<void()> on_call_ended = [] {};
    };

    store_watch(http::asio::io_context& io, std::string kind,
                std::string store_address, gateway::follower_options options,
                gateway::watch_timeouts waits, handlers callbacks,
                std::uint32_t seed,
                std::size_t max_past_bytes =
                    gateway::object_cache::default_max_past_bytes);

    /// Sends the call that is due, or fails the one whose deadline has passed.
    void tick(base::instant now);
    /// When tick() has something to do next.
    base::instant next_due() const;

    /// The store and the VMs to read from, in order of preference.
    gateway::object_sources& sources() { return sources_; }

    /// Whether the objects are complete and recent enough for other VMs.
    bool can_serve(base::instant now) const;

    const std::string& kind() const { return kind_; }
    const gateway::object_cache& cache() const { return cache_; }
    /// Whether a whole list was read since the start.
    bool is_complete() const { return follower_.is_complete(); }
    /// Time since the objects here were last up to date with the store.
    base::duration age(base::instant now) const { return now - synced_at_; }
    /// Calls made to the store itself.
    std::uint64_t store_calls() const { return store_calls_; }
    /// How often the objects were listed once more, for this reason.
    std::uint64_t lists_again(list_reason why) const
    {
        return lists_again_.at(static_cast<std::size_t>(why));
    }
    /// Bytes sent and received.
    http::traffic moved() const { return client_.moved(); }
    /// Whether the last call failed.
    bool is_failing() const { return follower_.failures() > 0; }

private:
    void send_call(const gateway::follow_call& call, base::instant now);
    void on_reply(http::response&& reply);
    base::result<spread_answer> decode(const http::response& reply) const;
    bool is_outdated(const spread_answer& answer) const;
    void apply_batch(const spread_answer& answer, base::instant now);
    void apply_list(const gateway::object_batch& list);
    /// Largest answer to a watch that is read, in bytes.
    std::size_t max_watch_bytes() const;
    void list_again(list_reason why, base::instant now);
    void on_failure(http::exchange_failure why);
    void on_call_failed(const std::string& text);
    /// From 0 to 1.
    double random_jitter();

    std::string kind_;
    std::string store_address_;
    base::milliseconds max_served_age_; ///< of objects served to other VMs
    gateway::object_follower follower_;
    gateway::object_sources sources_;
    gateway::object_cache cache_;
    handlers handlers_;
    std::minstd_rand random_engine_;
    http::client client_;
    http::exchange_number last_call_ = 0;
    std::uint64_t store_calls_ = 0;
    std::array<std::uint64_t, list_reason_count> lists_again_{}; ///< by reason
    gateway::follow_step call_step_ = gateway::follow_step::list;
    /// Address of the VM called last; empty for the store.
    std::string call_source_;
    /// An older answer to the last call counts as a failure.
    base::milliseconds max_answer_age_{0};
    base::instant call_deadline_ = base::never; ///< of the call in flight
    base::instant synced_at_{}; ///< when last up to date with the store
};

} // namespace mimosacroft::entry

template <>
struct mimosacroft::base::enum_names<mimosacroft::entry::list_reason>
{
    static constexpr std::array<std::string_view,
                                mimosacroft::entry::list_reason_count>
        table = {"history_gone", "too_many_changes", "new_era"};
};

#endif
