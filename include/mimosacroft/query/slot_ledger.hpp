// Counts what this VM may have running at each server. A call that was given up
// keeps its slot until the server confirmed the cancel or the call's deadline
// has passed: until then the server may still be busy with it.
#ifndef MIMOSACROFT_QUERY_SLOT_LEDGER_HPP
#define MIMOSACROFT_QUERY_SLOT_LEDGER_HPP

#include "mimosacroft/base/time.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace mimosacroft::query
{

/// Invariant: used(server) is the number of its open and held calls.
class slot_ledger
{
public:
    void open(std::uint64_t call, const std::string& server);
    /// The call ended: its server is done with it.
    void close(std::uint64_t call);
    /// The call was given up: its slot is held until close() or `until`.
    void hold(std::uint64_t call, base::instant until);
    /// Frees the slots whose time has passed; true if there were any.
    bool expire(base::instant now);

    std::uint32_t used(const std::string& server) const;
    std::uint32_t held(const std::string& server) const;
    base::instant next_expiry() const;

private:
    struct entry
    {
        std::string server;
        base::instant held_until = base::never; ///< never while open
    };
    struct counts
    {
        std::uint32_t used = 0;
        std::uint32_t held = 0;
    };

    std::unordered_map<std::uint64_t, entry> calls_;
    std::unordered_map<std::string, counts> servers_;
    std::set<std::pair<base::instant, std::uint64_t>> expiry_; ///< held calls
};

} // namespace mimosacroft::query

#endif
