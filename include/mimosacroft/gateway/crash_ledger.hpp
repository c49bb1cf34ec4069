// Remembers requests under which servers ended, by a fingerprint of what they
// ask. A request that makes servers crash comes again: its caller retries it,
// and other callers send the same one through other VMs.
#ifndef MIMOSACROFT_GATEWAY_CRASH_LEDGER_HPP
#define MIMOSACROFT_GATEWAY_CRASH_LEDGER_HPP

#include "mimosacroft/base/names.hpp"
#include "mimosacroft/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mimosacroft::gateway
{

/// What is known of a request before it is sent.
enum class crash_verdict
{
    harmless,  ///< nothing is known against it
    suspected, ///< servers ended under it: one server is asked first
    condemned  ///< that server ended as well: it is not sent at all
};

/// What one VM tells another of a request under which servers ended.
struct crash_report
{
    std::uint64_t fingerprint = 0;
    /// For how long it is still condemned; zero if it is only suspected.
    base::milliseconds condemned_for{0};
    base::milliseconds age{0}; ///< since the newest evidence
};

/// Holds no text of a request, at most max_entries fingerprints, and each only
/// for a time. Servers may end for other reasons while good requests are at
/// work there, so a request is condemned only after a server ended that was
/// asked alone, and acquitted as soon as a server has answered it.
class crash_ledger
{
public:
    static constexpr std::size_t max_entries = 256;

    bool empty() const { return entries_.empty(); }
    crash_verdict verdict(std::uint64_t fingerprint, base::instant now) const;
    /// How long the request stays condemned.
    base::milliseconds condemned_for(std::uint64_t fingerprint,
                                     base::instant now) const;

    /// `count` servers ended under a request, and none has answered it. Returns
    /// whether it became suspected.
    bool on_servers_ended(std::uint64_t fingerprint, std::size_t count,
                          base::instant now);
    /// The server that a suspected request was sent to alone has ended. Returns
    /// whether it became condemned.
    bool on_probe_ended(std::uint64_t fingerprint, base::instant now);
    /// A server has run the request and lives. Returns whether it was
    /// suspected or condemned.
    bool on_answered(std::uint64_t fingerprint);

    /// Takes over what another VM knows.
    void merge(const std::vector<crash_report>& reports, base::instant now);
    /// What other VMs should know, the newest first; a bounded number.
    std::vector<crash_report> reports(base::instant now) const;

    /// Numbers of requests by verdict, for metrics.
    std::size_t count(crash_verdict verdict, base::instant now) const;

private:
    struct entry
    {
        std::size_t ended = 0; ///< servers, unless it is known from another VM
        base::instant condemned_until{};
        base::instant changed_at{}; ///< time of the newest evidence
    };

    static crash_verdict verdict_of(const entry& it, base::instant now);
    entry& record(std::uint64_t fingerprint, base::instant now);
    void make_room(base::instant now);

    std::unordered_map<std::uint64_t, entry> entries_;
};

} // namespace mimosacroft::gateway

template <>
struct mimosacroft::base::enum_names<mimosacroft::gateway::crash_verdict>
{
    static constexpr std::array<std::string_view, 3> table = {
        "harmless", "suspected", "condemned"};
};

#endif
