// Follows one kind of the store's objects.
#include "mimosacroft/entry/store_watch.hpp"

#include "mimosacroft/base/clock.hpp"

#include "platform/store.hpp"

#include <algorithm>

namespace mimosacroft::entry
{

namespace
{

using base::milliseconds;

// Time for the store to answer, beyond the wait of a watch. It usually takes
// milliseconds; when it is slow, a quarter of a second and more.
constexpr milliseconds store_answer_margin{1'000};
// Time for another VM to answer, beyond the wait of a watch. It is short, so
// that a paused VM doesn't delay changes for long.
constexpr milliseconds vm_answer_margin{400};
// Objects older than this many waits of a watch at the store are not served:
// the VM that asks learns at once that it has to use another source.
constexpr int max_served_age_in_waits = 4;
constexpr std::size_t max_reply_bytes = std::size_t{32} << 20;
// An answer to a watch holds each change since the last one, however many there
// were, while a list holds each object once. Beyond this the list is less to
// read. One change of the largest object is never too much.
constexpr std::size_t min_watch_limit_bytes = std::size_t{2} << 20;
constexpr std::size_t watch_limit_in_lists = 2;

http::client_options make_client_options()
{
    http::client_options out;
    out.body_bytes = max_reply_bytes;
    return out;
}

} // namespace

store_watch::store_watch(http::asio::io_context& io, std::string kind,
                         std::string store_address,
                         gateway::follower_options options,
                         gateway::watch_timeouts waits, handlers callbacks,
                         std::uint32_t seed, std::size_t max_past_bytes)
    : kind_(std::move(kind)), store_address_(std::move(store_address)),
      max_served_age_(max_served_age_in_waits * waits.store),
      follower_(options), sources_(waits),
      cache_([name = kind_](const std::string& content)
             { return platform::decode_order(name, content); }, max_past_bytes),
      handlers_(std::move(callbacks)), random_engine_(seed),
      client_(io,
              {.on_reply =
                   [this](auto, http::response&& reply)
               {
                   const auto started = base::now();
                   on_reply(std::move(reply));
                   const auto now = base::now();
                   follower_.on_applied(now - started, now);
                   handlers_.on_call_ended();
               },
               .on_failure =
                   [this](auto, http::exchange_failure reason)
               {
                   on_failure(reason);
                   handlers_.on_call_ended();
               }},
              make_client_options())
{
}

double store_watch::random_jitter()
{
    return std::uniform_real_distribution<double>(0, 1)(random_engine_);
}

base::instant store_watch::next_due() const
{
    return std::min(call_deadline_, follower_.next_due());
}

bool store_watch::can_serve(base::instant now) const
{
    return follower_.is_complete() && age(now) <= max_served_age_;
}

void store_watch::tick(base::instant now)
{
    client_.sweep(now);
    if (call_deadline_ <= now)
    {
        client_.drop(last_call_);
        on_call_failed("no answer before the deadline");
        return;
    }
    if (const auto call = follower_.next(now))
        send_call(*call, now);
}

void store_watch::send_call(const gateway::follow_call& call, base::instant now)
{
    const auto& source = sources_.current(now);
    call_source_ = source.address;
    call_step_ = call.step;
    max_answer_age_ = sources_.max_staleness(source);
    auto sent_call = call;
    if (call.step == gateway::follow_step::watch)
        sent_call.watch_timeout = sources_.watch_timeout(source);
    call_deadline_ =
        now + (source.is_store() ? store_answer_margin : vm_answer_margin) +
        sent_call.watch_timeout;
    const auto& address = source.is_store() ? store_address_ : call_source_;
    const auto endpoint = http::endpoint_of(address);
    if (!endpoint)
    {
        on_call_failed("expected an address ip:port, got: " + address);
        return;
    }
    store_calls_ += source.is_store() ? 1 : 0;
    http::client::send_options options;
    if (call.step == gateway::follow_step::watch)
        options.answer_bytes = max_watch_bytes();
    client_.send(++last_call_, *endpoint,
                 source.is_store()
                     ? platform::encode_list_or_watch(kind_, sent_call, address)
                     : encode_spread_request({kind_, sent_call}, address),
                 options);
}

std::size_t store_watch::max_watch_bytes() const
{
    return std::max(min_watch_limit_bytes,
                    watch_limit_in_lists * cache_.object_bytes());
}

void store_watch::list_again(list_reason why, base::instant now)
{
    ++lists_again_.at(static_cast<std::size_t>(why));
    follower_.on_history_gone(now);
    handlers_.on_list_again(why, call_source_);
}

void store_watch::on_failure(http::exchange_failure why)
{
    if (why != http::exchange_failure::too_large)
    {
        on_call_failed(std::string(base::name_of(why)));
        return;
    }
    call_deadline_ = base::never;
    list_again(list_reason::too_many_changes, base::now());
}

void store_watch::on_call_failed(const std::string& text)
{
    const auto now = base::now();
    call_deadline_ = base::never;
    sources_.on_failure(call_source_, now);
    follower_.on_failure(now, random_jitter());
    if (sources_.has_usable(now))
        follower_.retry_immediately(now);
    if (call_source_.empty())
        handlers_.on_failure(text);
}

base::result<spread_answer>
store_watch::decode(const http::response& reply) const
{
    if (!call_source_.empty())
        return decode_spread_answer(reply);
    auto batch = platform::decode_batch(call_step_, reply);
    if (!batch)
        return tl::unexpected(batch.error());
    return spread_answer{std::move(*batch), milliseconds(0)};
}

void store_watch::on_reply(http::response&& reply)
{
    call_deadline_ = base::never;
    const auto now = base::now();
    const auto answer = decode(reply);
    if (!answer && answer.error().code == base::error_code::not_found)
    {
        list_again(list_reason::history_gone, now);
        return;
    }
    if (!answer)
    {
        on_call_failed(to_string(answer.error()));
        return;
    }
    if (is_outdated(*answer))
    {
        on_call_failed("the source has outdated objects");
        return;
    }
    // The changes of a later era continue another state of the store.
    if (call_step_ == gateway::follow_step::watch &&
        answer->batch.position.era > follower_.position().era)
    {
        list_again(list_reason::new_era, now);
        return;
    }
    apply_batch(*answer, now);
}

// An answer of a source that is behind must not undo changes known here.
bool store_watch::is_outdated(const spread_answer& answer) const
{
    const auto known = follower_.position();
    const auto& position = answer.batch.position;
    if (call_source_.empty())
        return position.era < known.era;
    return position < known || answer.age > max_answer_age_;
}

void store_watch::apply_batch(const spread_answer& answer, base::instant now)
{
    const auto& batch = answer.batch;
    if (batch.unreadable > 0)
        handlers_.on_unreadable(batch.unreadable);
    const auto before = follower_.position().era;
    const bool was_complete = is_complete();
    const auto list = follower_.on_batch(batch, now);
    if (call_step_ == gateway::follow_step::list && !list)
        return;
    synced_at_ = std::max(synced_at_, now - answer.age);
    if (!list)
    {
        handlers_.on_changes(cache_.apply(batch.changes, batch.position));
        return;
    }
    if (was_complete && list->position.era > before)
        handlers_.on_new_era(list->position.era);
    apply_list(*list);
}

void store_watch::apply_list(const gateway::object_batch& list)
{
    const auto current = cache_.replace(list.changes, list.position);
    std::set<std::string> names;
    for (const auto& it : current)
        names.insert(it.name);
    handlers_.on_changes(current);
    handlers_.on_list(names);
}

} // namespace mimosacroft::entry
