// An entry VM on the platform.
#include "mimosacroft/entry/daemon.hpp"

#include "mimosacroft/base/clock.hpp"
#include "mimosacroft/base/crypto.hpp"
#include "mimosacroft/entry/entry_metrics.hpp"
#include "mimosacroft/entry/event_writer.hpp"
#include "mimosacroft/entry/relay_codec.hpp"
#include "mimosacroft/entry/spread_server.hpp"
#include "mimosacroft/entry/store_feed.hpp"
#include "mimosacroft/gateway/gateway.hpp"
#include "mimosacroft/http/client.hpp"
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
// After a signal to stop, new callers still come until the balancer has asked
// twice whether this VM is ready, once a second.
constexpr milliseconds taking_time{3'000};
// What is still in flight then is cut: the platform would kill the process.
constexpr milliseconds stop_margin{250};
// An old connection may be gone without a sign of it, and a request that may
// not be repeated must not meet that.
constexpr milliseconds most_idle_for_single_sends{400};

gateway::gateway_options gateway_options_of(const settings& s)
{
    gateway::gateway_options out;
    out.data_centre = s.data_centre;
    out.regions = s.regions;
    out.extra = s.extra;
    out.use = s.use;
    out.seed = base::random_seed();
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
        break;
    }
    return gateway::send_failure::malformed;
}

http::server_limits to_server_limits(const gateway::caller_limits& in)
{
    return {in.header_bytes, in.body_bytes, in.header_time, in.idle_time};
}

http::tcp::endpoint endpoint_or_throw(const std::string& address)
{
    const auto out = http::endpoint_of(address);
    if (!out)
        throw std::runtime_error("not an address: " + address);
    return *out;
}

// Requests of other VMs are told from callers' by this bit of their number.
constexpr gateway::query_number peer_bit = gateway::query_number{1} << 63U;

bool is_of_peer(gateway::query_number number)
{
    return (number & peer_bit) != 0;
}

class daemon
{
public:
    daemon(const settings& start, settings_reader read_again);

    int run();

private:
    using asio_timer = http::asio::steady_timer;

    void listen_to_peers();
    void listen_for_metrics();
    store_feed::handlers feed_handlers();

    void on_caller(http::request_number number, http::request&& message);
    void note_refused(unsigned status, const std::string& reason);
    void on_leave(http::request_number number);
    void on_peer(http::request_number number, http::request&& message);
    void on_peer_reply(http::exchange_number number, http::response&& message);
    void on_reply(http::exchange_number number, http::response&& message);
    void on_failure(http::exchange_number number, http::exchange_failure why);
    void on_metrics_question(http::request_number number,
                             const http::request& message);
    http::reply_match match(http::exchange_number number,
                            const http::response& message);

    /// Runs a step of the gateway and carries out what it asks for.
    template <typename Fn>
    void decide(Fn step);
    void answer(gateway::answer_effect&& it);
    void send(const gateway::send_effect& it);
    void relay(const gateway::relay_effect& it);
    void fail_unsent(http::exchange_number number);

    void arm();
    void on_timer();
    void sweep(instant at);
    void reload();
    void refuse_settings(const std::string& error);
    void wait_for_signal();
    void on_signal(int number);
    bool is_ready() const;
    void stop_if_quiet(instant at);

    settings settings_;
    event_writer log_;
    entry_metrics metrics_;
    settings_reader read_again_;
    std::string settings_error_; ///< of the last reading; empty if it went well
    http::asio::io_context io_{1};
    gateway::gateway gateway_;
    http::client upstreams_;
    http::client relays_; ///< other VMs that this one asks
    store_feed feed_;
    spread_server spread_;
    http::server ready_;
    http::server callers_;
    std::optional<http::server> peers_; ///< other VMs; none without an address
    std::optional<http::server> metrics_server_; ///< none without an address
    http::asio::signal_set signals_;
    asio_timer timer_;
    instant armed_ = base::never;
    instant sweep_at_{};
    instant reload_at_{};
    bool stopping_ = false;
    instant stop_after_ = base::never;
    instant stop_by_ = base::never;
    /// The requests under way, for the check of answers.
    std::unordered_map<http::exchange_number, gateway::caller_request_ptr>
        sent_;
};

