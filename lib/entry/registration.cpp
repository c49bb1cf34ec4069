// Keeps this VM's entry in the store.
#include "mimosacroft/entry/registration.hpp"

#include "mimosacroft/base/clock.hpp"

#include "platform/store.hpp"

#include <algorithm>
#include <utility>

namespace mimosacroft::entry
{

namespace
{

using base::milliseconds;

constexpr milliseconds call_time{2'000};
constexpr milliseconds least_retry{300};
constexpr milliseconds retry_spread{700};
constexpr unsigned status_conflict = 409;
constexpr unsigned status_not_found = 404;
constexpr unsigned first_error_status = 300;

} // namespace

registration::registration(http::asio::io_context& io,
                           std::string store_address, gateway::vm_entry own,
                           failure_function on_failure, std::uint32_t seed)
    : store_address_(std::move(store_address)),
      store_(http::endpoint_of(store_address_)), own_(std::move(own)),
      random_(seed), on_failure_(std::move(on_failure)),
      client_(io, {.on_reply = [this](auto number, http::response&& reply)
                   { on_reply(number, reply); },
                   .on_failure =
                       [this](auto number, auto why)
                   {
                       if (number != own_call_)
                           return;
                       own_call_ = 0;
                       fail(std::string(base::name_of(why)));
                   }})
{
}

base::instant registration::next_due() const
{
    return removals_.empty() ? due_ : std::min(due_, removals_.front().due);
}

http::exchange_number registration::call(const http::request& message)
{
    if (store_)
        client_.send(++last_call_, *store_, message);
    return last_call_;
}

void registration::tick(base::instant at)
{
    client_.sweep(at);
    end_late_removals(at);
    if (state_ == state::withdrawn || at < due_)
        return;
    if (own_call_ != 0)
    {
        client_.drop(std::exchange(own_call_, 0));
        fail("no answer in time");
        return;
    }
    due_ = at + call_time;
    if (state_ == state::registered)
        ++own_.renewals;
    own_call_ = call(state_ == state::creating
                         ? platform::encode_create(own_, store_address_)
                         : platform::encode_replace(own_, store_address_));
}

void registration::end_late_removals(base::instant at)
{
    while (!removals_.empty() && removals_.front().due <= at)
    {
        client_.drop(removals_.front().number);
        removals_.erase(removals_.begin());
    }
}

void registration::retry()
{
    std::uniform_real_distribution<double> share(0, 1);
    due_ =
        base::now() + least_retry +
        std::chrono::duration_cast<milliseconds>(retry_spread * share(random_));
}

void registration::fail(const std::string& text)
{
    is_failing_ = true;
    retry();
    on_failure_(text);
}

// What came of a removal is not looked at: the entry is removed again while it
// is listed.
void registration::on_reply(http::exchange_number number,
                            const http::response& reply)
{
    std::erase_if(removals_,
                  [number](const removal& it) { return it.number == number; });
    if (number != own_call_)
        return;
    own_call_ = 0;
    on_own_reply(reply);
}

// An entry of an earlier start is replaced; a create whose answer was lost is
// found the same way.
void registration::on_own_reply(const http::response& reply)
{
    if (reply.status == status_conflict && state_ == state::creating)
    {
        state_ = state::replacing;
        due_ = base::now();
        return;
    }
    if (reply.status == status_not_found)
    {
        state_ = state::creating;
        retry();
        return;
    }
    if (reply.status >= first_error_status)
    {
        fail("status " + std::to_string(reply.status));
        return;
    }
    is_failing_ = false;
    state_ = state::registered;
    due_ = base::now() + gateway::renewal_period;
}

void registration::withdraw()
{
    if (state_ == state::withdrawn)
        return;
    state_ = state::withdrawn;
    due_ = base::never;
    own_call_ = 0;
    remove(own_.name);
}

void registration::remove(const std::string& name)
{
    const auto number = call(platform::encode_remove(name, store_address_));
    removals_.push_back({number, base::now() + call_time});
}

} // namespace mimosacroft::entry
