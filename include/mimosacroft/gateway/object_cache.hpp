// Caches the objects of one kind together with their recent changes, so that
// this VM can serve lists and watches to other VMs and these need not read from
// the store.
#ifndef MIMOSACROFT_GATEWAY_OBJECT_CACHE_HPP
#define MIMOSACROFT_GATEWAY_OBJECT_CACHE_HPP

#include "mimosacroft/gateway/object_follower.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosacroft::gateway
{

class object_cache
{
public:
    /// Applies changes read from a source; `revision` is the store's revision
    /// after them.
    void apply(const std::vector<object_change>& changes,
               std::uint64_t revision);
    /// Called when a list is complete: deletes the objects that are not in it.
    void keep_only(const std::set<std::string>& names, std::uint64_t revision);

    std::uint64_t revision() const { return revision_; }

    /// Returns all objects.
    object_batch list() const;
    /// Returns the changes after a revision, or nothing if the history no
    /// longer reaches back to it.
    std::optional<object_batch> changes_since(std::uint64_t revision) const;

private:
    static constexpr std::size_t max_history_size = 4'000;

    struct versioned_change
    {
        std::uint64_t revision = 0;
        object_change change;
    };

    void apply_one(object_change change, std::uint64_t revision);

    std::map<std::string, std::string> objects_; ///< contents by name
    std::deque<versioned_change> history_;       ///< oldest first
    std::uint64_t compacted_revision_ = 0; ///< history up to this is incomplete
    std::uint64_t revision_ = 0;
};

} // namespace mimosacroft::gateway

#endif