daemon::daemon(const settings& start, settings_reader read_again)
    : settings_(start), log_(STDOUT_FILENO, start.vm),
      read_again_(std::move(read_again)), gateway_(gateway_options_of(start)),
      upstreams_(io_,
                 {.on_sent = [this](auto number) { gateway_.on_sent(number); },
                  .match = [this](auto number, const auto& message)
                  { return match(number, message); },
                  .on_reply = [this](auto number, http::response&& message)
                  { on_reply(number, std::move(message)); },
                  .on_failure = [this](auto number, auto why)
                  { on_failure(number, why); }}),
      relays_(io_,
              {.on_sent = [this](auto number) { gateway_.on_sent(number); },
               .on_reply = [this](auto number, http::response&& message)
               { on_peer_reply(number, std::move(message)); },
               .on_failure = [this](auto number, auto why)
               { on_failure(number, why); }}),
      feed_(io_, start, gateway_, log_, feed_handlers()),
      spread_(feed_.watches(), [this](auto number, const auto& reply)
              { peers_->answer(number, reply); }),
      ready_(io_, endpoint_or_throw(start.ready_address),
             {.on_request = [this](auto number, http::request&&)
              { ready_.answer(number, platform::readiness(is_ready())); },
              .on_leave = [](auto) {}}),
      callers_(io_, endpoint_or_throw(start.caller_address),
               {.on_request = [this](auto number, http::request&& message)
                { on_caller(number, std::move(message)); },
                .on_leave = [this](auto number) { on_leave(number); },
                .on_refused = [this](unsigned status)
                { note_refused(status, "no readable request"); }}),
      signals_(io_, SIGTERM, SIGINT, SIGHUP), timer_(io_)
{
    if (!start.peer_address.empty())
        listen_to_peers();
    if (!start.metrics_address.empty())
        listen_for_metrics();
}

void daemon::listen_to_peers()
{
    peers_.emplace(
        io_, endpoint_or_throw(settings_.peer_address),
        http::server::handlers{
            .on_request = [this](auto number, http::request&& message)
            { on_peer(number, std::move(message)); },
            .on_leave =
                [this](auto number)
            {
                spread_.on_leave(number);
                on_leave(number | peer_bit);
            }});
}

