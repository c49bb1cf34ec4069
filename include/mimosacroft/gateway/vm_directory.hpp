// The entry VMs of the fleet as listed in the store. Each VM writes an entry
// when it starts and renews it periodically. Any VM that notices an entry that
// has not been renewed for too long removes it.
#ifndef MIMOSACROFT_GATEWAY_VM_DIRECTORY_HPP
#define MIMOSACROFT_GATEWAY_VM_DIRECTORY_HPP

#include "mimosacroft/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mimosacroft::gateway
{

/// The entry of an entry VM in the store, as the VM wrote it.
struct vm_entry
{
    std::string name;
    std::string address; ///< ip:port for other VMs; may be empty
    std::string data_centre;
    std::uint64_t renewals = 0; ///< changes with each renewal

    bool operator==(const vm_entry&) const = default;
};

/// Approximate interval at which each VM renews its entry.
inline constexpr base::seconds renewal_period{300};
/// An entry that has not changed for this long is assumed to belong to a VM
/// that is lost.
inline constexpr base::seconds entry_lifetime{960};

class vm_directory
{
public:
    /// A VM whose entry was removed may send requests for `departure_time`
    /// after that.
    vm_directory(std::string own_name, base::duration departure_time)
        : own_name_(std::move(own_name)), departure_time_(departure_time)
    {
    }

    void apply(const vm_entry& entry, base::instant now);
    void remove(const std::string& name, base::instant now);
    /// Forgets the VMs that departed longer ago than departure_time. Returns
    /// whether there were any.
    bool forget_departed(base::instant now);
    /// Returns all entries except that of this VM.
    std::vector<vm_entry> others() const;
    /// Returns the other VMs whose entry has not changed for entry_lifetime.
    std::vector<std::string> expired(base::instant now) const;
    std::vector<std::string> names() const;

    /// Returns the VMs without an entry that may still be sending requests.
    std::vector<vm_entry> departed() const;

    /// Number of VMs that may be running, including this one and the departed
    /// ones. Until the list has been read, returns a deliberately high
    /// assumption, so that each VM takes too small a share of common limits
    /// rather than too large a one.
    std::size_t fleet_size() const;

private:
    static constexpr std::size_t assumed_fleet_size = 16;

    struct known_vm
    {
        vm_entry entry;
        base::instant changed_at{};
    };

    struct departed_vm
    {
        vm_entry entry;
        base::instant forget_at{};
    };

    std::string own_name_;
    base::duration departure_time_;
    std::map<std::string, known_vm> vms_; ///< by name; excludes this VM
    /// By name; of VMs that have no entry.
    std::map<std::string, departed_vm> departed_;
    bool has_read_list_ = false;
};

} // namespace mimosacroft::gateway

#endif
