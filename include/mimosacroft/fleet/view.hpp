// The platform's list of entry VMs as one VM knows it, and what follows from
// it: which VMs own an upstream, and with which share of its limits.
//
// Owners come from this list alone, never from probes: probes differ between
// VMs under loss and one-way cuts, and two VMs that both take over a server
// would exceed its limits.
#ifndef MIMOSACROFT_FLEET_VIEW_HPP
#define MIMOSACROFT_FLEET_VIEW_HPP

#include "mimosacroft/model/resources.hpp"
#include "mimosacroft/wire/messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mimosacroft::fleet
{

/// What one owner may use of each server of an upstream.
struct share
{
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
};

class view
{
public:
    view() = default;
    view(std::uint64_t version, std::vector<wire::view_entry> entries);

    std::uint64_t version() const { return version_; }
    const std::vector<wire::view_entry>& entries() const { return entries_; }
    const wire::view_entry* find(const std::string& vm) const;
    /// A hash of the entries; equal lists have equal fingerprints.
    std::uint64_t fingerprint() const;

    /// The VMs of a data centre that are not leaving.
    std::vector<std::string> members_of(const std::string& data_centre) const;

    /// All VMs of a data centre.
    std::vector<std::string> all_of(const std::string& data_centre) const;

    /// The position of a VM among the ones of its data centre that are not
    /// leaving.
    std::optional<std::size_t> rank_of(const std::string& vm) const;

    std::vector<std::string> data_centres() const;

    /// The whole list, or what changed since an older view.
    wire::view_push to_push() const;
    wire::view_push changes_since(const view& older) const;
    /// This view with such a change; nothing if the change was made for another
    /// list.
    std::optional<view> changed_by(const wire::view_push& delta) const;

    /// The owners of an upstream: VMs of its data centre with the highest
    /// rendezvous weights, at most one for each slot and at most max_owners.
    std::vector<std::string> owners_of(const model::upstream& it) const;

private:
    std::uint64_t version_ = 0;
    std::vector<wire::view_entry> entries_; ///< sorted by VM
};

/// VMs of each data centre that watch the platform for the others.
inline constexpr std::size_t watchers_per_data_centre = 2;

/// Owners of one upstream. Two keep a server in use when one of them is lost.
inline constexpr std::size_t max_owners = 2;

/// The share of one owner. The connections leave room for the ones that an
/// owner which was paused and replaced still holds open; slots need no such
/// room, since a request ends at its deadline.
share share_of(const model::upstream& it, std::size_t owners);

} // namespace mimosacroft::fleet

#endif
