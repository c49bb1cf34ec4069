// The entry VMs of the fleet as the store lists them. Each VM writes an entry
// at its start and renews it now and then; one that is not renewed for long is
// removed by whoever notices.
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

/// What an entry VM says of itself.
struct vm_entry
{
    std::string name;
    std::string address; ///< for other VMs, ip:port
    std::string data_centre;
    std::uint64_t renewals = 0; ///< changes with each renewal

    bool operator==(const vm_entry&) const = default;
};

/// Each VM renews its entry about this often.
inline constexpr base::seconds renewal_period{300};
/// After this without a change an entry is taken for that of a lost VM.
inline constexpr base::seconds entry_lifetime{960};

class vm_directory
{
public:
    explicit vm_directory(std::string own_name) : own_(std::move(own_name)) {}

    void apply(const vm_entry& entry, base::instant now);
    void remove(const std::string& name);
    /// All entries but this VM's own.
    std::vector<vm_entry> others() const;
    /// Other VMs whose entry has not changed for entry_lifetime.
    std::vector<std::string> lapsed(base::instant now) const;
    std::vector<std::string> names() const;

    /// VMs that may be at work, this one counted. Until the list is known this
    /// is a guess that is rather too large: each VM then takes too little of
    /// what all share, and never too much.
    std::size_t fleet_size() const;

private:
    static constexpr std::size_t guessed_fleet_size = 16;

    struct known_vm
    {
        vm_entry entry;
        base::instant changed_at{};
    };

    std::string own_;
    std::map<std::string, known_vm> vms_; ///< by name, without this VM
    bool is_known_ = false;
};

} // namespace mimosacroft::gateway

#endif
