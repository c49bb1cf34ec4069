// Serves the store's objects, as this VM knows them, to other VMs.
#include "mimosacroft/entry/spread_server.hpp"

#include <algorithm>

namespace mimosacroft::entry
{

namespace
{

using base::instant;
using base::milliseconds;

// A VM has the objects a few round trips after its start. For a VM that asks it
// before then, waiting is better than adding a call to the store.
constexpr milliseconds max_startup_wait{250};

} // namespace

spread_server::spread_server(std::vector<const store_watch*> watches,
                             answer_function answer)
    : watches_(std::move(watches)), answer_(std::move(answer))
{
}

const store_watch* spread_server::find_watch(const std::string& kind) const
{
    const auto it = std::ranges::find(watches_, kind, &store_watch::kind);
    return it == watches_.end() ? nullptr : *it;
}

bool spread_server::try_answer(const pending_request& pending, instant now)
{
    const auto* watch = find_watch(pending.request.kind);
    const bool is_starting = watch && !watch->is_complete();
    if (is_starting && now < pending.answer_by)
        return false;
    const bool is_behind = watch && watch->cache().position().era <
                                        pending.request.call.position.era;
    if (!watch || is_behind || !watch->can_serve(now))
    {
        answer_(pending.number, encode_spread_unavailable());
        return true;
    }
    const auto& call = pending.request.call;
    const bool is_list = call.step == gateway::follow_step::list;
    auto batch = is_list ? std::optional(watch->cache().list())
                         : watch->cache().changes_since(call.position);
    if (!batch)
    {
        answer_(pending.number, encode_spread_history_gone());
        return true;
    }
    if (!is_list && batch->changes.empty() && now < pending.answer_by)
        return false;
    batch->changes = gateway::without_superseded(std::move(batch->changes));
    const auto age = std::chrono::duration_cast<milliseconds>(watch->age(now));
    answer_(pending.number, encode_spread_answer({std::move(*batch), age}));
    return true;
}

void spread_server::on_request(http::request_number number,
                               const spread_request& request, instant now)
{
    const bool is_watch = request.call.step == gateway::follow_step::watch;
    const auto answer_by =
        now + (is_watch ? request.call.watch_timeout : max_startup_wait);
    pending_request pending{number, request, answer_by};
    if (!try_answer(pending, now))
        pending_.push_back(std::move(pending));
}

void spread_server::on_leave(http::request_number number)
{
    std::erase_if(pending_, [number](const pending_request& it)
                  { return it.number == number; });
}

void spread_server::give_up(http::request_number number)
{
    const auto it =
        std::ranges::find(pending_, number, &pending_request::number);
    if (it == pending_.end())
        return;
    pending_.erase(it);
    answer_(number, encode_spread_unavailable());
}

void spread_server::answer_waiting(const std::string& kind, instant now)
{
    std::erase_if(pending_, [&](const pending_request& it)
                  { return it.request.kind == kind && try_answer(it, now); });
}

void spread_server::answer_due(instant now)
{
    std::erase_if(pending_, [&](const pending_request& it)
                  { return try_answer(it, now); });
}

} // namespace mimosacroft::entry
