// Keeps this VM's entry in the store: created or replaced at the start, renewed
// now and then, removed at a graceful stop. Also removes entries of lost VMs.
#ifndef MIMOSACROFT_ENTRY_REGISTRATION_HPP
#define MIMOSACROFT_ENTRY_REGISTRATION_HPP

#include "mimosacroft/gateway/vm_directory.hpp"
#include "mimosacroft/http/client.hpp"

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace mimosacroft::entry
{

class registration
{
public:
    /// A call for the own entry failed; `text` says how.
    using failure_function = std::function<void(const std::string& text)>;

    registration(http::asio::io_context& io, std::string store_address,
                 gateway::vm_entry own, failure_function on_failure,
                 std::uint32_t seed);

    /// Makes the call that is due and ends one that takes too long.
    void tick(base::instant now);
    base::instant next_due() const;
    /// Whether the last call for the own entry failed.
    bool is_failing() const { return is_failing_; }

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

    /// A call that removes another VM's entry.
    struct removal
    {
        http::exchange_number number = 0;
        base::instant due{}; ///< given up then
    };

    http::exchange_number call(const http::request& message);
    void on_reply(http::exchange_number number, const http::response& reply);
    void on_own_reply(const http::response& reply);
    void end_late_removals(base::instant now);
    void retry();
    void fail(const std::string& text);

    std::string store_address_;
    std::optional<http::tcp::endpoint> store_;
    gateway::vm_entry own_;
    std::minstd_rand random_;
    failure_function on_failure_;
    http::client client_;
    state state_ = state::creating;
    http::exchange_number last_call_ = 0;
    http::exchange_number own_call_ = 0; ///< the one under way; 0 for none
    std::vector<removal> removals_;      ///< under way, the oldest first
    bool is_failing_ = false;
    base::instant due_{};
};

} // namespace mimosacroft::entry

#endif
