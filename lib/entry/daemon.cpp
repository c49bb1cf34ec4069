// An entry VM on the platform.
#include "mimosacroft/entry/daemon.hpp"

#include "mimosacroft/base/crypto.hpp"
#include "mimosacroft/entry/event_writer.hpp"
#include "mimosacroft/entry/registration.hpp"
#include "mimosacroft/entry/relay_codec.hpp"
#include "mimosacroft/entry/store_watch.hpp"
#include "mimosacroft/gateway/gateway.hpp"
#include "mimosacroft/http/client.hpp"
#include "mimosacroft/http/server.hpp"
#include "platform/messages.hpp"
#include "platform/store.hpp"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
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
// A removed entry may come back when the store was away; its server is the last
// choice meanwhile.
constexpr milliseconds removal_hold{1'200};
constexpr milliseconds removal_hold_after_outage{2'300};
constexpr milliseconds outage_memory{4'000};

constexpr milliseconds servers_pace{700};
constexpr milliseconds configuration_pace{200};
constexpr milliseconds vms_pace{1'000};
// The list of VMs changes seldom, and each call is counted.
constexpr milliseconds vms_wait{25'000};
// An old connection may be gone without a sign of it, and a request that may
// not be repeated must not meet that.
constexpr milliseconds most_idle_for_single_sends{400};

instant now()
{
    return std::chrono::steady_clock::now();
}

std::uint32_t random_seed()
{
    return static_cast<std::uint32_t>(base::random_u64() | 1U);
}

gateway::gateway_options gateway_options_of(const settings& s)
{
    gateway::gateway_options out;
    out.data_centre = s.data_centre;
    out.regions = s.regions;
    out.extra_ratio = s.extra_ratio;
    out.extra_slack = s.extra_slack;
    out.extra_window = s.extra_window;
    out.seed = random_seed();
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

    void on_caller(http::request_number number, http::request&& message);
    void on_leave(http::request_number number);
    void on_peer(http::request_number number, http::request&& message);
    void on_spread(http::request_number number, const spread_request& request);
    void serve_spread(const std::string& kind, instant at);
    bool answer_spread(http::request_number number,
                       const spread_request& request, instant due, instant at);
    store_watch* watch_of(const std::string& kind);
    void set_fleet();
    void on_peer_reply(http::exchange_number number, http::response&& message);
    void answer(gateway::answer_effect&& it);
    void on_ready_question(http::request_number number);
    http::reply_match match(http::exchange_number number,
                            const http::response& message);
    void on_configuration(const std::vector<gateway::object_change>& changes);
    void on_servers(const std::vector<gateway::object_change>& changes);
    void on_server_list(const std::set<std::string>& names);
    void remove_server(const std::string& id);
    void on_store_failure(const char* kind, const std::string& text);
    void note_store_state();
    void report_vms();
    void on_vms(const std::vector<gateway::object_change>& changes);
    void on_vm_list(const std::set<std::string>& names);

    /// Runs a step of the gateway and carries out what it asks for.
    template <typename Fn>
    void decide(Fn step);
    void send(const gateway::send_effect& it);
    void arm();
    void on_timer();
    void sweep(instant at);
    void reload();
    void wait_for_signal();
    void on_signal(int number);
    bool is_ready() const;
    void stop_if_quiet(instant at);

    settings settings_;
    event_writer log_;
    settings_reader read_again_;
    http::asio::io_context io_{1};
    gateway::gateway gateway_;
    http::client upstreams_;
    store_watch configuration_;
    store_watch servers_;
    gateway::vm_directory directory_;
    store_watch vms_;
    registration registration_;
    http::server ready_;
    http::server callers_;
    std::optional<http::server> peers_; ///< other VMs; none without an address
    http::client relays_;
    /// Other VMs that wait for changes.
    struct spread_waiter
    {
        http::request_number number = 0;
        spread_request request;
        instant due{};
    };
    std::vector<spread_waiter> spread_waiters_;
    http::asio::signal_set signals_;
    asio_timer timer_;
    instant armed_ = base::never;
    instant sweep_at_{};
    instant reload_at_{};
    instant store_failed_at_{};
    bool store_lost_ = false;    ///< as the log has it
    std::size_t fleet_size_ = 0; ///< as the log has it
    bool stopping_ = false;
    instant stop_after_ = base::never;
    instant stop_by_ = base::never;
    /// Ids of the requests under way, for the check of answers.
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
                  .on_reply =
                      [this](auto number, http::response&& message)
                  {
                      sent_.erase(number);
                      decide(
                          [&](auto& out)
                          {
                              gateway_.on_reply(
                                  number,
                                  platform::decode_reply(std::move(message)),
                                  now(), out);
                          });
                  },
                  .on_failure =
                      [this](auto number, auto why)
                  {
                      sent_.erase(number);
                      decide(
                          [&](auto& out)
                          {
                              gateway_.on_failure(number, to_send_failure(why),
                                                  now(), out);
                          });
                  }}),
      configuration_(
          io_, std::string(platform::configuration_kind), start.store_address,
          {.pace = configuration_pace, .wait = gateway::store_wait},
          {.on_changes = [this](const auto& it) { on_configuration(it); },
           .on_list = [](const auto&) {},
           .on_failure = [this](const auto& it)
           { on_store_failure("configuration", it); },
           .on_progress = [this]
           { serve_spread(configuration_.kind(), now()); }},
          random_seed()),
      servers_(
          io_, std::string(platform::servers_kind), start.store_address,
          {.pace = servers_pace, .wait = gateway::store_wait},
          {.on_changes = [this](const auto& it) { on_servers(it); },
           .on_list = [this](const auto& it) { on_server_list(it); },
           .on_failure = [this](const auto& it)
           { on_store_failure("servers", it); },
           .on_progress = [this] { serve_spread(servers_.kind(), now()); }},
          random_seed()),
      directory_(start.vm),
      vms_(io_, std::string(platform::vms_kind), start.store_address,
           {.pace = vms_pace, .wait = vms_wait},
           {.on_changes = [this](const auto& it) { on_vms(it); },
            .on_list = [this](const auto& it) { on_vm_list(it); },
            .on_failure = [](const auto&) {}},
           random_seed()),
      registration_(io_, start.store_address,
                    {start.vm, start.peer_address, start.data_centre, 0},
                    random_seed()),
      ready_(io_, endpoint_or_throw(start.ready_address),
             {.on_request = [this](auto number, http::request&&)
              { on_ready_question(number); },
              .on_leave = [](auto) {}}),
      callers_(io_, endpoint_or_throw(start.caller_address),
               {.on_request = [this](auto number, http::request&& message)
                { on_caller(number, std::move(message)); },
                .on_leave = [this](auto number) { on_leave(number); }}),
      relays_(io_,
              {.on_sent = [this](auto number) { gateway_.on_sent(number); },
               .on_reply = [this](auto number, http::response&& message)
               { on_peer_reply(number, std::move(message)); },
               .on_failure =
                   [this](auto number, auto why)
               {
                   decide(
                       [&](auto& out)
                       {
                           gateway_.on_failure(number, to_send_failure(why),
                                               now(), out);
                       });
               }}),
      signals_(io_, SIGTERM, SIGINT, SIGHUP), timer_(io_)
{
    if (start.peer_address.empty())
        return;
    peers_.emplace(
        io_, endpoint_or_throw(start.peer_address),
        http::server::handlers{
            .on_request = [this](auto number, http::request&& message)
            { on_peer(number, std::move(message)); },
            .on_leave =
                [this](auto number)
            {
                std::erase_if(spread_waiters_, [number](const auto& it)
                              { return it.number == number; });
                on_leave(number | peer_bit);
            }});
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
        if (const auto to = http::endpoint_of(it.address))
            relays_.send(it.number, *to, encode_relay(it));
    for (const auto& it : out.events)
        log_.write(it);
    arm();
}

void daemon::answer(gateway::answer_effect&& it)
{
    if (is_of_peer(it.number))
        peers_->answer(it.number & ~peer_bit, encode_relay_answer(it.reply));
    else
        callers_.answer(it.number,
                        platform::encode_answer(std::move(it.reply)));
}

store_watch* daemon::watch_of(const std::string& kind)
{
    for (auto* it : {&configuration_, &servers_})
        if (it->kind() == kind)
            return it;
    return nullptr;
}

// Whether the request was answered; else it waits for news.
bool daemon::answer_spread(http::request_number number,
                           const spread_request& request, instant due,
                           instant at)
{
    const auto* watch = watch_of(request.kind);
    if (!watch || !watch->can_serve(at))
    {
        peers_->answer(number, encode_spread_unavailable());
        return true;
    }
    const bool is_list = request.call.step == gateway::follow_step::list;
    auto batch = is_list ? std::optional(watch->cache().list())
                         : watch->cache().changes_since(request.call.revision);
    if (!batch)
    {
        peers_->answer(number, encode_spread_gone());
        return true;
    }
    if (!is_list && batch->changes.empty() && at < due)
        return false;
    const auto age = std::chrono::duration_cast<milliseconds>(watch->age(at));
    peers_->answer(number, encode_spread_answer({std::move(*batch), age}));
    return true;
}

void daemon::on_spread(http::request_number number,
                       const spread_request& request)
{
    const auto at = now();
    const auto due = at + request.call.wait;
    if (!answer_spread(number, request, due, at))
        spread_waiters_.push_back({number, request, due});
}

void daemon::serve_spread(const std::string& kind, instant at)
{
    std::erase_if(spread_waiters_,
                  [&](const spread_waiter& it)
                  {
                      return (kind.empty() || it.request.kind == kind) &&
                             answer_spread(it.number, it.request, it.due, at);
                  });
}

void daemon::set_fleet()
{
    const auto others = directory_.others();
    gateway_.set_fleet(others, directory_.fleet_size());
    const gateway::vm_entry own{settings_.vm, settings_.peer_address,
                                settings_.data_centre, 0};
    for (auto* it : {&configuration_, &servers_})
        it->sources().set(own, others, settings_.seeds);
}

void daemon::on_peer(http::request_number number, http::request&& message)
{
    if (const auto spread = decode_spread_request(message))
    {
        on_spread(number, *spread);
        return;
    }
    auto request = decode_relay(message);
    if (!request || stopping_)
    {
        // Nothing was run: the other VM asks the servers by itself.
        peers_->answer(number, encode_relay_answer(gateway::declined{}));
        return;
    }
    decide(
        [&](auto& out)
        {
            gateway_.open_relayed(number | peer_bit, std::move(*request), now(),
                                  out);
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
                gateway_.on_relay_reply(number, std::move(*reply), now(), out);
            else
                gateway_.on_failure(number, gateway::send_failure::malformed,
                                    now(), out);
        });
}

void daemon::send(const gateway::send_effect& it)
{
    const auto to = http::endpoint_of(it.address);
    if (!to)
        return;
    sent_.emplace(it.number, it.request);
    http::client::send_options options;
    if (!it.may_repeat)
        options.most_idle = most_idle_for_single_sends;
    upstreams_.send(it.number, *to, platform::encode_request(it), options);
}

http::reply_match daemon::match(http::exchange_number number,
                                const http::response& message)
{
    const auto it = sent_.find(number);
    return it == sent_.end() ? http::reply_match::unusable
                             : platform::match_reply(it->second->id, message);
}

void daemon::on_caller(http::request_number number, http::request&& message)
{
    auto request = platform::decode_request(std::move(message));
    if (!request)
    {
        callers_.answer(number, platform::bad_request(request.error()));
        return;
    }
    decide([&](auto& out)
           { gateway_.open(number, std::move(*request), now(), out); });
}

void daemon::on_leave(http::request_number number)
{
    decide([&](auto& out) { gateway_.leave(number, now(), out); });
}

bool daemon::is_ready() const
{
    return !stopping_ && gateway_.current() && gateway_.servers().size() > 0;
}

void daemon::on_ready_question(http::request_number number)
{
    ready_.answer(number, platform::readiness(is_ready()));
}

void daemon::on_configuration(const std::vector<gateway::object_change>& all)
{
    for (const auto& it : all)
    {
        if (it.deleted)
            continue;
        auto next = platform::decode_catalog(it.content);
        if (!next)
        {
            log_.write(
                {event_id::config_refused,
                 {{"peer", "store"}, {"reason", to_string(next.error())}}});
            continue;
        }
        auto version =
            std::make_shared<const gateway::catalog>(std::move(*next));
        if (!gateway_.apply(version))
            continue;
        log_.write({event_id::config_applied,
                    {{"version", std::to_string(version->version())},
                     {"searches", std::to_string(version->size())}}});
        callers_.set_limits(to_server_limits(version->limits()));
    }
}

void daemon::remove_server(const std::string& id)
{
    log_.write({event_id::server_removed,
                {{"peer", id}, {"reason", "its entry is gone"}}});
    const auto at = now();
    const bool outage = at - store_failed_at_ < outage_memory;
    gateway_.remove_server(id, at,
                           outage ? removal_hold_after_outage : removal_hold);
}

void daemon::on_servers(const std::vector<gateway::object_change>& all)
{
    for (const auto& it : all)
    {
        if (it.deleted)
        {
            remove_server(it.name);
            continue;
        }
        const auto entry = platform::decode_server(it);
        if (!entry)
            log_.write({event_id::server_entry_refused,
                        {{"reason", to_string(entry.error())}}});
        else if (gateway_.servers().apply(*entry, now()))
            log_.write({event_id::server_listed,
                        {{"peer", entry->id},
                         {"service", entry->service},
                         {"data_centre", entry->data_centre},
                         {"state", entry->leaving ? "leaving" : "ready"}}});
    }
    decide([&](auto& out) { gateway_.tick(now(), out); });
}

void daemon::on_server_list(const std::set<std::string>& names)
{
    for (const auto& id : gateway_.servers().listed_ids())
        if (!names.contains(id))
            remove_server(id);
}

// One line when the store is lost and one when it is back, however many calls
// fail in between.
void daemon::on_store_failure(const char* kind, const std::string& text)
{
    store_failed_at_ = now();
    if (store_lost_)
        return;
    store_lost_ = true;
    log_.write({event_id::platform_lost,
                {{"peer", settings_.store_address},
                 {"step", kind},
                 {"reason", text}}});
}

void daemon::note_store_state()
{
    if (!store_lost_ || configuration_.is_failing() || servers_.is_failing())
        return;
    store_lost_ = false;
    log_.write({event_id::platform_back, {{"peer", settings_.store_address}}});
}

void daemon::report_vms()
{
    const auto n = directory_.fleet_size();
    if (n == fleet_size_)
        return;
    fleet_size_ = n;
    log_.write({event_id::vms_counted, {{"vms", std::to_string(n)}}});
}

void daemon::on_vms(const std::vector<gateway::object_change>& all)
{
    for (const auto& it : all)
    {
        if (it.deleted)
        {
            directory_.remove(it.name);
            continue;
        }
        const auto entry = platform::decode_vm(it);
        if (entry)
            directory_.apply(*entry, now());
        else
            log_.write(
                {event_id::object_refused,
                 {{"peer", "store"}, {"reason", to_string(entry.error())}}});
    }
    report_vms();
    set_fleet();
}

void daemon::on_vm_list(const std::set<std::string>& names)
{
    for (const auto& it : directory_.names())
        if (!names.contains(it))
            directory_.remove(it);
    set_fleet();
}

void daemon::arm()
{
    const auto due = std::min({gateway_.next_due(), configuration_.next_due(),
                               servers_.next_due(), vms_.next_due(),
                               registration_.next_due(), sweep_at_});
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
    const auto at = now();
    configuration_.tick(at);
    servers_.tick(at);
    vms_.tick(at);
    registration_.tick(at);
    if (sweep_at_ <= at)
        sweep(at);
    decide([&](auto& out) { gateway_.tick(at, out); });
}

void daemon::sweep(instant at)
{
    sweep_at_ = at + sweep_period;
    upstreams_.sweep(at);
    callers_.sweep(at);
    relays_.sweep(at);
    if (peers_)
        peers_->sweep(at);
    ready_.sweep(at);
    note_store_state();
    serve_spread({}, at);
    log_.flush();
    if (reload_at_ <= at)
        reload();
    if (stopping_)
        stop_if_quiet(at);
}

void daemon::reload()
{
    reload_at_ = now() + reload_period;
    for (const auto& lost : directory_.lapsed(now()))
        registration_.remove(lost);
    settings fresh;
    if (!read_again_(fresh) || fresh == settings_)
        return;
    settings_ = fresh;
    log_.write({event_id::settings_read, {}});
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
    const auto at = now();
    stop_after_ = at + taking_time;
    stop_by_ = at + std::max(settings_.stop_grace - stop_margin, taking_time);
    callers_.announce_close();
    registration_.withdraw();
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
    set_fleet();
    reload_at_ = now() + reload_period;
    sweep_at_ = now() + sweep_period;
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
