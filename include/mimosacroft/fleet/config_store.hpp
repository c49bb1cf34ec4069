// The configuration of one VM: each object with the platform's version. An
// object is replaced only by a newer version, and a deleted one stays as a
// tombstone, so no order of arrival makes the configuration revert.
#ifndef MIMOSACROFT_FLEET_CONFIG_STORE_HPP
#define MIMOSACROFT_FLEET_CONFIG_STORE_HPP

#include "mimosacroft/base/error.hpp"
#include "mimosacroft/model/catalog.hpp"
#include "mimosacroft/wire/messages.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mimosacroft::fleet
{

/// What became of an entry that was offered.
enum class apply_result
{
    applied,
    older,  ///< the store holds this version or a newer one
    refused ///< the object is invalid; the last good one stays in force
};

class config_store
{
public:
    struct refusal
    {
        std::uint64_t version = 0;
        std::string reason;
    };

    /// Offers one object.
    apply_result apply(const wire::config_entry& entry);

    /// Notes that the store now holds everything up to `version`.
    void hold_through(std::uint64_t version);

    /// The highest version up to which nothing is missing.
    std::uint64_t through() const { return through_; }

    /// Objects and tombstones with a version above `version`.
    std::vector<wire::config_entry> entries_after(std::uint64_t version) const;

    /// The latest version of an object, tombstones included; null if unknown.
    const wire::config_entry* find(const std::string& kind,
                                   const std::string& name) const;

    const std::map<std::pair<std::string, std::string>, wire::config_entry>&
    entries() const
    {
        return entries_;
    }

    /// Objects whose latest version is invalid, by kind and name.
    const std::map<std::pair<std::string, std::string>, refusal>&
    refusals() const
    {
        return refusals_;
    }

    /// What is in force.
    const model::catalog& catalog() const { return catalog_; }

private:
    using key = std::pair<std::string, std::string>; // kind, name

    std::map<key, wire::config_entry> entries_; ///< versions only grow
    std::map<key, refusal> refusals_;
    std::uint64_t through_ = 0; ///< only grows
    model::catalog catalog_;
};

} // namespace mimosacroft::fleet

#endif
