// Caches the objects of one kind together with their recent changes, so that
// this VM can serve lists and watches to other VMs and these need not read from
// the store. When the store comes back from a copy, the cache tells objects
// that the copy holds in an outdated state from those that are current.
#ifndef MIMOSACROFT_GATEWAY_OBJECT_CACHE_HPP
#define MIMOSACROFT_GATEWAY_OBJECT_CACHE_HPP

#include "mimosacroft/gateway/object_follower.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mimosacroft::gateway
{

/// Orders the contents that the writer of an object gave it, independently of
/// the store: a later content is greater.
using object_order = std::pair<std::int64_t, std::uint64_t>;

class object_cache
{
public:
    /// Returns nothing if the content has no order of its own.
    using order_function =
        std::function<std::optional<object_order>(const std::string& content)>;

    static constexpr std::size_t default_max_past_bytes = std::size_t{8} << 20;

    /// `max_past_bytes` bounds what is kept beside the current objects.
    explicit object_cache(
        order_function order_of = [](const auto&) { return std::nullopt; },
        std::size_t max_past_bytes = default_max_past_bytes)
        : order_of_(std::move(order_of)), max_past_bytes_(max_past_bytes)
    {
    }

    /// Applies the changes that a watch returned; `position` is the store's
    /// after them. Returns the changes without those that are outdated.
    std::vector<object_change> apply(const std::vector<object_change>& changes,
                                     store_position position);
    /// Replaces all objects by a whole list. Returns the list as it is now:
    /// outdated objects have their last known content, or are left out if they
    /// had been removed.
    std::vector<object_change> replace(const std::vector<object_change>& list,
                                       store_position position);

    store_position position() const { return position_; }

    /// Of changes and removed objects, with what they are kept in.
    std::size_t past_bytes() const { return history_bytes_ + removed_bytes_; }

    /// Of the current objects, with what they are kept in.
    std::size_t object_bytes() const;

    /// Returns all objects.
    object_batch list() const;
    /// Returns the changes after a position, or nothing if the history does not
    /// reach back to it.
    std::optional<object_batch> changes_since(store_position position) const;

private:
    static constexpr std::size_t max_history_size = 4'000;
    static constexpr std::size_t max_removed = 4'000;

    struct versioned_change
    {
        std::uint64_t revision = 0;
        object_change change;
    };

    /// A content and the era in which it was read or removed.
    struct known_content
    {
        std::string content;
        std::uint64_t era = 0;
    };

    bool is_older(const std::string& content, const std::string& than) const;
    /// Whether the change repeats what a later write or a removal, in an
    /// earlier era of the store, has replaced.
    bool is_outdated(const object_change& change, std::uint64_t era) const;
    void store(const object_change& change, std::uint64_t era);
    void remember_removed(const std::string& name, std::uint64_t era);
    void append_history(object_change change);
    void forget_oldest_change();
    void clear_history();
    void forget_removed(const std::string& name);

    order_function order_of_;
    std::size_t max_past_bytes_;
    std::map<std::string, known_content> objects_; ///< by name
    /// By name; of objects that the store has removed.
    std::map<std::string, known_content> removed_;
    std::deque<std::string> removed_names_; ///< of removed_, oldest first
    std::deque<versioned_change> history_;  ///< of this era, oldest first
    // The sums over history_ and removed_, each at most half of
    // max_past_bytes_.
    std::size_t history_bytes_ = 0;
    std::size_t removed_bytes_ = 0;
    std::uint64_t compacted_revision_ = 0; ///< history up to this is incomplete
    store_position position_;
};

} // namespace mimosacroft::gateway

#endif
