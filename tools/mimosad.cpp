// mimosad: the daemon of an entry VM.
#include "mimosacroft/base/crypto.hpp"
#include "mimosacroft/base/large_blocks.hpp"
#include "mimosacroft/base/text.hpp"
#include "mimosacroft/daemon/caller_api.hpp"
#include "mimosacroft/daemon/event_log.hpp"
#include "mimosacroft/daemon/operator_api.hpp"
#include "mimosacroft/daemon/serve.hpp"
#include "mimosacroft/daemon/settings.hpp"
#include "mimosacroft/daemon/status_page.hpp"
#include "mimosacroft/http/process_limits.hpp"
#include "mimosacroft/net/http_server.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <optional>
#include <thread>

namespace
{

using namespace mimosacroft;
using daemon::setting_kind;

std::string problem_of(const daemon::settings& s);

// Of the connections that may be accepted, this part is for links of VMs that
// have not proved yet that they are of the fleet.
constexpr std::size_t strange_links_divisor = 4;

const daemon::program this_program = {
    "mimosad",
    "The entry VM's daemon of mimosacroft",
    {
        {.name = "vm",
         .help = "id of this VM, unique in the fleet",
         .required = true},
        {.name = "data-centre",
         .help = "data centre of this VM",
         .required = true},
        {.name = "http-address",
         .kind = setting_kind::address,
         .fallback = "127.0.0.1:8080",
         .help = "address for callers and operators"},
        {.name = "peer-address",
         .kind = setting_kind::address,
         .fallback = "127.0.0.1:8090",
         .help = "address for the other VMs"},
        {.name = "platform-address",
         .kind = setting_kind::address,
         .help = "address of the platform's object API",
         .required = true},
        {.name = "seeds",
         .help = "VMs to ask while the platform is away: "
                 "id,data-centre,peer-address;..."},
        {.name = "peer-secret",
         .help = "secret shared by the fleet",
         .required = true,
         .secret = true},
        {.name = "operator-token-sha256",
         .help = "SHA-256 of the operators' token, in hexadecimal",
         .required = true},
        {.name = "http-threads",
         .kind = setting_kind::number,
         .fallback = "200",
         .help = "requests of callers at once",
         .least = 4,
         .most = 2000},
        {.name = "max-body-bytes",
         .kind = setting_kind::number,
         .fallback = "1048576",
         .help = "largest body of a request",
         .least = 1024,
         .most = 64 << 20},
        {.name = "memory-mb",
         .kind = setting_kind::number,
         .fallback = "512",
         .help = "memory of the process in MiB; what callers and servers may "
                 "make it hold is a part of it",
         .least = 64,
         .most = 1 << 20},
        {.name = "max-descriptors",
         .kind = setting_kind::number,
         .fallback = "4096",
         .help = "descriptors of the process, 200 of which are for files; a "
                 "third of the others is for callers and other VMs",
         .least = 300,
         .most = 1 << 20},
        {.name = "max-frame-bytes",
         .kind = setting_kind::number,
         .fallback = "4194304",
         .help = "largest frame of a peer",
         .least = 1024,
         .most = 64 << 20},
        {.name = "view-ttl-ms",
         .kind = setting_kind::number,
         .fallback = "1500",
         .help = "an unconfirmed list of VMs is not acted on after this",
         .least = 100,
         .most = 60'000},
        {.name = "handover-wait-ms",
         .kind = setting_kind::number,
         .fallback = "3500",
         .help = "from gaining an upstream to using it; at least twice "
                 "view-ttl-ms",
         .least = 0,
         .most = 120'000},
        {.name = "claim-retention-s",
         .kind = setting_kind::number,
         .fallback = "86400",
         .help = "a key may be sent again for this time after the one that it "
                 "states; the same on all VMs",
         .least = static_cast<std::uint64_t>(query::least_retention.count()),
         .most = static_cast<std::uint64_t>(query::longest_retention.count())},
        {.name = "claim-sweep-period-s",
         .kind = setting_kind::number,
         .fallback = "60",
         .help = "about once in this time one VM of the fleet removes old "
                 "claims; more often while claims are made",
         .least = 1,
         .most = 3600},
        {.name = "require-dated-keys",
         .kind = setting_kind::flag,
         .fallback = "false",
         .help = "refuses idempotency keys that do not state their time; "
                 "claims of such keys are never removed"},
        {.name = "hedging",
         .kind = setting_kind::flag,
         .fallback = "true",
         .help = "sends a second request to another replica when one is slow"},
        {.name = "replica-choice",
         .kind = setting_kind::flag,
         .fallback = "true",
         .help = "chooses replicas by latency and load"},
        {.name = "ejection",
         .kind = setting_kind::flag,
         .fallback = "true",
         .help = "keeps servers that fail again and again out for a while"},
        {.name = "priorities",
         .kind = setting_kind::flag,
         .fallback = "true",
         .help = "serves urgent requests and early deadlines first"},
        {.name = "drain-grace-ms",
         .kind = setting_kind::number,
         .fallback = "2000",
         .help = "after a signal to stop: searches are still taken for this "
                 "time, until the balancer has seen /ready refuse",
         .least = 0,
         .most = 60'000},
    },
    {},
    problem_of};

wire::http_reply plain(unsigned status, std::string text)
{
    wire::http_reply out;
    out.status = status;
    out.headers["content-type"] = "text/plain; charset=utf-8";
    out.body = std::move(text);
    return out;
}

// Counts the requests that callers and operators have on their way, and knows
// whether the process stops.
class front_door
{
public:
    /// Answers one request; an unexpected failure is an error of this one only.
    template <typename Fn>
    wire::http_reply serve(Fn fn)
    {
        ++running_;
        auto out = guarded(fn);
        if (stopping_)
            out.headers["connection"] = "close";
        last_end_ = std::chrono::steady_clock::now();
        --running_;
        return out;
    }

    void stop() { stopping_ = true; }
    bool stopping() const { return stopping_; }

    /// Waits until no request has come for a while: replies that are written
    /// meanwhile, and requests that were on their way, are not cut.
    void wait_until_quiet() const
    {
        const auto due = std::chrono::steady_clock::now() + quiet_limit;
        while (std::chrono::steady_clock::now() < due && !quiet())
            std::this_thread::sleep_for(quiet_check);
    }

private:
    static constexpr base::milliseconds quiet_time{300};
    static constexpr base::milliseconds quiet_limit{3000};
    static constexpr base::milliseconds quiet_check{10};

    template <typename Fn>
    static wire::http_reply guarded(Fn fn)
    {
        try
        {
            return fn();
        }
        catch (const std::exception& ex)
        {
            daemon::write({core::event_id::handler_failed,
                           {{"step", "answer"}, {"reason", ex.what()}}});
            return daemon::refusal(500, "the request failed inside this VM");
        }
    }

    bool quiet() const
    {
        return running_ == 0 &&
               std::chrono::steady_clock::now() - last_end_.load() >=
                   quiet_time;
    }

    std::atomic<int> running_{0};
    std::atomic<bool> stopping_{false};
    std::atomic<base::instant> last_end_{std::chrono::steady_clock::now()};
};

wire::http_reply ready(daemon::runtime& rt, const front_door& door)
{
    const bool configured =
        rt.call([&] { return rt.node().fleet().store().through() > 0; });
    if (door.stopping())
        return plain(wire::status_unavailable, "stopping\n");
    return configured
               ? plain(wire::status_ok, "ready\n")
               : plain(wire::status_unavailable, "no configuration yet\n");
}

wire::http_reply route(daemon::runtime& rt, const front_door& door,
                       const daemon::operator_options& options,
                       const wire::http_request& request)
{
    const auto& path = request.path;
    if (path.starts_with("/v1/searches/"))
        return daemon::handle_search(rt, request);
    if (path.starts_with("/v1/resources"))
        return daemon::handle_resources(rt, options, request);
    if (path.starts_with("/v1/traces/"))
        return daemon::handle_trace(rt, options, request);
    if (path == "/v1/status")
        return daemon::handle_status(rt, options, request);
    if (path == "/metrics")
        return plain(wire::status_ok, rt.metrics().render());
    if (path == "/ready")
        return ready(rt, door);
    if (path == "/")
        return plain(wire::status_ok,
                     rt.call([&] { return daemon::status_text(rt); }));
    return daemon::refusal(wire::status_not_found,
                           "nothing is at the path " + path);
}

// Rows "id,data-centre,address" with ";" between; nothing if one has another
// form.
std::optional<std::vector<wire::view_entry>> seeds_of(const std::string& text)
{
    std::vector<wire::view_entry> out;
    for (const auto& row : base::split(text, ';'))
    {
        const auto parts = base::split(row, ',');
        if (parts.size() != 3 || parts[0].empty() || parts[1].empty() ||
            !base::is_address(parts[2]))
            return std::nullopt;
        out.push_back({parts[0], parts[1], parts[2], false});
    }
    return out;
}

// A VM that loses an upstream may act on its view for one time to live, and the
// requests that it sent under it end within another one.
std::string problem_of(const daemon::settings& s)
{
    const auto least = 2 * s.number("view-ttl-ms");
    if (s.number("handover-wait-ms") < least)
        return daemon::refused_setting(
            "handover-wait-ms", s.find("handover-wait-ms"),
            "a whole number from " + std::to_string(least) +
                ", twice view-ttl-ms");
    if (!seeds_of(s.text("seeds")))
        return daemon::refused_setting("seeds", s.find("seeds"),
                                       "id,data-centre,ip:port;...");
    return {};
}

fleet::agent_options agent_options_of(const daemon::settings& s,
                                      std::uint64_t incarnation)
{
    fleet::agent_options out;
    out.vm = s.text("vm");
    out.data_centre = s.text("data-centre");
    out.incarnation = incarnation;
    out.platform_address = s.text("platform-address");
    out.peer_address = s.text("peer-address");
    out.seeds = *seeds_of(s.text("seeds"));
    out.ownership.view_ttl = base::milliseconds(s.number("view-ttl-ms"));
    out.ownership.handover_wait =
        base::milliseconds(s.number("handover-wait-ms"));
    return out;
}

node::node_options node_options_of(const daemon::settings& s)
{
    node::node_options out;
    out.leaf.hedging = s.flag("hedging");
    out.leaf.replica_choice = s.flag("replica-choice");
    out.leaf.ejection = s.flag("ejection");
    out.leaf.priorities = s.flag("priorities");
    out.claim_retention = base::seconds(s.number("claim-retention-s"));
    out.require_dated_keys = s.flag("require-dated-keys");
    out.claim_sweep_period = base::seconds(s.number("claim-sweep-period-s"));
    return out;
}

http::process_limits limits_of(const daemon::settings& s)
{
    constexpr std::size_t file_descriptors = 200;
    const auto stated = s.number("max-descriptors") - file_descriptors;
    return http::limits_for(
        s.number("memory-mb") << 20U,
        std::min<std::size_t>(stated, http::allowed_sockets()));
}

net::peer_transport_options peer_options_of(const daemon::settings& s,
                                            std::uint64_t incarnation)
{
    net::peer_transport_options out;
    out.listen_address = daemon::host_of(s.text("peer-address"));
    out.listen_port = daemon::port_of(s.text("peer-address"));
    out.vm = s.text("vm");
    out.incarnation = incarnation;
    out.secret = s.text("peer-secret");
    out.max_frame_bytes = s.number("max-frame-bytes");
    out.max_strange_links = limits_of(s).accepted / strange_links_divisor;
    return out;
}

net::http_server_options http_options_of(const daemon::settings& s)
{
    net::http_server_options out;
    out.address = daemon::host_of(s.text("http-address"));
    out.port = daemon::port_of(s.text("http-address"));
    out.max_threads = static_cast<unsigned>(s.number("http-threads"));
    out.max_body_bytes = s.number("max-body-bytes");
    const auto limits = limits_of(s);
    out.budget_bytes = limits.budget_bytes;
    out.max_connections =
        limits.accepted - limits.accepted / strange_links_divisor;
    return out;
}

void note_turned_away(daemon::runtime& rt, std::string_view reason,
                      std::uint64_t count)
{
    rt.metrics().add(
        base::with_label("mimosa_callers_turned_away_total", "reason", reason),
        count);
    daemon::write(
        {core::event_id::callers_turned_away,
         {{"reason", std::string(reason)}, {"count", std::to_string(count)}}});
}

// Waits for a signal to stop, and then until nothing is in flight. The ready
// check refuses first, then the peers hear it.
void serve_until_stopped(daemon::runtime& rt, front_door& door,
                         base::milliseconds grace, const sigset_t& signals)
{
    const int number = daemon::wait_for_signal(signals);
    daemon::write(
        {core::event_id::stopping, {{"signal", std::to_string(number)}}});
    door.stop();
    std::promise<void> idle;
    rt.drain(grace, [&idle] { idle.set_value(); });
    idle.get_future().wait();
    door.wait_until_quiet();
}

int run(const daemon::settings& s)
{
    const auto signals = daemon::block_stop_signals();
    const auto incarnation = base::random_u64();
    daemon::runtime rt(agent_options_of(s, incarnation),
                       peer_options_of(s, incarnation), node_options_of(s),
                       limits_of(s).unfinished_answer_bytes);
    const daemon::operator_options operators{s.text("operator-token-sha256"),
                                             s.text("platform-address")};
    front_door door;
    std::thread loop([&rt] { rt.run(); });
    int code = EXIT_SUCCESS;
    try
    {
        // Destroyed before the loop stops: its handlers wait for the loop.
        auto options = http_options_of(s);
        options.on_turned_away =
            [&rt](std::string_view reason, std::uint64_t count)
        { note_turned_away(rt, reason, count); };
        const net::http_server server(
            options,
            [&](const wire::http_request& request)
            {
                return door.serve(
                    [&] { return route(rt, door, operators, request); });
            });
        daemon::write({core::event_id::started,
                       {{"vm", s.text("vm")},
                        {"http", s.text("http-address")},
                        {"peers", s.text("peer-address")}}});
        serve_until_stopped(
            rt, door, base::milliseconds(s.number("drain-grace-ms")), signals);
    }
    catch (const std::exception& ex)
    {
        std::fprintf(stderr, "mimosad: %s\n", ex.what());
        code = EXIT_FAILURE;
    }
    rt.stop();
    loop.join();
    daemon::write({core::event_id::stopped, {}});
    return code;
}

} // namespace

int main(int argc, char** argv)
{
    base::return_large_blocks();
    const auto settings = daemon::settings_or_exit(this_program, argc, argv);
    daemon::start_log();
    try
    {
        return run(settings);
    }
    catch (const std::exception& ex)
    {
        std::fprintf(stderr, "mimosad: %s\n", ex.what());
        return EXIT_FAILURE;
    }
}
