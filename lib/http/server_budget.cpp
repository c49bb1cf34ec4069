// What the callers of a process may make it hold.
#include "mimosacroft/http/server_budget.hpp"

#include "mimosacroft/base/clock.hpp"

#include <algorithm>
#include <utility>

namespace mimosacroft::http
{

namespace
{

// Requests that are worked on may hold this part of all bytes, so that there is
// always room for those that arrive.
constexpr std::size_t kept_divisor = 2;
// Shorter times are not compared: each transfer takes some.
constexpr base::milliseconds moment{1'000};

} // namespace

double shed_order(std::size_t bytes, base::instant since, base::instant now)
{
    const auto waited = std::max(now - since, base::duration(0));
    return static_cast<double>(bytes) *
           static_cast<double>(
               (waited + base::duration(base::milliseconds(1))).count());
}

budget_account::budget_account(server_budget& owner, std::function<void()> shed)
    : owner_(owner), shed_(std::move(shed)), index_(owner.accounts_.size())
{
    owner_.accounts_.push_back(this);
}

budget_account::~budget_account()
{
    owner_.sheddable_ -= sheddable_;
    owner_.kept_ -= kept_;
    auto& all = owner_.accounts_;
    all.back()->index_ = index_;
    std::swap(all[index_], all.back());
    all.pop_back();
}

void budget_account::set_sheddable(std::size_t bytes, base::instant since)
{
    const bool has_grown = bytes > sheddable_;
    owner_.sheddable_ += bytes - sheddable_;
    sheddable_ = bytes;
    since_ = since;
    if (has_grown)
        owner_.shed_until_within();
}

bool budget_account::keep(std::size_t bytes)
{
    const auto room = owner_.max_bytes_ / kept_divisor;
    if (owner_.kept_ > 0 && owner_.kept_ + bytes > room)
        return false;
    kept_ += bytes;
    owner_.kept_ += bytes;
    owner_.shed_until_within();
    return true;
}

void budget_account::release_kept()
{
    owner_.kept_ -= std::exchange(kept_, 0);
}

// The one that holds most for longest. A caller inside the limits holds little,
// or only for a moment; among those that have just come the largest goes.
budget_account* server_budget::first_to_shed() const
{
    const auto now = base::now();
    const auto order = [now](const budget_account* it)
    {
        const auto since = std::min<base::instant>(it->since_, now - moment);
        return shed_order(it->sheddable_, since, now);
    };
    const auto it = std::ranges::max_element(accounts_, {}, order);
    return it == accounts_.end() || (*it)->sheddable_ == 0 ? nullptr : *it;
}

void server_budget::shed_until_within()
{
    // Shedding changes the accounts, which comes back here.
    if (is_shedding_)
        return;
    is_shedding_ = true;
    while (held_bytes() > max_bytes_)
    {
        auto* const it = first_to_shed();
        if (!it || it->sheddable_ == held_bytes())
            break;
        const auto before = it->sheddable_;
        count(shed_reason::bytes);
        it->shed_();
        if (it->sheddable_ >= before)
            break;
    }
    is_shedding_ = false;
}

} // namespace mimosacroft::http
