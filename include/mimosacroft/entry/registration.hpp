// Keeps this VM's entry in the store: creates or replaces it at the start,
// renews it every gateway::renewal_period, and removes it at a graceful stop.
// Also removes the entries of lost VMs.
#ifndef MIMOSACROFT_ENTRY_REGISTRATION_HPP
#define MIMOSACROFT_ENTRY_REGISTRATION_HPP

#include "mimosacroft/gateway/vm_directory.hpp"
#include "mimosacroft/http/client.hpp"

#include <optional>
#include <random>
#include <string>

namespace mimosacroft::entry
{

class registration
{
public:
    /// `store_address` is ip:port. `seed` is for the jitter of retries.
    registration(http::asio::io_context& io, std::string store_address,
                 gateway::vm_entry own_entry, std::uint32_t seed);

    /// Makes the call that is due. If the call in progress has timed out, ends
    /// it and schedules a retry instead.
    void tick(base::instant now);
    base::instant next_due() const { return next_due_; }

    /// Called when the entry may be missing from the store: renews it soon,
    /// which creates it if need be. Does nothing before the entry is written.
    void renew_soon();

    /// Removes this VM's entry and stops renewing it. Sends one call and does
    /// not wait for its answer; does nothing if called again.
    void withdraw();
    /// Removes the entry of the VM with this name. Sends one call without a
    /// retry.
    void remove(const std::string& name);

private:
    enum class state
    {
        creating,   ///< the next call creates the entry
        replacing,  ///< the next call replaces an entry that exists already
        registered, ///< the next call renews the entry
        withdrawn   ///< the entry is removed and not renewed again
    };

    void send_call(const http::request& message);
    void on_reply(http::exchange_number number, const http::response& reply);
    void on_failure(http::exchange_number number);
    /// Sets the next call to be due after a short random delay.
    void schedule_retry();
    /// `min_delay` plus a random part of `jitter`.
    base::duration random_delay(base::milliseconds min_delay,
                                base::milliseconds jitter);

    std::string store_address_;
    /// Parsed from store_address_; empty if that is invalid, and then no call
    /// is sent.
    std::optional<http::tcp::endpoint> store_endpoint_;
    gateway::vm_entry own_entry_;
    std::minstd_rand random_;
    http::client client_;
    state state_ = state::creating;
    http::exchange_number last_exchange_ = 0;
    /// The call in progress for this VM's entry; 0 if there is none.
    http::exchange_number pending_call_ = 0;
    bool renew_again_ = false; ///< renew_soon() was called during a call
    base::instant next_due_{}; ///< next call, or timeout of the pending one
};

} // namespace mimosacroft::entry

#endif
