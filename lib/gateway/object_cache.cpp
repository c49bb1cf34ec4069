// Caches the objects of one kind together with their recent changes.
#include "mimosacroft/gateway/object_cache.hpp"

#include <algorithm>

namespace mimosacroft::gateway
{

void object_cache::apply_one(object_change change, std::uint64_t revision)
{
    if (change.deleted)
        objects_.erase(change.name);
    else
        objects_[change.name] = change.content;
    history_.push_back({revision, std::move(change)});
    if (history_.size() <= max_history_size)
        return;
    compacted_revision_ = history_.front().revision;
    history_.pop_front();
}

void object_cache::apply(const std::vector<object_change>& changes,
                         std::uint64_t revision)
{
    // The changes before the first list are unknown.
    if (revision_ == 0)
        compacted_revision_ = revision;
    revision_ = std::max(revision_, revision);
    for (const auto& it : changes)
        apply_one(it, revision_);
}

void object_cache::keep_only(const std::set<std::string>& names,
                             std::uint64_t revision)
{
    revision_ = std::max(revision_, revision);
    std::vector<std::string> gone;
    for (const auto& [name, content] : objects_)
        if (!names.contains(name))
            gone.push_back(name);
    for (auto& name : gone)
        apply_one({std::move(name), {}, true}, revision_);
}

object_batch object_cache::list() const
{
    object_batch out;
    out.revision = revision_;
    for (const auto& [name, content] : objects_)
        out.changes.push_back({name, content, false});
    return out;
}

std::optional<object_batch>
object_cache::changes_since(std::uint64_t revision) const
{
    if (revision < compacted_revision_)
        return std::nullopt;
    object_batch out;
    out.revision = std::max(revision, revision_);
    for (const auto& it : history_)
        if (it.revision > revision)
            out.changes.push_back(it.change);
    return out;
}

} // namespace mimosacroft::gateway
