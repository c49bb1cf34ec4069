// The objects of one kind as this VM knows them, with their recent changes, to
// be passed on to other VMs: they then need not ask the store.
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
    /// Takes changes that were read; `revision` is the store's after them.
    void apply(const std::vector<object_change>& changes,
               std::uint64_t revision);
    /// A list is complete: objects that are not in it are gone.
    void keep_only(const std::set<std::string>& names, std::uint64_t revision);

    std::uint64_t revision() const { return revision_; }

    /// All objects.
    object_batch list() const;
    /// What changed after a revision; nothing if that history is gone.
    std::optional<object_batch> changes_since(std::uint64_t revision) const;

private:
    static constexpr std::size_t most_changes = 4'000;

    struct dated_change
    {
        std::uint64_t revision = 0;
        object_change change;
    };

    void record(object_change change, std::uint64_t revision);

    std::map<std::string, std::string> objects_; ///< content by name
    std::deque<dated_change> history_;           ///< oldest first
    std::uint64_t forgotten_ = 0; ///< changes up to this are not all kept
    std::uint64_t revision_ = 0;
};

} // namespace mimosacroft::gateway

#endif
