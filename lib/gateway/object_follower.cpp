// Follows one kind of object in the platform's store.
#include "mimosacroft/gateway/object_follower.hpp"

#include <algorithm>
#include <ranges>
#include <unordered_set>
#include <utility>

namespace mimosacroft::gateway
{

namespace
{

constexpr unsigned max_doublings = 4;
// The pause after changes were applied, in the time that this took. It is
// bounded, since the time also counts while the whole process stood still.
constexpr int pause_factor = 3;
constexpr base::milliseconds max_pause{600};

} // namespace

std::vector<object_change>
without_superseded(std::vector<object_change> changes)
{
    std::unordered_set<std::string> later;
    std::vector<object_change> out;
    for (auto& it : changes | std::views::reverse)
        if (later.insert(it.name).second)
            out.push_back(std::move(it));
    std::ranges::reverse(out);
    return out;
}

std::optional<follow_call> object_follower::next(base::instant now)
{
    if (call_in_flight_ || now < next_call_at_)
        return std::nullopt;
    call_in_flight_ = true;
    last_call_at_ = now;
    follow_call out;
    out.step = step_;
    out.after = last_listed_name_;
    out.position = position_;
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
    listed_.reset();
}

std::optional<object_batch> object_follower::on_batch(const object_batch& batch,
                                                      base::instant now)
{
    call_in_flight_ = false;
    failures_ = 0;
    next_call_at_ = now;
    if (step_ == follow_step::watch)
    {
        position_ = std::max(position_, batch.position);
        next_call_at_ =
            std::max(now, last_call_at_ + options_.min_call_interval);
        return std::nullopt;
    }
    // The pages before are of another state of the store.
    if (listed_ && listed_->position.era != batch.position.era)
    {
        start_list();
        return std::nullopt;
    }
    // Objects may change between two pages. The watch starts at the position of
    // the first page, so it returns these changes too.
    if (!listed_)
        listed_.emplace().position = batch.position;
    listed_->changes.insert(listed_->changes.end(), batch.changes.begin(),
                            batch.changes.end());
    if (batch.has_more && !batch.changes.empty())
    {
        last_listed_name_ = batch.changes.back().name;
        return std::nullopt;
    }
    position_ = listed_->position;
    auto out = std::move(listed_);
    start_list();
    step_ = follow_step::watch;
    has_full_list_ = true;
    return out;
}

void object_follower::on_applied(base::duration took, base::instant now)
{
    const bool is_between_pages = listed_.has_value();
    if (!has_full_list_ || is_between_pages)
        return;
    const auto pause = std::min<base::duration>(pause_factor * took, max_pause);
    next_call_at_ = std::max(next_call_at_, now + pause);
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
