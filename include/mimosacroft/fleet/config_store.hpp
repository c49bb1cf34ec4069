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
#include <optional>
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

/// Objects in one push, so that a frame stays below a megabyte.
inline constexpr std::size_t max_push_bytes = 512 << 10;

/// Splits a push into messages of at most `max_bytes` each (or one object);
/// taken in order they say the same as the whole.
std::vector<wire::config_push> split_push(wire::config_push all,
                                          std::size_t max_bytes);

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

    /// Objects and tombstones with a version above `version`, oldest first.
    /// With an object whose latest version is invalid goes the one in force.
    std::vector<wire::config_entry> entries_after(std::uint64_t version) const;

    /// What a peer lacks that holds everything through `version`, in messages
    /// of at most `max_bytes` (or one object).
    std::vector<wire::config_push> pushes_after(std::uint64_t version,
                                                std::size_t max_bytes) const;

    /// The highest version of an object up to `version`; nothing changed
    /// between the two as far as this store knows.
    std::uint64_t last_change(std::uint64_t version) const;

    /// A sum over the objects up to through(); equal stores have equal sums.
    std::uint64_t fingerprint() const;

    std::size_t tombstones() const;

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

    apply_result apply_older(const key& at, const wire::config_entry& entry);
    void put_in_force(const wire::config_entry& entry,
                      const std::optional<model::resource>& made);

    std::map<key, wire::config_entry> entries_; ///< versions only grow
    /// The last valid version of each object in refusals_, if one is known.
    std::map<key, wire::config_entry> last_good_;
    std::map<key, refusal> refusals_;
    std::uint64_t through_ = 0; ///< only grows
    model::catalog catalog_;
    mutable std::optional<std::uint64_t> fingerprint_; ///< empty: not known
};

} // namespace mimosacroft::fleet

#endif
