// Calls of the fleet part to the platform.
#include "mimosacroft/fleet/platform_client.hpp"

#include <algorithm>

namespace mimosacroft::fleet
{

namespace
{

/// Doublings after which the pause between retries stays the same.
constexpr unsigned max_doublings = 10;

} // namespace

platform_client::platform_client(platform_options options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed), tokens_(options_.burst_calls)
{
}

bool platform_client::take_spare_call(base::instant now)
{
    if (failures_ > 0 || !take_token(options_.burst_calls / 2, now))
        return false;
    ++calls_;
    return true;
}

// Takes a call out of the budget if as many as `left` stay in it.
bool platform_client::take_token(double left, base::instant now)
{
    const double gained =
        base::to_seconds(now - refilled_) * options_.calls_per_second;
    tokens_ = std::min(tokens_ + gained, options_.burst_calls);
    refilled_ = now;
    if (tokens_ < left + 1)
        return false;
    tokens_ -= 1;
    return true;
}

std::uint64_t platform_client::get(std::string path, std::string query,
                                   base::milliseconds wait, base::instant now,
                                   core::effects& out)
{
    if (!take_token(0, now))
    {
        ++held_back_;
        return 0;
    }
    core::http_call call;
    call.owner = core::call_owner::fleet;
    call.id = ++calls_;
    call.address = options_.address;
    call.deadline = now + wait + options_.timeout;
    call.request.path = std::move(path);
    call.request.query = std::move(query);
    out.emplace_back(std::move(call));
    return calls_;
}

void platform_client::note_reply(bool ok, base::instant now, core::effects& out)
{
    failures_ = ok ? 0 : failures_ + 1;
    if (ok)
        heard_ = now;
    if (ok == ok_)
        return;
    ok_ = ok;
    out.emplace_back(core::log_event{ok ? core::event_id::platform_back
                                        : core::event_id::platform_lost,
                                     {{"platform", options_.address}}});
}

base::instant platform_client::next_call(base::duration normal,
                                         base::instant now)
{
    if (failures_ == 0)
        return now + normal;
    const auto doublings = std::min(failures_ - 1, max_doublings);
    const base::milliseconds longer = options_.first_retry * (1 << doublings);
    const auto pause = std::min(longer, options_.longest_retry);
    std::uniform_int_distribution<long long> jitter(pause.count() / 2,
                                                    pause.count());
    return now + base::milliseconds(jitter(random_));
}

} // namespace mimosacroft::fleet
