// Serves other VMs the objects that this one knows.
#include "mimosacroft/entry/spread_server.hpp"

#include <algorithm>

namespace mimosacroft::entry
{

namespace
{

using base::instant;
using base::milliseconds;

// A VM that has just started knows its objects within a few round trips; who
// asks it meanwhile is better off waiting than asking the store as well.
constexpr milliseconds start_wait{250};

} // namespace

spread_server::spread_server(std::vector<const store_watch*> watches,
                             answer_function answer)
    : watches_(std::move(watches)), answer_(std::move(answer))
{
}

const store_watch* spread_server::watch_of(const std::string& kind) const
{
    const auto it = std::ranges::find(watches_, kind, &store_watch::kind);
    return it == watches_.end() ? nullptr : *it;
}

// Whether the request was answered; else it waits.
bool spread_server::try_answer(const waiter& it, instant now)
{
    const auto* watch = watch_of(it.request.kind);
    const bool starts = watch && !watch->is_complete();
    if (starts && now < it.due)
        return false;
    if (!watch || !watch->can_serve(now))
    {
        answer_(it.number, encode_spread_unavailable());
        return true;
    }
    const auto& call = it.request.call;
    const bool is_list = call.step == gateway::follow_step::list;
    auto batch = is_list ? std::optional(watch->cache().list())
                         : watch->cache().changes_since(call.revision);
    if (!batch)
    {
        answer_(it.number, encode_spread_gone());
        return true;
    }
    if (!is_list && batch->changes.empty() && now < it.due)
        return false;
    const auto age = std::chrono::duration_cast<milliseconds>(watch->age(now));
    answer_(it.number, encode_spread_answer({std::move(*batch), age}));
    return true;
}

void spread_server::on_request(http::request_number number,
                               const spread_request& request, instant now)
{
    const bool waits = request.call.step == gateway::follow_step::watch;
    const auto due = now + (waits ? request.call.wait : start_wait);
    waiter fresh{number, request, due};
    if (!try_answer(fresh, now))
        waiters_.push_back(std::move(fresh));
}

void spread_server::on_leave(http::request_number number)
{
    std::erase_if(waiters_,
                  [number](const waiter& it) { return it.number == number; });
}

void spread_server::serve(const std::string& kind, instant now)
{
    std::erase_if(waiters_, [&](const waiter& it)
                  { return it.request.kind == kind && try_answer(it, now); });
}

void spread_server::serve_due(instant now)
{
    std::erase_if(waiters_,
                  [&](const waiter& it) { return try_answer(it, now); });
}

} // namespace mimosacroft::entry
