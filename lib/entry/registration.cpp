// Creates, renews and removes this VM's entry in the store.
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

constexpr milliseconds call_timeout{2'000};
// A retry follows after min_retry_delay plus a random part of max_retry_jitter.
constexpr milliseconds min_retry_delay{300};
constexpr milliseconds max_retry_jitter{700};
// All VMs renew their entries when the store comes back from a copy. This
// spreads their calls, of which the store takes a limited number per second.
constexpr milliseconds min_renewal_delay{100};
constexpr milliseconds max_renewal_jitter{2'000};
constexpr unsigned status_conflict = 409;
constexpr unsigned status_not_found = 404;
constexpr unsigned first_non_success_status = 300;

} // namespace

registration::registration(http::asio::io_context& io,
                           std::string store_address,
                           gateway::vm_entry own_entry, std::uint32_t seed)
    : store_address_(std::move(store_address)),
      store_endpoint_(http::endpoint_of(store_address_)),
      own_entry_(std::move(own_entry)), random_(seed),
      client_(io,
              {.on_reply = [this](auto number, http::response&& reply)
               { on_reply(number, reply); },
               .on_failure = [this](auto number, auto) { on_failure(number); }})
{
}

void registration::send_call(const http::request& message)
{
    if (store_endpoint_)
        client_.send(++last_exchange_, *store_endpoint_, message);
}

void registration::tick(base::instant now)
{
    if (state_ == state::withdrawn || now < next_due_)
        return;
    if (pending_call_ != 0)
    {
        client_.drop(std::exchange(pending_call_, 0));
        schedule_retry();
        return;
    }
    next_due_ = now + call_timeout;
    if (state_ == state::registered)
        ++own_entry_.renewals;
    send_call(
        state_ == state::creating
            ? platform::encode_create_vm_entry(own_entry_, store_address_)
            : platform::encode_replace_vm_entry(own_entry_, store_address_));
    pending_call_ = last_exchange_;
}

base::duration registration::random_delay(milliseconds min_delay,
                                          milliseconds jitter)
{
    std::uniform_real_distribution<double> fraction(0, 1);
    return min_delay +
           std::chrono::duration_cast<milliseconds>(jitter * fraction(random_));
}

void registration::schedule_retry()
{
    next_due_ = base::now() + random_delay(min_retry_delay, max_retry_jitter);
}

void registration::renew_soon()
{
    if (state_ != state::registered)
        return;
    if (pending_call_ != 0)
    {
        renew_again_ = true;
        return;
    }
    next_due_ =
        std::min(next_due_, base::now() + random_delay(min_renewal_delay,
                                                       max_renewal_jitter));
}

void registration::on_failure(http::exchange_number number)
{
    if (number != pending_call_)
        return;
    pending_call_ = 0;
    schedule_retry();
}

// A conflict on creation means that the entry exists: from an earlier start of
// this VM, or from a create call whose answer was lost. Either way the entry is
// replaced. A VM whose entry was removed from the store creates it again.
void registration::on_reply(http::exchange_number number,
                            const http::response& reply)
{
    if (number != pending_call_)
        return;
    pending_call_ = 0;
    if (reply.status == status_conflict && state_ == state::creating)
    {
        state_ = state::replacing;
        next_due_ = base::now();
        return;
    }
    if (reply.status == status_not_found)
    {
        state_ = state::creating;
        schedule_retry();
        return;
    }
    if (reply.status >= first_non_success_status)
    {
        schedule_retry();
        return;
    }
    state_ = state::registered;
    next_due_ = base::now() + gateway::renewal_period;
    if (std::exchange(renew_again_, false))
        renew_soon();
}

void registration::withdraw()
{
    if (state_ == state::withdrawn)
        return;
    state_ = state::withdrawn;
    next_due_ = base::never;
    pending_call_ = 0;
    remove(own_entry_.name);
}

void registration::remove(const std::string& name)
{
    send_call(platform::encode_delete_vm_entry(name, store_address_));
}

} // namespace mimosacroft::entry
