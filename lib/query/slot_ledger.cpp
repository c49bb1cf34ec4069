// Counts what this VM may have running at each server.
#include "mimosacroft/query/slot_ledger.hpp"

namespace mimosacroft::query
{

void slot_ledger::open(std::uint64_t call, const std::string& server)
{
    if (calls_.try_emplace(call, entry{server, base::never}).second)
        ++servers_[server].used;
}

void slot_ledger::close(std::uint64_t call)
{
    const auto it = calls_.find(call);
    if (it == calls_.end())
        return;
    auto& server = servers_[it->second.server];
    --server.used;
    if (expiry_.erase({it->second.held_until, call}) > 0)
        --server.held;
    calls_.erase(it);
}

void slot_ledger::hold(std::uint64_t call, base::instant until)
{
    const auto it = calls_.find(call);
    if (it == calls_.end() || it->second.held_until != base::never)
        return;
    it->second.held_until = until;
    expiry_.emplace(until, call);
    ++servers_[it->second.server].held;
}

bool slot_ledger::expire(base::instant now)
{
    bool any = false;
    while (!expiry_.empty() && expiry_.begin()->first <= now)
    {
        close(expiry_.begin()->second);
        any = true;
    }
    return any;
}

std::uint32_t slot_ledger::used(const std::string& server) const
{
    const auto it = servers_.find(server);
    return it == servers_.end() ? 0 : it->second.used;
}

std::uint32_t slot_ledger::held(const std::string& server) const
{
    const auto it = servers_.find(server);
    return it == servers_.end() ? 0 : it->second.held;
}

base::instant slot_ledger::next_expiry() const
{
    return expiry_.empty() ? base::never : expiry_.begin()->first;
}

} // namespace mimosacroft::query
