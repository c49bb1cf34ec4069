// Keeps this VM's entry in the store: created or replaced at the start, renewed
// now and then, removed at a graceful stop. Also removes entries of lost VMs.
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
    registration(http::asio::io_context& io, std::string store_address,
                 gateway::vm_entry own, std::uint32_t seed);

    /// Makes the call that is due and ends one that takes too long.
    void tick(base::instant now);
    base::instant next_due() const { return due_; }

    /// Removes the own entry, once; no answer is waited for.
    void withdraw();
    /// Removes another VM's entry.
    void remove(const std::string& name);

private:
    enum class state
    {
        creating,
        replacing,
        registered,
        withdrawn
    };

    void call(const http::request& message);
    void on_reply(http::exchange_number number, const http::response& reply);
    void on_failure(http::exchange_number number);
    void retry();

    std::string store_address_;
    std::optional<http::tcp::endpoint> store_;
    gateway::vm_entry own_;
    std::minstd_rand random_;
    http::client client_;
    state state_ = state::creating;
    http::exchange_number last_call_ = 0;
    http::exchange_number own_call_ = 0; ///< the one under way; 0 for none
    base::instant due_{};
};

} // namespace mimosacroft::entry

#endif
