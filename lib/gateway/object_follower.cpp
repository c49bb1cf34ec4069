// Follows one kind of object in the platform's store.
#include "mimosacroft/gateway/object_follower.hpp"

#include <algorithm>

namespace mimosacroft::gateway
{

namespace
{

constexpr unsigned max_doublings = 4;

} // namespace

std::optional<follow_call> object_follower::next(base::instant now)
{
    if (call_in_flight_ || now < next_call_at_)
        return std::nullopt;
    call_in_flight_ = true;
    last_call_at_ = now;
    follow_call out;
    out.step = step_;
    out.after = last_listed_name_;
    out.revision = revision_;
    return out;
}

base::instant object_follower::next_due() const
{
    return call_in_flight_ ? base::never : next_call_at_;
}

void object_follower::start_list()
{
    step_ = follow_step::list;
    last_listed_name_.clear();
    listed_names_.clear();
    first_page_revision_ = 0;
}

std::optional<std::set<std::string>>
object_follower::on_batch(const object_batch& batch, base::instant now)
{
    call_in_flight_ = false;
    failures_ = 0;
    next_call_at_ = now;
    if (step_ == follow_step::watch)
    {
        revision_ = std::max(revision_, batch.revision);
        next_call_at_ =
            std::max(now, last_call_at_ + options_.min_call_interval);
        return std::nullopt;
    }
    for (const auto& it : batch.changes)
        listed_names_.insert(it.name);
    // Objects may change between two pages. The watch starts at the revision of
    // the first page, so it returns these changes too.
    if (first_page_revision_ == 0)
        first_page_revision_ = batch.revision;
    if (batch.has_more && !batch.changes.empty())
    {
        last_listed_name_ = batch.changes.back().name;
        return std::nullopt;
    }
    revision_ = first_page_revision_;
    auto out = std::move(listed_names_);
    start_list();
    step_ = follow_step::watch;
    has_full_list_ = true;
    return out;
}

void object_follower::on_history_gone(base::instant now)
{
    call_in_flight_ = false;
    start_list();
    next_call_at_ = now;
}

void object_follower::on_failure(base::instant now, double jitter)
{
    call_in_flight_ = false;
    if (step_ == follow_step::list)
        start_list();
    const auto doublings = std::min(failures_, max_doublings);
    ++failures_;
    const auto backoff = std::min(options_.initial_backoff * (1U << doublings),
                                  options_.max_backoff);
    next_call_at_ =
        now + backoff +
        std::chrono::duration_cast<base::milliseconds>(backoff * jitter);
}

} // namespace mimosacroft::gateway
