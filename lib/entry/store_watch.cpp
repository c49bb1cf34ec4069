// Follows one kind of object of the store.
#include "mimosacroft/entry/store_watch.hpp"

#include "platform/store.hpp"

#include <algorithm>

namespace mimosacroft::entry
{

namespace
{

// The store answers in milliseconds; when it is slow, in a quarter of a second
// and more.
constexpr base::milliseconds call_margin{1'000};
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
                         gateway::follower_options options, handlers h,
                         std::uint32_t seed)
    : kind_(std::move(kind)), store_address_(std::move(store_address)),
      store_(http::endpoint_of(store_address_)), follower_(options),
      on_(std::move(h)), random_(seed),
      client_(io,
              {.on_reply = [this](http::exchange_number, http::response&& reply)
               { on_reply(std::move(reply)); },
               .on_failure =
                   [this](http::exchange_number, http::exchange_failure why)
               { fail(std::string(base::name_of(why))); }},
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

void store_watch::tick(base::instant now)
{
    client_.sweep(now);
    if (call_due_ <= now)
    {
        client_.drop(last_call_);
        fail("no answer in time");
        return;
    }
    const auto call = follower_.next(now);
    if (!call || !store_)
        return;
    step_ = call->step;
    const bool waits = call->step == gateway::follow_step::watch;
    call_due_ =
        now + call_margin + (waits ? call->wait : base::milliseconds(0));
    client_.send(++last_call_, *store_,
                 platform::encode_call(kind_, *call, store_address_));
}

void store_watch::fail(const std::string& text)
{
    call_due_ = base::never;
    follower_.on_failure(std::chrono::steady_clock::now(), random_share());
    on_.on_failure(text);
}

void store_watch::on_reply(http::response&& reply)
{
    call_due_ = base::never;
    const auto now = std::chrono::steady_clock::now();
    const auto batch = platform::decode_batch(step_, reply);
    if (!batch && batch.error().code == base::error_code::not_found)
    {
        follower_.on_history_gone(now);
        return;
    }
    if (!batch)
    {
        fail(to_string(batch.error()));
        return;
    }
    on_.on_changes(batch->changes);
    if (const auto names = follower_.on_batch(*batch, now))
        on_.on_list(*names);
}

} // namespace mimosacroft::entry
