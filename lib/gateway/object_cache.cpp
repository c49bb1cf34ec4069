// Caches the objects of one kind together with their recent changes.
#include "mimosacroft/gateway/object_cache.hpp"

#include <algorithm>
#include <set>

namespace mimosacroft::gateway
{

namespace
{

// What an entry takes beside its text.
constexpr std::size_t entry_overhead_bytes = 128;

std::size_t memory_of(const std::string& name, const std::string& content)
{
    return name.size() + content.size() + entry_overhead_bytes;
}

} // namespace

bool object_cache::is_older(const std::string& content,
                            const std::string& than) const
{
    const auto order = order_of_(content);
    const auto other = order_of_(than);
    return order && other && *order < *other;
}

bool object_cache::is_outdated(const object_change& change,
                               std::uint64_t era) const
{
    if (change.deleted)
        return false;
    const auto known = objects_.find(change.name);
    if (known != objects_.end())
        return known->second.era < era &&
               is_older(change.content, known->second.content);
    const auto gone = removed_.find(change.name);
    return gone != removed_.end() && gone->second.era < era &&
           (change.content == gone->second.content ||
            is_older(change.content, gone->second.content));
}

void object_cache::append_history(object_change change)
{
    history_bytes_ += memory_of(change.name, change.content);
    history_.push_back({position_.revision, std::move(change)});
    while (history_.size() > max_history_size ||
           history_bytes_ > max_past_bytes_ / 2)
        forget_oldest_change();
}

void object_cache::forget_oldest_change()
{
    const auto& oldest = history_.front();
    compacted_revision_ = oldest.revision;
    history_bytes_ -= memory_of(oldest.change.name, oldest.change.content);
    history_.pop_front();
}

void object_cache::clear_history()
{
    history_.clear();
    history_bytes_ = 0;
}

void object_cache::forget_removed(const std::string& name)
{
    const auto it = removed_.find(name);
    if (it == removed_.end())
        return;
    removed_bytes_ -= memory_of(name, it->second.content);
    removed_.erase(it);
    std::erase(removed_names_, name);
}

void object_cache::store(const object_change& change, std::uint64_t era)
{
    objects_[change.name] = {change.content, era};
    forget_removed(change.name);
}

void object_cache::remember_removed(const std::string& name, std::uint64_t era)
{
    const auto known = objects_.find(name);
    if (known == objects_.end())
        return;
    forget_removed(name);
    removed_bytes_ += memory_of(name, known->second.content);
    removed_[name] = {std::move(known->second.content), era};
    removed_names_.push_back(name);
    objects_.erase(known);
    while (removed_names_.size() > max_removed ||
           removed_bytes_ > max_past_bytes_ / 2)
        forget_removed(std::string(removed_names_.front()));
}

std::vector<object_change>
object_cache::apply(const std::vector<object_change>& changes,
                    store_position position)
{
    // The changes before the first list are unknown.
    if (position_ == store_position{})
        compacted_revision_ = position.revision;
    position_ = std::max(position_, position);
    std::vector<object_change> out;
    for (const auto& it : changes)
    {
        if (is_outdated(it, position.era))
            continue;
        if (it.deleted)
            remember_removed(it.name, position.era);
        else
            store(it, position.era);
        append_history(it);
        out.push_back(it);
    }
    return out;
}

std::vector<object_change>
object_cache::replace(const std::vector<object_change>& list,
                      store_position position)
{
    const bool same_era =
        position_ != store_position{} && position.era == position_.era;
    if (!same_era)
    {
        clear_history();
        compacted_revision_ = position.revision;
    }
    position_ = std::max(position_, position);
    std::vector<object_change> out;
    std::set<std::string> names;
    for (auto it : list)
    {
        const auto known = objects_.find(it.name);
        const bool outdated = is_outdated(it, position.era);
        if (outdated && known == objects_.end())
            continue;
        if (outdated)
            it.content = known->second.content;
        else if (known == objects_.end() || known->second.content != it.content)
        {
            store(it, position.era);
            append_history(it);
        }
        else
            known->second.era = position.era;
        names.insert(it.name);
        out.push_back(std::move(it));
    }
    std::vector<std::string> missing;
    for (const auto& [name, known] : objects_)
        if (!names.contains(name))
            missing.push_back(name);
    for (auto& name : missing)
    {
        // A copy may lack an object because it is older than the object. The
        // object's writer then writes it again.
        if (same_era)
            remember_removed(name, position.era);
        else
            objects_.erase(name);
        append_history({std::move(name), {}, true});
    }
    return out;
}

std::size_t object_cache::object_bytes() const
{
    std::size_t out = 0;
    for (const auto& [name, known] : objects_)
        out += memory_of(name, known.content);
    return out;
}

object_batch object_cache::list() const
{
    object_batch out;
    out.position = position_;
    for (const auto& [name, known] : objects_)
        out.changes.push_back({name, known.content, false});
    return out;
}

std::optional<object_batch>
object_cache::changes_since(store_position position) const
{
    if (position.era != position_.era ||
        position.revision < compacted_revision_)
        return std::nullopt;
    object_batch out;
    out.position = std::max(position, position_);
    for (const auto& it : history_)
        if (it.revision > position.revision)
            out.changes.push_back(it.change);
    return out;
}

} // namespace mimosacroft::gateway
