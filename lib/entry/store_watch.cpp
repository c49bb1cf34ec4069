// Follows one kind of object of the store.
#include "mimosacroft/entry/store_watch.hpp"

#include "mimosacroft/base/clock.hpp"

#include "platform/store.hpp"

#include <algorithm>

namespace mimosacroft::entry
{

namespace
{

using base::milliseconds;

// The store answers in milliseconds; when it is slow, in a quarter of a second
// and more.
constexpr milliseconds call_margin{1'000};
// Another VM that is paused must not keep news back for long.
constexpr milliseconds vm_margin{400};
// Whoever asks for older news than this many waits of the store learns at once
// that it has to ask elsewhere.
constexpr int oldest_served_waits = 4;
constexpr std::size_t largest_reply = std::size_t{32} << 20;

http::client_options client_options_of()
{
    http::client_options out;
    out.body_bytes = largest_reply;
    return out;
}

} // namespace

store_watch::store_watch(http::asio::io_context& io, std::string kind,
                         std::string store_address,
                         gateway::follower_options options,
                         gateway::watch_waits waits, handlers h,
                         std::uint32_t seed)
    : kind_(std::move(kind)), store_address_(std::move(store_address)),
      oldest_served_(oldest_served_waits * waits.store), follower_(options),
      sources_(waits), on_(std::move(h)), random_(seed),
      client_(io,
              {.on_reply =
                   [this](auto, http::response&& reply)
               {
                   on_reply(std::move(reply));
                   on_.on_call_ended();
               },
               .on_failure =
                   [this](auto, http::exchange_failure why)
               {
                   fail(std::string(base::name_of(why)));
                   on_.on_call_ended();
               }},
              client_options_of())
{
}

double store_watch::random_share()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

base::instant store_watch::next_due() const
{
    return std::min(call_due_, follower_.next_due());
}

bool store_watch::can_serve(base::instant now) const
{
    return follower_.is_complete() && age(now) <= oldest_served_;
}

void store_watch::tick(base::instant now)
{
    client_.sweep(now);
    if (call_due_ <= now)
    {
        client_.drop(last_call_);
        fail("no answer in time");
        return;
    }
    if (const auto call = follower_.next(now))
        start(*call, now);
}

void store_watch::start(const gateway::follow_call& call, base::instant now)
{
    const auto& source = sources_.current(now);
    asked_ = source.address;
    step_ = call.step;
    oldest_news_ = sources_.oldest_news(source);
    auto sent = call;
    if (call.step == gateway::follow_step::watch)
        sent.wait = sources_.wait(source);
    call_due_ = now + (source.is_store() ? call_margin : vm_margin) + sent.wait;
    const auto& address = source.is_store() ? store_address_ : asked_;
    const auto to = http::endpoint_of(address);
    if (!to)
    {
        fail("not an address: " + address);
        return;
    }
    store_calls_ += source.is_store() ? 1 : 0;
    client_.send(++last_call_, *to,
                 source.is_store()
                     ? platform::encode_call(kind_, sent, address)
                     : encode_spread_request({kind_, sent}, address));
}

void store_watch::fail(const std::string& text)
{
    const auto now = base::now();
    call_due_ = base::never;
    sources_.on_failure(asked_, now);
    follower_.on_failure(now, random_share());
    if (sources_.has_usable(now))
        follower_.retry_at_once(now);
    if (asked_.empty())
        on_.on_failure(text);
}

base::result<spread_answer>
store_watch::decode(const http::response& reply) const
{
    if (!asked_.empty())
        return decode_spread_answer(reply);
    auto batch = platform::decode_batch(step_, reply);
    if (!batch)
        return tl::unexpected(batch.error());
    return spread_answer{std::move(*batch), milliseconds(0)};
}

void store_watch::on_reply(http::response&& reply)
{
    call_due_ = base::never;
    const auto now = base::now();
    const auto answer = decode(reply);
    if (!answer && answer.error().code == base::error_code::not_found)
    {
        follower_.on_history_gone(now);
        return;
    }
    if (!answer)
    {
        fail(to_string(answer.error()));
        return;
    }
    // A VM that lags must not take this one back.
    const bool lags =
        !asked_.empty() && answer->batch.revision < follower_.revision();
    if (lags || answer->age > oldest_news_)
    {
        fail("the other VM lags");
        return;
    }
    take(*answer, now);
}

void store_watch::take(const spread_answer& it, base::instant now)
{
    fresh_at_ = std::max(fresh_at_, now - it.age);
    cache_.apply(it.batch.changes, it.batch.revision);
    on_.on_changes(it.batch.changes);
    if (const auto names = follower_.on_batch(it.batch, now))
    {
        cache_.keep_only(*names, it.batch.revision);
        on_.on_list(*names);
    }
}

} // namespace mimosacroft::entry
