// The entry VMs that can run a scattered query for this VM.
#include "mimosacroft/gateway/relay_set.hpp"

#include <algorithm>

namespace mimosacroft::gateway
{

namespace
{

using base::instant;
using base::milliseconds;

constexpr milliseconds failure_avoidance{2'000};
constexpr milliseconds declined_avoidance{200};
// Longer than any answer that arrives in time takes. A VM that has not answered
// for this long is paused, unreachable or dead.
constexpr milliseconds silence_timeout{150};

} // namespace

void relay_set::set_vms(const std::vector<vm_entry>& vms)
{
    std::map<std::string, relay> next;
    for (const auto& it : vms)
    {
        if (it.address.empty())
            continue;
        const auto known = relays_.find(it.name);
        const bool same =
            known != relays_.end() && known->second.entry.address == it.address;
        auto& fresh = next[it.name];
        if (same)
            fresh = known->second;
        fresh.entry = it;
    }
    relays_ = std::move(next);
}

bool relay_set::is_usable(const relay& it, instant now) const
{
    const bool silent =
        it.in_flight > 0 && now - it.waiting_since >= silence_timeout;
    return it.avoid_until <= now && !silent;
}

const vm_entry* relay_set::choose(const std::string& data_centre,
                                  instant now) const
{
    const relay* best = nullptr;
    for (const auto& [name, it] : relays_)
    {
        if (it.entry.data_centre != data_centre || !is_usable(it, now))
            continue;
        if (!best || it.in_flight < best->in_flight)
            best = &it;
    }
    return best ? &best->entry : nullptr;
}

std::vector<const vm_entry*>
relay_set::vms_of(const std::string& data_centre) const
{
    std::vector<const vm_entry*> out;
    for (const auto& [name, it] : relays_)
        if (it.entry.data_centre == data_centre && !it.entry.address.empty())
            out.push_back(&it.entry);
    return out;
}

std::set<std::string> relay_set::data_centres() const
{
    std::set<std::string> out;
    for (const auto& [name, it] : relays_)
        out.insert(it.entry.data_centre);
    return out;
}

void relay_set::on_sent(const std::string& vm, instant now)
{
    const auto it = relays_.find(vm);
    if (it == relays_.end())
        return;
    if (it->second.in_flight++ == 0)
        it->second.waiting_since = now;
}

void relay_set::finish(const std::string& vm, instant now,
                       base::duration avoid_for)
{
    const auto it = relays_.find(vm);
    if (it == relays_.end())
        return;
    if (it->second.in_flight > 0)
        --it->second.in_flight;
    it->second.waiting_since = now;
    it->second.avoid_until = now + avoid_for;
}

void relay_set::on_reply(const std::string& vm, instant now)
{
    finish(vm, now, base::duration(0));
}

void relay_set::on_failure(const std::string& vm, instant now)
{
    finish(vm, now, failure_avoidance);
}

void relay_set::on_declined(const std::string& vm, instant now)
{
    finish(vm, now, declined_avoidance);
}

void relay_set::on_canceled(const std::string& vm, instant sent_at, instant now)
{
    const auto it = relays_.find(vm);
    if (it == relays_.end())
        return;
    auto& r = it->second;
    const bool silent =
        now - std::max(sent_at, r.waiting_since) >= silence_timeout;
    if (silent)
        on_failure(vm, now);
    else if (r.in_flight > 0)
        --r.in_flight;
}

} // namespace mimosacroft::gateway
