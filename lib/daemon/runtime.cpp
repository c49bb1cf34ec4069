// Runs a node with sockets and timers.
#include "mimosacroft/daemon/runtime.hpp"

#include "mimosacroft/base/clock.hpp"
#include "mimosacroft/base/crypto.hpp"
#include "mimosacroft/daemon/event_log.hpp"
#include "mimosacroft/daemon/wall_clock.hpp"

#include <algorithm>
#include <cstdlib>
#include <optional>

namespace mimosacroft::daemon
{

namespace
{

/// How often a draining VM looks whether it is idle.
constexpr base::milliseconds drain_check{10};

// The text of the exception that ends `fn`, if one does.
template <typename Fn>
std::optional<std::string> failure_of(const Fn& fn)
{
    try
    {
        fn();
    }
    catch (const std::exception& ex)
    {
        return ex.what();
    }
    return std::nullopt;
}

/// Servers that did not reply for longer are forgotten.
constexpr base::seconds server_memory{3600};

/// The longest wait for a peer that does not read what it was sent.
constexpr base::milliseconds flush_limit{2000};

} // namespace

runtime::runtime(fleet::agent_options fleet, net::peer_transport_options peers,
                 node::node_options options, std::size_t max_unfinished_bytes)
    : node_(std::move(fleet), base::random_u64(), options),
      http_(loop_, max_unfinished_bytes),
      peers_(loop_, std::move(peers),
             {[this](const std::string& vm, std::uint64_t incarnation,
                     wire::message msg)
              {
                  step(
                      [&](base::instant t, core::effects& out)
                      {
                          node_.on_message(vm, incarnation, std::move(msg), t,
                                           out);
                      });
              },
              [this](const std::string& vm, bool was_up)
              {
                  step([&](base::instant t, core::effects& out)
                       { node_.on_link_down(vm, was_up, t, out); });
              },
              [this](const base::error& reason)
              {
                  metrics_.add("mimosa_peer_links_refused_total");
                  write({core::event_id::link_refused,
                         {{"peer", reason.peer},
                          {"step", std::string(base::name_of(reason.at))},
                          {"reason", reason.text}}});
              }})
{
}

void runtime::run()
{
    loop_.on_failure([this](const std::string& what) { report_failure(what); });
    loop_.post(
        [this]
        {
            step([this](base::instant t, core::effects& out)
                 { node_.on_tick(t, out); });
        });
    loop_.run();
}

void runtime::stop()
{
    loop_.stop();
}

void runtime::step(const std::function<void(base::instant, core::effects&)>& fn)
{
    core::effects out;
    // What was decided before an exception is still carried out.
    node_.on_wall_clock(seconds_since_1970(), base::now());
    const auto failure = failure_of([&] { fn(base::now(), out); });
    for (auto& it : out)
        carry_out(it);
    deliver_answers();
    note_status();
    arm_timer();
    if (failure)
        report_failure(*failure);
}

void runtime::report_failure(const std::string& what)
{
    carry_out(core::log_event{core::event_id::handler_failed,
                              {{"step", "loop"}, {"reason", what}}});
}

void runtime::carry_out(core::effect& it)
{
    std::visit([this](auto& e) { carry_out(e); }, it);
}

void runtime::carry_out(core::send_peer& it)
{
    peers_.send(it.vm, it.address, it.msg);
}

void runtime::carry_out(core::http_call& it)
{
    const call_key key(it.owner, it.id);
    const auto on_reply =
        [this, key, address = it.address](base::result<wire::http_reply> reply)
    {
        calls_.erase(key);
        if (reply && key.first == core::call_owner::leaf)
            note_server(address);
        step([&](base::instant t, core::effects& out)
             { node_.on_http_reply(key.first, key.second, reply, t, out); });
    };
    metrics_.add(it.owner == core::call_owner::leaf
                     ? "mimosa_upstream_calls_total"
                     : "mimosa_platform_calls_total");
    calls_[key] = http_.call(it.address, it.request,
                             {it.deadline, it.fresh_connection}, on_reply);
}

void runtime::carry_out(const core::abandon_call& it)
{
    const auto found = calls_.find({it.owner, it.id});
    if (found == calls_.end())
        return;
    http_.abandon(found->second);
    calls_.erase(found);
}

void runtime::carry_out(const core::log_event& it)
{
    metrics_.add("mimosa_events_total{event=\"" +
                 std::string(core::describe(it.id).name) + "\"}");
    if (it.id == core::event_id::platform_older)
        note_older_store(it);
    write(it);
}

void runtime::note_older_store(const core::log_event& it)
{
    const auto version = std::ranges::find(
        it.fields, "version", &decltype(it.fields)::value_type::first);
    platform_older_ = {std::strtoull(version->second.c_str(), nullptr, 10),
                       node_.fleet().store().through(), base::now()};
}

void runtime::note_server(const std::string& address)
{
    const bool known = servers_heard_.contains(address);
    servers_heard_[address] = base::now();
    if (!known)
        std::erase_if(servers_heard_, [](const auto& it)
                      { return base::now() - it.second > server_memory; });
}

base::instant runtime::server_heard(const std::string& address) const
{
    const auto it = servers_heard_.find(address);
    return it == servers_heard_.end() ? base::never : it->second;
}

void runtime::deliver_answers()
{
    for (auto& answer : node_.take_answers())
    {
        metrics_.add("mimosa_queries_total{outcome=\"" +
                     std::string(base::name_of(answer.outcome)) + "\"}");
        metrics_.observe_seconds("mimosa_query_seconds",
                                 base::to_seconds(answer.took));
        metrics_.observe_share("mimosa_query_coverage",
                               query::coverage_of(answer));
        traces_.put(answer);
        recent_.add(answer, base::now());
        const auto it = waiting_.find(answer.ticket);
        if (it == waiting_.end())
            continue;
        it->second.set_value(std::move(answer));
        waiting_.erase(it);
    }
}

// Keeps the facts of the status page that have an age, and the gauges.
void runtime::note_status()
{
    const auto version = node_.fleet().store().through();
    if (version != config_version_)
    {
        config_version_ = version;
        config_changed_ = base::now();
        metrics_.set("mimosa_config_version", static_cast<double>(version));
    }
    // A change beyond what was in force shows that the store has caught up.
    if (platform_older_ && version > platform_older_->in_force)
        platform_older_.reset();
    metrics_.set("mimosa_platform_ok", node_.fleet().platform_ok() ? 1 : 0);
    metrics_.set("mimosa_claims_removed_total",
                 static_cast<double>(node_.claim_sweeper().removed()));
    metrics_.set("mimosa_platform_calls_held_back",
                 static_cast<double>(node_.fleet().platform().held_back()));
    metrics_.set("mimosa_open_requests",
                 static_cast<double>(node_.root().open()));
}

void runtime::arm_timer()
{
    const auto due = node_.next_wakeup();
    if (due >= armed_)
        return;
    armed_ = due;
    loop_.at(due,
             [this, due]
             {
                 if (armed_ != due)
                     return;
                 armed_ = base::never;
                 step([this](base::instant t, core::effects& out)
                      { node_.on_tick(t, out); });
             });
}

query::search_answer runtime::search(query::search_request request)
{
    std::promise<query::search_answer> done;
    auto answer = done.get_future();
    loop_.post(
        [this, &request, &done]
        {
            request.ticket = ++last_ticket_;
            const auto ticket = request.ticket;
            waiting_.emplace(ticket, std::move(done));
            step(
                [&](base::instant t, core::effects& out)
                {
                    try
                    {
                        node_.on_search(std::move(request), t, out);
                    }
                    catch (...)
                    {
                        fail_search(ticket, std::current_exception());
                        throw;
                    }
                });
        });
    return answer.get();
}

void runtime::fail_search(std::uint64_t ticket, std::exception_ptr why)
{
    const auto it = waiting_.find(ticket);
    if (it == waiting_.end())
        return;
    it->second.set_exception(std::move(why));
    waiting_.erase(it);
}

base::result<wire::http_reply> runtime::exchange(const std::string& address,
                                                 wire::http_request request,
                                                 base::milliseconds timeout)
{
    std::promise<base::result<wire::http_reply>> done;
    loop_.post(
        [&]
        {
            http_.call(address, request, {base::now() + timeout, true},
                       [&done](auto reply)
                       { done.set_value(std::move(reply)); });
        });
    return done.get_future().get();
}

void runtime::ask_behind(std::uint64_t version)
{
    step([this, version](base::instant t, core::effects& out)
         { node_.ask_behind(version, t, out); });
}

void runtime::drain(base::milliseconds grace, std::function<void()> fn)
{
    loop_.post(
        [this, grace, fn = std::move(fn)]
        {
            on_drained_ = fn;
            step([this](base::instant t, core::effects& out)
                 { node_.begin_drain(t, out); });
            loop_.at(base::now() + grace,
                     [this]
                     {
                         node_.refuse_searches();
                         check_drained();
                     });
        });
}

void runtime::check_drained()
{
    if (node_.idle() && waiting_.empty())
        return await_flush(base::now() + flush_limit);
    loop_.at(base::now() + drain_check, [this] { check_drained(); });
}

void runtime::await_flush(base::instant due)
{
    if (peers_.flushed() || base::now() >= due)
        return on_drained_();
    loop_.at(base::now() + drain_check, [this, due] { await_flush(due); });
}

} // namespace mimosacroft::daemon
