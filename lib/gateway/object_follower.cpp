// Follows one kind of object in the platform's store.
#include "mimosacroft/gateway/object_follower.hpp"

#include <algorithm>

namespace mimosacroft::gateway
{

namespace
{

constexpr unsigned most_doublings = 4;

} // namespace

std::optional<follow_call> object_follower::next(base::instant now)
{
    if (under_way_ || now < due_)
        return std::nullopt;
    under_way_ = true;
    started_ = now;
    follow_call out;
    out.step = step_;
    out.after = after_;
    out.revision = revision_;
    return out;
}

base::instant object_follower::next_due() const
{
    return under_way_ ? base::never : due_;
}

void object_follower::start_list()
{
    step_ = follow_step::list;
    after_.clear();
    listed_.clear();
    list_revision_ = 0;
}

std::optional<std::set<std::string>>
object_follower::on_batch(const object_batch& batch, base::instant now)
{
    under_way_ = false;
    failures_ = 0;
    due_ = now;
    if (step_ == follow_step::watch)
    {
        revision_ = std::max(revision_, batch.revision);
        due_ = std::max(now, started_ + options_.pace);
        return std::nullopt;
    }
    for (const auto& it : batch.changes)
        listed_.insert(it.name);
    // Pages are read one after the other: changes between them are seen by a
    // watch that starts at the first page's revision.
    if (list_revision_ == 0)
        list_revision_ = batch.revision;
    if (batch.has_more && !batch.changes.empty())
    {
        after_ = batch.changes.back().name;
        return std::nullopt;
    }
    revision_ = list_revision_;
    auto out = std::move(listed_);
    start_list();
    step_ = follow_step::watch;
    complete_ = true;
    return out;
}

void object_follower::on_history_gone(base::instant now)
{
    under_way_ = false;
    start_list();
    due_ = now;
}

void object_follower::on_failure(base::instant now, double jitter)
{
    under_way_ = false;
    if (step_ == follow_step::list)
        start_list();
    const auto doublings = std::min(failures_, most_doublings);
    ++failures_;
    const auto base = std::min(options_.first_retry * (1U << doublings),
                               options_.longest_retry);
    due_ = now + base +
           std::chrono::duration_cast<base::milliseconds>(base * jitter);
}

} // namespace mimosacroft::gateway
