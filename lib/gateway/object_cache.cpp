// The objects of one kind as this VM knows them.
#include "mimosacroft/gateway/object_cache.hpp"

#include <algorithm>

namespace mimosacroft::gateway
{

void object_cache::record(object_change change, std::uint64_t revision)
{
    if (change.deleted)
        objects_.erase(change.name);
    else
        objects_[change.name] = change.content;
    history_.push_back({revision, std::move(change)});
    if (history_.size() <= most_changes)
        return;
    forgotten_ = history_.front().revision;
    history_.pop_front();
}

void object_cache::apply(const std::vector<object_change>& changes,
                         std::uint64_t revision)
{
    // Nothing is known of what came before the first list.
    if (revision_ == 0)
        forgotten_ = revision;
    revision_ = std::max(revision_, revision);
    for (const auto& it : changes)
        record(it, revision_);
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
        record({std::move(name), {}, true}, revision_);
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
    if (revision < forgotten_)
        return std::nullopt;
    object_batch out;
    out.revision = std::max(revision, revision_);
    for (const auto& it : history_)
        if (it.revision > revision)
            out.changes.push_back(it.change);
    return out;
}

} // namespace mimosacroft::gateway
