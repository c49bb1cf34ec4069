// The daemon of an entry VM: its servers, clients, timer and signals, and the
// effects of the gateway's decisions.
#include "mimosacroft/entry/daemon.hpp"

#include "mimosacroft/base/clock.hpp"
#include "mimosacroft/base/crypto.hpp"
#include "mimosacroft/entry/connection_limits.hpp"
#include "mimosacroft/entry/entry_metrics.hpp"
#include "mimosacroft/entry/event_writer.hpp"
#include "mimosacroft/entry/relay_codec.hpp"
#include "mimosacroft/entry/spread_server.hpp"
#include "mimosacroft/entry/store_feed.hpp"
#include "mimosacroft/gateway/gateway.hpp"
#include "mimosacroft/http/client.hpp"
#include "mimosacroft/http/process_limits.hpp"
#include "mimosacroft/http/server.hpp"
#include "platform/messages.hpp"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <boost/system/system_error.hpp>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <optional>
#include <stdexcept>
#include <unistd.h>
#include <unordered_map>

namespace mimosacroft::entry
{

namespace
{

using base::instant;
using base::milliseconds;
using core::event_id;

constexpr milliseconds sweep_period{250};
constexpr milliseconds reload_period{2'000};
// A crowd that doesn't behave may be turned away thousands of times a second.
constexpr milliseconds turned_away_report_period{1'000};
// Callers are still accepted for this long after a stop signal. The load
// balancer probes readiness once a second, and new callers arrive until two
// probes have found this VM not ready.
constexpr milliseconds min_drain_time{3'000};
// The daemon stops this long before the stop grace ends: at the end of the
// grace, the platform would kill the process.
constexpr milliseconds forced_stop_margin{250};
// All requests are answered this long before that, so that the answers are
// written.
constexpr milliseconds last_answer_margin{100};
// An idle connection may be dead without the client having noticed. A request
// that must not be repeated is therefore sent only on a connection that was
// used within this time, or on a new one.
constexpr milliseconds max_idle_for_unrepeatable_sends{400};

http::process_limits limits_of(const settings& source)
{
    const auto allowed = http::allowed_sockets();
    return http::limits_for(
        source.memory_bytes,
        source.sockets > 0 ? std::min(source.sockets, allowed) : allowed);
}

gateway::gateway_options gateway_options_of(const settings& source,
                                            std::size_t max_exchanges)
{
    gateway::gateway_options out;
    out.data_centre = source.data_centre;
    out.regions = source.regions;
    out.extra = source.extra;
    out.use = source.use;
    out.seed = base::random_seed();
    out.max_exchanges = max_exchanges;
    return out;
}

gateway::send_failure to_send_failure(http::exchange_failure why)
{
    switch (why)
    {
    case http::exchange_failure::not_sent:
        return gateway::send_failure::not_sent;
    case http::exchange_failure::lost:
        return gateway::send_failure::lost;
    case http::exchange_failure::malformed:
    case http::exchange_failure::too_large:
        break;
    }
    return gateway::send_failure::malformed;
}

// Servers may send bytes without end, several of them at once.
http::client_options upstream_options(const http::process_limits& limits,
                                      std::size_t connections)
{
    http::client_options out;
    out.unfinished_bytes = limits.unfinished_answer_bytes;
    out.connections = connections;
    return out;
}

http::client_options relay_options(std::size_t connections)
{
    http::client_options out;
    out.connections = connections;
    return out;
}

http::server_limits limits_at_start(std::size_t connections)
{
    http::server_limits out;
    out.connections = connections;
    return out;
}

http::server_limits to_server_limits(const gateway::caller_limits& in,
                                     std::size_t connections)
{
    return {in.max_header_bytes, in.max_body_bytes, in.header_timeout,
            in.idle_timeout, connections};
}

// A relayed request holds a caller's request and what was decided about it.
http::server_limits to_peer_limits(const gateway::caller_limits& in,
                                   std::size_t connections)
{
    auto out = limits_at_start(connections);
    constexpr std::size_t overhead_bytes = std::size_t{256} * 1024;
    out.body_bytes =
        std::max(out.body_bytes,
                 in.max_body_bytes + in.max_header_bytes + overhead_bytes);
    return out;
}

http::tcp::endpoint endpoint_or_throw(const std::string& address)
{
    const auto out = http::endpoint_of(address);
    if (!out)
        throw std::runtime_error("invalid address, expected ip:port: " +
                                 address);
    return *out;
}

// Set in the query number of a request from another VM, clear in that of a
// request from a caller. The numbers come from two servers, which count
// independently.
constexpr gateway::query_number peer_request_bit = gateway::query_number{1}
                                                   << 63U;

bool is_peer_request(gateway::query_number number)
{
    return (number & peer_request_bit) != 0;
}

class daemon
{
public:
    daemon(const settings& initial, settings_reader read_settings);

    int run();

private:
    using asio_timer = http::asio::steady_timer;

    void listen_to_peers();
    void listen_for_metrics();
    store_feed::handlers feed_handlers();
    void apply_limits(const gateway::caller_limits& callers);

    void on_caller_request(http::request_number number,
                           http::request&& message);
    void on_leave(http::request_number number);
    /// Answers a request with what there is.
    void give_up(gateway::query_number number);
    void on_peer_request(http::request_number number, http::request&& message);
    void on_peer_reply(http::exchange_number number, http::response&& message);
    void on_reply(http::exchange_number number, http::response&& message);
    void on_failure(http::exchange_number number, http::exchange_failure why);
    void on_metrics_request(http::request_number number,
                            const http::request& message);
    http::reply_match match(http::exchange_number number,
                            const http::response& message);

    /// Calls `step` with an empty list of effects, which it lets the gateway
    /// fill, and carries these out: drops, answers, sends, relays and log
    /// events.
    template <typename Fn>
    void run_gateway_step(Fn step);
    void answer(gateway::answer_effect&& effect);
    void send(const gateway::send_effect& effect);
    void relay(const gateway::relay_effect& effect);
    void tell(const gateway::news_effect& effect);
    void fail_unsent(http::exchange_number number);

    /// Sets the timer to the next due time if that is earlier than its current
    /// one.
    void arm_timer();
    void on_timer();
    /// Periodic work, every sweep_period: expires connections, serves waiting
    /// VMs, flushes the log, reloads the settings and checks whether to stop.
    void sweep(instant now);
    /// Reads the settings again and applies what can change at run time.
    void reload();
    void await_signal();
    void on_signal(int number);
    /// Reports callers that were turned away since the last report.
    void report_turned_away();
    bool is_ready() const;
    /// Ends the event loop once min_drain_time has passed and no request is in
    /// flight, at the latest at forced_stop_at_.
    void stop_if_drained(instant now);
    /// Time of the next sweep, which is exact for the times of a stop.
    instant sweep_after(instant now) const;

    settings settings_;
    const http::process_limits limits_;
    const connection_limits connections_;
    std::shared_ptr<http::server_budget> budget_; ///< of all servers
    instant next_turned_away_report_{};
    event_writer log_;
    entry_metrics metrics_;
    settings_reader read_settings_;
    http::asio::io_context io_{1};
    gateway::gateway gateway_;
    http::client upstream_client_; ///< for requests to upstream servers
    http::client relay_client_;    ///< for requests relayed to other VMs
    store_feed store_feed_;
    spread_server spread_server_;
    http::server readiness_server_; ///< for the load balancer's probes
    http::server caller_server_;
    // Each exists only if the settings have an address for it. metrics_server_
    // is also missing if that address could not be listened on.
    std::optional<http::server> peer_server_; ///< for other VMs
    std::optional<http::server> metrics_server_;
    http::asio::signal_set signals_;
    asio_timer timer_;
    instant timer_due_ = base::never; ///< never while the timer is not set
    instant next_sweep_{};
    instant next_reload_{};
    bool stopping_ = false;
    instant earliest_stop_ = base::never;
    instant forced_stop_at_ = base::never;
    /// The requests in flight to upstreams, against which match() checks
    /// replies.
    std::unordered_map<http::exchange_number, gateway::caller_request_ptr>
        sent_requests_;
};

daemon::daemon(const settings& initial, settings_reader read_settings)
    : settings_(initial), limits_(limits_of(initial)),
      connections_(share_out(limits_)),
      budget_(std::make_shared<http::server_budget>(limits_.budget_bytes)),
      log_(STDOUT_FILENO, initial.vm), read_settings_(std::move(read_settings)),
      gateway_(gateway_options_of(initial, connections_.admitted_sends)),
      upstream_client_(
          io_,
          {.on_sent = [this](auto number) { gateway_.on_sent(number); },
           .match = [this](auto number, const auto& message)
           { return match(number, message); },
           .on_reply = [this](auto number, http::response&& message)
           { on_reply(number, std::move(message)); },
           .on_failure = [this](auto number, auto why)
           { on_failure(number, why); }},
          upstream_options(limits_, connections_.servers)),
      relay_client_(
          io_,
          {.on_sent = [this](auto number) { gateway_.on_sent(number); },
           .on_reply = [this](auto number, http::response&& message)
           { on_peer_reply(number, std::move(message)); },
           .on_failure = [this](auto number, auto why)
           { on_failure(number, why); }},
          relay_options(connections_.relays)),
      store_feed_(io_, initial, gateway_, log_, feed_handlers()),
      spread_server_(store_feed_.watches(),
                     [this](auto number, const auto& reply)
                     { peer_server_->answer(number, reply); }),
      readiness_server_(io_, endpoint_or_throw(initial.ready_address),
                        {.on_request =
                             [this](auto number, http::request&&)
                         {
                             readiness_server_.answer(
                                 number,
                                 platform::encode_readiness(is_ready()));
                         },
                         .on_leave = [](auto) {}},
                        limits_at_start(connections_.readiness), budget_),
      caller_server_(io_, endpoint_or_throw(initial.caller_address),
                     {.on_request = [this](auto number, http::request&& message)
                      { on_caller_request(number, std::move(message)); },
                      .on_leave = [this](auto number) { on_leave(number); },
                      .on_give_up = [this](auto number) { give_up(number); }},
                     limits_at_start(connections_.callers), budget_),
      signals_(io_, SIGTERM, SIGINT, SIGHUP), timer_(io_)
{
    if (!initial.peer_address.empty())
        listen_to_peers();
    if (!initial.metrics_address.empty())
        listen_for_metrics();
}

void daemon::listen_to_peers()
{
    peer_server_.emplace(
        io_, endpoint_or_throw(settings_.peer_address),
        http::server::handlers{
            .on_request = [this](auto number, http::request&& message)
            { on_peer_request(number, std::move(message)); },
            .on_leave =
                [this](auto number)
            {
                spread_server_.on_leave(number);
                on_leave(number | peer_request_bit);
            },
            .on_give_up =
                [this](auto number)
            {
                spread_server_.give_up(number);
                give_up(number | peer_request_bit);
            }},
        limits_at_start(connections_.peers), budget_);
}

// A metrics address that can't be listened on, such as one whose port is taken,
// is logged and otherwise ignored: callers are served all the same.
void daemon::listen_for_metrics()
{
    try
    {
        metrics_server_.emplace(
            io_, endpoint_or_throw(settings_.metrics_address),
            http::server::handlers{
                .on_request = [this](auto number, http::request&& message)
                { on_metrics_request(number, message); },
                .on_leave = [](auto) {}},
            limits_at_start(connections_.metrics), budget_);
    }
    catch (const boost::system::system_error& ex)
    {
        log_.write(
            {event_id::metrics_unavailable,
             {{"peer", settings_.metrics_address}, {"reason", ex.what()}}});
    }
}

store_feed::handlers daemon::feed_handlers()
{
    store_feed::handlers out;
    out.on_catalog = [this](const gateway::catalog& it)
    { apply_limits(it.limits()); };
    out.on_servers = [this]
    {
        run_gateway_step([&](auto& effects)
                         { gateway_.tick(base::now(), effects); });
    };
    out.on_call_ended = [this](const std::string& kind)
    {
        spread_server_.answer_waiting(kind, base::now());
        arm_timer();
    };
    return out;
}

void daemon::apply_limits(const gateway::caller_limits& callers)
{
    caller_server_.set_limits(to_server_limits(callers, connections_.callers));
    if (peer_server_)
        peer_server_->set_limits(to_peer_limits(callers, connections_.peers));
}

template <typename Fn>
void daemon::run_gateway_step(Fn step)
{
    gateway::effects out;
    step(out);
    for (const auto number : out.cancels)
    {
        sent_requests_.erase(number);
        upstream_client_.drop(number);
        relay_client_.drop(number);
    }
    for (auto& it : out.answers)
        answer(std::move(it));
    for (const auto& it : out.sends)
        send(it);
    for (const auto& it : out.relays)
        relay(it);
    for (const auto& it : out.news)
        tell(it);
    for (const auto& it : out.events)
        log_.write(it);
    arm_timer();
}

void daemon::answer(gateway::answer_effect&& effect)
{
    if (is_peer_request(effect.number))
    {
        metrics_.on_relayed_answer(effect);
        peer_server_->answer(
            effect.number & ~peer_request_bit,
            encode_relay_answer({std::move(effect.reply), effect.record,
                                 std::move(effect.news)}));
        return;
    }
    metrics_.on_answer(effect);
    caller_server_.answer(effect.number,
                          platform::encode_answer(std::move(effect.reply)));
}

void daemon::send(const gateway::send_effect& effect)
{
    const auto to = http::endpoint_of(effect.address);
    if (!to)
    {
        fail_unsent(effect.number);
        return;
    }
    sent_requests_.emplace(effect.number, effect.request);
    http::client::send_options options;
    if (!effect.may_repeat)
        options.max_idle = max_idle_for_unrepeatable_sends;
    options.earlier = effect.earlier;
    // One copy of the body, whatever the number of servers.
    const auto& body = effect.request->message.body;
    if (!body.empty())
        options.body = http::shared_body(effect.request, &body);
    upstream_client_.send(effect.number, *to, platform::encode_request(effect),
                          options);
}

void daemon::relay(const gateway::relay_effect& effect)
{
    const auto to = http::endpoint_of(effect.address);
    if (!to)
    {
        fail_unsent(effect.number);
        return;
    }
    auto message = encode_relay(effect);
    http::client::send_options options;
    options.body =
        std::make_shared<const std::string>(std::exchange(message.body, {}));
    relay_client_.send(effect.number, *to, message, options);
}

// For an address that can't be used. Later, since the gateway's effects are
// being carried out.
void daemon::fail_unsent(http::exchange_number number)
{
    http::asio::post(io_, [this, number]
                     { on_failure(number, http::exchange_failure::not_sent); });
}

void daemon::tell(const gateway::news_effect& effect)
{
    if (const auto to = http::endpoint_of(effect.address))
        relay_client_.send(effect.number, *to, encode_news(effect));
}

void daemon::on_caller_request(http::request_number number,
                               http::request&& message)
{
    auto request = platform::decode_request(std::move(message));
    if (!request)
    {
        caller_server_.answer(number,
                              platform::encode_bad_request(request.error()));
        return;
    }
    run_gateway_step(
        [&](auto& out)
        { gateway_.open(number, std::move(*request), base::now(), out); });
}

void daemon::on_leave(http::request_number number)
{
    run_gateway_step([&](auto& out)
                     { gateway_.on_caller_left(number, base::now(), out); });
}

void daemon::give_up(gateway::query_number number)
{
    run_gateway_step([&](auto& out)
                     { gateway_.give_up(number, base::now(), out); });
}

void daemon::on_peer_request(http::request_number number,
                             http::request&& message)
{
    if (const auto spread = decode_spread_request(message))
    {
        spread_server_.on_request(number, *spread, base::now());
        return;
    }
    if (const auto news = decode_news(message))
    {
        run_gateway_step(
            [&](auto& out)
            { gateway_.on_news(news->news, news->pass_on, base::now(), out); });
        peer_server_->answer(
            number, encode_relay_answer({gateway::declined{}, {}, {}}));
        return;
    }
    auto request = decode_relay(message);
    if (!request || stopping_)
    {
        // Declines a request that can't be decoded, and any request while
        // stopping. Nothing was run, so the other VM sends the request to the
        // servers itself.
        peer_server_->answer(
            number, encode_relay_answer({gateway::declined{}, {}, {}}));
        return;
    }
    run_gateway_step(
        [&](auto& out)
        {
            gateway_.open_relayed(number | peer_request_bit,
                                  std::move(*request), base::now(), out);
        });
}

void daemon::on_peer_reply(http::exchange_number number,
                           http::response&& message)
{
    auto reply = decode_relay_answer(message);
    run_gateway_step(
        [&](auto& out)
        {
            if (reply)
                gateway_.on_relay_reply(number, std::move(*reply), base::now(),
                                        out);
            else
                gateway_.on_failure(number, gateway::send_failure::malformed,
                                    base::now(), out);
        });
}

void daemon::on_reply(http::exchange_number number, http::response&& message)
{
    sent_requests_.erase(number);
    run_gateway_step(
        [&](auto& out)
        {
            gateway_.on_reply(number,
                              platform::decode_reply(std::move(message)),
                              base::now(), out);
        });
}

void daemon::on_failure(http::exchange_number number,
                        http::exchange_failure why)
{
    sent_requests_.erase(number);
    run_gateway_step(
        [&](auto& out)
        {
            gateway_.on_failure(number, to_send_failure(why), base::now(), out);
        });
}

http::reply_match daemon::match(http::exchange_number number,
                                const http::response& message)
{
    const auto it = sent_requests_.find(number);
    return it == sent_requests_.end()
               ? http::reply_match::unusable
               : platform::match_reply(it->second->id, message);
}

void daemon::on_metrics_request(http::request_number number,
                                const http::request& message)
{
    const auto now = base::now();
    metrics_.collect(gateway_, now);
    for (const auto* it : store_feed_.watches())
        metrics_.collect(*it, now);
    metrics_.collect(log_);
    metrics_.collect_traffic("servers", upstream_client_.moved());
    metrics_.collect_traffic("vms asked", relay_client_.moved());
    metrics_.collect_traffic("callers", caller_server_.moved());
    metrics_.collect(*budget_);
    metrics_.collect_memory();
    metrics_.collect_accepted("callers", caller_server_.connections());
    metrics_.collect_accepted("readiness", readiness_server_.connections());
    if (peer_server_)
        metrics_.collect_accepted("peers", peer_server_->connections());
    metrics_.collect_accepted("metrics", metrics_server_->connections());
    if (peer_server_)
        metrics_.collect_traffic("vms that ask", peer_server_->moved());
    metrics_.collect_connections("servers", upstream_client_.opened());
    metrics_.collect_connections("vms asked", relay_client_.opened());
    metrics_server_->answer(number, metrics_.answer(message));
}

bool daemon::is_ready() const
{
    return !stopping_ && gateway_.current() && gateway_.servers().size() > 0;
}

void daemon::arm_timer()
{
    const auto due =
        std::min({gateway_.next_due(), store_feed_.next_due(), next_sweep_});
    if (due >= timer_due_)
        return;
    timer_due_ = due;
    timer_.expires_at(due);
    timer_.async_wait(
        [this](const http::error_code& ec)
        {
            if (!ec)
                on_timer();
        });
}

void daemon::on_timer()
{
    timer_due_ = base::never;
    const auto now = base::now();
    store_feed_.tick(now);
    if (next_sweep_ <= now)
        sweep(now);
    run_gateway_step([&](auto& out) { gateway_.tick(now, out); });
}

void daemon::sweep(instant now)
{
    next_sweep_ = sweep_after(now);
    upstream_client_.sweep(now);
    relay_client_.sweep(now);
    caller_server_.sweep(now);
    readiness_server_.sweep(now);
    if (peer_server_)
        peer_server_->sweep(now);
    report_turned_away();
    if (metrics_server_)
        metrics_server_->sweep(now);
    store_feed_.sweep(now);
    spread_server_.answer_due(now);
    log_.flush();
    if (next_reload_ <= now)
        reload();
    if (stopping_)
        stop_if_drained(now);
}

void daemon::report_turned_away()
{
    const auto now = base::now();
    if (now < next_turned_away_report_)
        return;
    next_turned_away_report_ = now + turned_away_report_period;
    for (std::size_t n = 0; n < http::shed_reason_count; ++n)
    {
        const auto why = static_cast<http::shed_reason>(n);
        const auto count = budget_->take_unreported(why);
        if (count == 0)
            continue;
        log_.write({event_id::callers_turned_away,
                    {{"reason", std::string(base::name_of(why))},
                     {"count", std::to_string(count)},
                     {"held_bytes", std::to_string(budget_->held_bytes())},
                     {"most_bytes", std::to_string(budget_->max_bytes())}}});
    }
}

instant daemon::sweep_after(instant now) const
{
    instant out = now + sweep_period;
    for (const auto at : {earliest_stop_, forced_stop_at_})
        if (now < at)
            out = std::min(out, at);
    return out;
}

// Applies changes of the seeds, the budget of extra arrivals and the stop
// grace. Other settings, such as the addresses, take effect only at the next
// start.
void daemon::reload()
{
    next_reload_ = base::now() + reload_period;
    settings reloaded;
    if (!read_settings_(reloaded) || reloaded == settings_)
        return;
    settings_ = reloaded;
    store_feed_.set_seeds(reloaded.seeds);
    gateway_.set_extra_budget(reloaded.extra);
    log_.write({event_id::settings_read, {}});
}

void daemon::await_signal()
{
    signals_.async_wait(
        [this](const http::error_code& ec, int number)
        {
            if (ec)
                return;
            on_signal(number);
            await_signal();
        });
}

void daemon::on_signal(int number)
{
    if (number == SIGHUP)
    {
        reload();
        return;
    }
    if (stopping_)
        return;
    stopping_ = true;
    log_.write({event_id::stopping, {{"signal", std::to_string(number)}}});
    const auto now = base::now();
    forced_stop_at_ = now + std::max(settings_.stop_grace - forced_stop_margin,
                                     milliseconds(0));
    earliest_stop_ = std::min<instant>(now + min_drain_time, forced_stop_at_);
    gateway_.plan_stop({earliest_stop_, forced_stop_at_ - last_answer_margin});
    caller_server_.announce_close();
    store_feed_.withdraw();
    arm_timer();
}

void daemon::stop_if_drained(instant now)
{
    if (now >= earliest_stop_)
        caller_server_.close_idle();
    const bool is_idle =
        gateway_.open_queries() == 0 && caller_server_.in_flight() == 0;
    if (now >= forced_stop_at_ || (now >= earliest_stop_ && is_idle))
        io_.stop();
}

int daemon::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    next_reload_ = base::now() + reload_period;
    next_sweep_ = base::now() + sweep_period;
    await_signal();
    log_.write({event_id::started,
                {{"vm", settings_.vm},
                 {"http", settings_.caller_address},
                 {"peers", settings_.peer_address}}});
    on_timer();
    io_.run();
    log_.write({event_id::stopped, {}});
    return EXIT_SUCCESS;
}

} // namespace

int run(const settings& initial, const settings_reader& read_settings)
{
    daemon it(initial, read_settings);
    return it.run();
}

} // namespace mimosacroft::entry
