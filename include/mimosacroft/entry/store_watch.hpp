// Follows one kind of object of the store over a connection of its own.
#ifndef MIMOSACROFT_ENTRY_STORE_WATCH_HPP
#define MIMOSACROFT_ENTRY_STORE_WATCH_HPP

#include "mimosacroft/gateway/object_follower.hpp"
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
        /// A call failed; `text` says how.
        std::function<void(const std::string& text)> on_failure;
    };

    store_watch(http::asio::io_context& io, std::string kind,
                std::string store_address, gateway::follower_options options,
                handlers h, std::uint32_t seed);

    /// Makes the call that is due and ends one that takes too long.
    void tick(base::instant now);
    base::instant next_due() const;

    const gateway::object_follower& state() const { return follower_; }
    std::uint64_t calls() const { return last_call_; }
    /// Whether the last calls failed.
    bool is_failing() const { return follower_.failures() > 0; }

private:
    void on_reply(http::response&& reply);
    void fail(const std::string& text);
    double random_share();

    std::string kind_;
    std::string store_address_;
    std::optional<http::tcp::endpoint> store_;
    gateway::object_follower follower_;
    handlers on_;
    std::minstd_rand random_;
    http::client client_;
    http::exchange_number last_call_ = 0;
    gateway::follow_step step_ = gateway::follow_step::list;
    base::instant call_due_ = base::never; ///< when the call under way fails
};

} // namespace mimosacroft::entry

#endif
