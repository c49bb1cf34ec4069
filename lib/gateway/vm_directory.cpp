// The entry VMs of the fleet as listed in the store.
#include "mimosacroft/gateway/vm_directory.hpp"

namespace mimosacroft::gateway
{

void vm_directory::apply(const vm_entry& entry, base::instant now)
{
    // The VM's own entry, too, shows that the list has been read.
    has_read_list_ = true;
    if (entry.name == own_name_)
        return;
    departed_.erase(entry.name);
    auto& it = vms_[entry.name];
    if (it.entry == entry)
        return;
    it = {entry, now};
}

void vm_directory::remove(const std::string& name, base::instant now)
{
    const auto it = vms_.find(name);
    if (it == vms_.end())
        return;
    departed_[name] = {std::move(it->second.entry), now + departure_time_};
    vms_.erase(it);
}

bool vm_directory::forget_departed(base::instant now)
{
    return std::erase_if(departed_, [now](const auto& one)
                         { return one.second.forget_at <= now; }) > 0;
}

std::vector<vm_entry> vm_directory::departed() const
{
    std::vector<vm_entry> out;
    for (const auto& [name, it] : departed_)
        out.push_back(it.entry);
    return out;
}

std::vector<vm_entry> vm_directory::others() const
{
    std::vector<vm_entry> out;
    for (const auto& [name, it] : vms_)
        out.push_back(it.entry);
    return out;
}

std::vector<std::string> vm_directory::expired(base::instant now) const
{
    std::vector<std::string> out;
    for (const auto& [name, it] : vms_)
        if (now - it.changed_at >= entry_lifetime)
            out.push_back(name);
    return out;
}

std::vector<std::string> vm_directory::names() const
{
    std::vector<std::string> out;
    for (const auto& [name, it] : vms_)
        out.push_back(name);
    return out;
}

std::size_t vm_directory::fleet_size() const
{
    return has_read_list_ ? vms_.size() + departed_.size() + 1
                          : assumed_fleet_size;
}

} // namespace mimosacroft::gateway