// Callers are served also where the port is taken.
void daemon::listen_for_metrics()
{
    try
    {
        metrics_server_.emplace(
            io_, endpoint_or_throw(settings_.metrics_address),
            http::server::handlers{
                .on_request = [this](auto number, http::request&& message)
                { on_metrics_question(number, message); },
                .on_leave = [](auto) {}});
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
    { callers_.set_limits(to_server_limits(it.limits())); };
    out.on_servers = [this]
    { decide([&](auto& effects) { gateway_.tick(base::now(), effects); }); };
    out.on_call_ended = [this](const std::string& kind)
    {
        spread_.serve(kind, base::now());
        arm();
    };
    return out;
}

template <typename Fn>
void daemon::decide(Fn step)
{
    gateway::effects out;
    step(out);
    for (const auto number : out.drops)
    {
        sent_.erase(number);
        upstreams_.drop(number);
        relays_.drop(number);
    }
    for (auto& it : out.answers)
        answer(std::move(it));
    for (const auto& it : out.sends)
        send(it);
    for (const auto& it : out.relays)
        relay(it);
    for (const auto& it : out.events)
        log_.write(it);
    arm();
}

void daemon::answer(gateway::answer_effect&& it)
{
    if (is_of_peer(it.number))
    {
        metrics_.on_relayed_answer(it);
        peers_->answer(it.number & ~peer_bit, encode_relay_answer(it.reply));
        return;
    }
    metrics_.on_answer(it);
    callers_.answer(it.number, platform::encode_answer(std::move(it.reply)));
}

void daemon::send(const gateway::send_effect& it)
{
    const auto to = http::endpoint_of(it.address);
    if (!to)
    {
        fail_unsent(it.number);
        return;
    }
    sent_.emplace(it.number, it.request);
    http::client::send_options options;
    if (!it.may_repeat)
        options.most_idle = most_idle_for_single_sends;
    upstreams_.send(it.number, *to, platform::encode_request(it), options);
}

void daemon::relay(const gateway::relay_effect& it)
{
    if (const auto to = http::endpoint_of(it.address))
        relays_.send(it.number, *to, encode_relay(it));
    else
        fail_unsent(it.number);
}

// Not at once: what asked for the send is still at work.
void daemon::fail_unsent(http::exchange_number number)
{
    http::asio::post(io_, [this, number]
                     { on_failure(number, http::exchange_failure::not_sent); });
}

void daemon::on_caller(http::request_number number, http::request&& message)
{
    auto request = platform::decode_request(std::move(message));
    if (!request)
    {
        const auto reply = platform::bad_request(request.error());
        note_refused(reply.status, to_string(request.error()));
        callers_.answer(number, reply);
        return;
    }
    decide([&](auto& out)
           { gateway_.open(number, std::move(*request), base::now(), out); });
}

void daemon::note_refused(unsigned status, const std::string& reason)
{
    log_.write({event_id::caller_refused,
                {{"status", std::to_string(status)}, {"reason", reason}}});
}

void daemon::on_leave(http::request_number number)
{
    decide([&](auto& out) { gateway_.leave(number, base::now(), out); });
}

void daemon::on_peer(http::request_number number, http::request&& message)
{
    if (const auto spread = decode_spread_request(message))
    {
        spread_.on_request(number, *spread, base::now());
        return;
    }
    auto request = decode_relay(message);
    if (!request)
        log_.write({event_id::link_refused,
                    {{"peer", request.error().peer},
                     {"step", std::string(base::name_of(request.error().at))},
                     {"reason", request.error().text}}});
    if (!request || stopping_)
    {
        // Nothing was run: the other VM asks the servers by itself.
        peers_->answer(number, encode_relay_answer(gateway::declined{}));
        return;
    }
    decide(
        [&](auto& out)
        {
            gateway_.open_relayed(number | peer_bit, std::move(*request),
                                  base::now(), out);
        });
}

void daemon::on_peer_reply(http::exchange_number number,
                           http::response&& message)
{
    auto reply = decode_relay_answer(message);
    decide(
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
    sent_.erase(number);
    decide(
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
    sent_.erase(number);
    decide(
        [&](auto& out)
        {
            gateway_.on_failure(number, to_send_failure(why), base::now(), out);
        });
}

http::reply_match daemon::match(http::exchange_number number,
                                const http::response& message)
{
    const auto it = sent_.find(number);
    return it == sent_.end() ? http::reply_match::unusable
                             : platform::match_reply(it->second->id, message);
}

void daemon::on_metrics_question(http::request_number number,
                                 const http::request& message)
{
    const auto at = base::now();
    metrics_.note(gateway_);
    for (const auto* it : feed_.watches())
        metrics_.note(*it, at);
    metrics_.note(log_);
    metrics_.note_traffic("servers", upstreams_.moved());
    metrics_.note_traffic("vms asked", relays_.moved());
    metrics_.note_traffic("callers", callers_.moved());
    if (peers_)
        metrics_.note_traffic("vms that ask", peers_->moved());
    metrics_.note_connections("servers", upstreams_.opened());
    metrics_.note_connections("vms asked", relays_.opened());
    metrics_server_->answer(number, metrics_.answer(message));
}

bool daemon::is_ready() const
{
    return !stopping_ && gateway_.current() && gateway_.servers().size() > 0;
}

void daemon::arm()
{
    const auto due =
        std::min({gateway_.next_due(), feed_.next_due(), sweep_at_});
    if (due >= armed_)
        return;
    armed_ = due;
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
    armed_ = base::never;
    const auto at = base::now();
    feed_.tick(at);
    if (sweep_at_ <= at)
        sweep(at);
    decide([&](auto& out) { gateway_.tick(at, out); });
}

void daemon::sweep(instant at)
{
    sweep_at_ = at + sweep_period;
    upstreams_.sweep(at);
    relays_.sweep(at);
    callers_.sweep(at);
    ready_.sweep(at);
    if (peers_)
        peers_->sweep(at);
    if (metrics_server_)
        metrics_server_->sweep(at);
    feed_.sweep(at);
    spread_.serve_due(at);
    log_.flush();
    if (reload_at_ <= at)
        reload();
    if (stopping_)
        stop_if_quiet(at);
}

// Addresses stay as they were at the start.
void daemon::reload()
{
    reload_at_ = base::now() + reload_period;
    const auto fresh = read_again_();
    if (!fresh)
    {
        refuse_settings(to_string(fresh.error()));
        return;
    }
    settings_error_.clear();
    if (*fresh == settings_)
        return;
    settings_ = *fresh;
    feed_.set_seeds(fresh->seeds);
    gateway_.set_extra(fresh->extra);
    log_.write({event_id::settings_read, {}});
}

// One line for each error, however often the file is read.
void daemon::refuse_settings(const std::string& error)
{
    if (error == settings_error_)
        return;
    settings_error_ = error;
    log_.write({event_id::settings_unreadable, {{"reason", error}}});
}

void daemon::wait_for_signal()
{
    signals_.async_wait(
        [this](const http::error_code& ec, int number)
        {
            if (ec)
                return;
            on_signal(number);
            wait_for_signal();
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
    const auto at = base::now();
    stop_after_ = at + taking_time;
    stop_by_ = at + std::max(settings_.stop_grace - stop_margin, taking_time);
    callers_.announce_close();
    feed_.withdraw();
}

void daemon::stop_if_quiet(instant at)
{
    if (at >= stop_after_)
        callers_.close_idle();
    if (at >= stop_by_ || (at >= stop_after_ && callers_.in_flight() == 0))
        io_.stop();
}

int daemon::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    reload_at_ = base::now() + reload_period;
    sweep_at_ = base::now() + sweep_period;
    wait_for_signal();
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

int run(const settings& start, const settings_reader& read_again)
{
    daemon it(start, read_again);
    return it.run();
}

} // namespace mimosacroft::entry
