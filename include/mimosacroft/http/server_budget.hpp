// What the callers of a process may make it hold: one budget of bytes and one
// of connections for all of its HTTP servers.
#ifndef MIMOSACROFT_HTTP_SERVER_BUDGET_HPP
#define MIMOSACROFT_HTTP_SERVER_BUDGET_HPP

#include "mimosacroft/base/names.hpp"
#include "mimosacroft/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>
#include <vector>

namespace mimosacroft::http
{

/// Why a caller was turned away, or a part of what it sent thrown away.
enum class shed_reason
{
    bytes,       ///< all callers together hold too much
    connections, ///< there are too many connections
    slow_request,
    slow_answer ///< it does not read its answer
};

inline constexpr std::size_t shed_reason_count = 4;

class server_budget;

/// What one connection holds, as the budget counts it. It is counted from its
/// construction to its destruction.
class budget_account
{
public:
    /// `shed` makes the connection release what it can; it must call
    /// set_sheddable() with less than before.
    budget_account(server_budget& owner, std::function<void()> shed);
    ~budget_account();
    budget_account(const budget_account&) = delete;
    budget_account& operator=(const budget_account&) = delete;

    /// The bytes that can be released, and since when they wait. May shed this
    /// or other connections.
    void set_sheddable(std::size_t bytes, base::instant since);
    /// Counts the bytes of a request that is handed out, which stay until it is
    /// answered. False, and nothing counted, if there is no room.
    bool keep(std::size_t bytes);
    void release_kept();

private:
    friend class server_budget;

    server_budget& owner_;
    std::function<void()> shed_;
    std::size_t sheddable_ = 0;
    std::size_t kept_ = 0;
    base::instant since_{};
    std::size_t index_ = 0; ///< in server_budget::accounts_
};

/// How much a connection counts for: what it holds, and for how long.
double shed_order(std::size_t bytes, base::instant since, base::instant now);

class server_budget
{
public:
    static constexpr std::size_t default_bytes = std::size_t{256} << 20;

    /// `bytes` is the bound on what all connections hold beyond
    /// `free_bytes_per_connection`.
    explicit server_budget(std::size_t bytes = default_bytes)
        : max_bytes_(bytes)
    {
    }
    server_budget(const server_budget&) = delete;
    server_budget& operator=(const server_budget&) = delete;

    /// A connection holds this much without being counted, which a request of
    /// ordinary size does not exceed. The number of connections bounds it.
    static constexpr std::size_t free_bytes_per_connection =
        std::size_t{4} * 1024;

    std::size_t held_bytes() const { return sheddable_ + kept_; }
    std::size_t max_bytes() const { return max_bytes_; }

    void count(shed_reason why) { ++shed_[static_cast<std::size_t>(why)]; }
    /// Since the start.
    std::uint64_t shed(shed_reason why) const
    {
        return shed_[static_cast<std::size_t>(why)];
    }
    /// Since the last call for this reason.
    std::uint64_t take_unreported(shed_reason why)
    {
        const auto n = static_cast<std::size_t>(why);
        return shed_[n] - std::exchange(reported_[n], shed_[n]);
    }

private:
    friend class budget_account;

    void shed_until_within();
    budget_account* first_to_shed() const;

    std::size_t max_bytes_;
    // sheddable_ and kept_ are the sums over accounts_. After each change
    // sheddable_ + kept_ <= max_bytes_, unless one connection alone exceeds it,
    // and kept_ <= max_bytes_ / 2, unless one request alone exceeds that. So
    // the servers hold at most max_bytes_ or one request of the largest size,
    // and free_bytes_per_connection for each connection.
    std::size_t sheddable_ = 0;
    std::size_t kept_ = 0;
    std::vector<budget_account*> accounts_;
    bool is_shedding_ = false;
    std::array<std::uint64_t, shed_reason_count> shed_{};
    std::array<std::uint64_t, shed_reason_count> reported_{};
};

} // namespace mimosacroft::http

template <>
struct mimosacroft::base::enum_names<mimosacroft::http::shed_reason>
{
    static constexpr std::array<std::string_view, 4> table = {
        "bytes", "connections", "slow_request", "slow_answer"};
};

#endif
