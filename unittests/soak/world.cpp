// The world of a soak.
#include "world.hpp"

#include "platform/store.hpp"

#include <algorithm>
#include <fstream>
#include <utility>

namespace mimosacroft::tests
{

namespace
{

using base::instant;
using base::milliseconds;

constexpr auto host = "search.example";
constexpr std::size_t shard_count = 6;
constexpr milliseconds load_period{12};
constexpr milliseconds sweep_period{50};
constexpr milliseconds deadline{2'000};
// A caller that waits longer than this has been forgotten.
constexpr milliseconds forgotten_after{5'000};
// The balancer asks a VM once a second whether it takes requests, and believes
// the second answer: until then a VM that stops must take them.
constexpr milliseconds balancer_delay{2'000};
// A configuration is in force this long after it was written.
constexpr milliseconds in_force_after{3'000};
// A VM that was asked to stop may end this much after its time.
constexpr milliseconds stop_lateness{500};
// Requests that were late when a pause ended are answered within this.
constexpr milliseconds pause_tail{500};
// A VM stops, starts again and serves within this.
constexpr milliseconds planned_time{6'000};
// After the store came back from a copy.
constexpr milliseconds written_again_after{700};
constexpr int lost_revisions = 400;
constexpr unsigned status_ok = 200;

gateway::search_ptr make_search(const std::string& name,
                                gateway::execution_semantics semantics)
{
    gateway::search out;
    out.name = name;
    out.host = host;
    out.path_prefix = "/" + name + "/";
    out.semantics = semantics;
    out.max_attempts = 2;
    out.timeout = deadline;
    out.latency_objective = milliseconds(300);
    out.services = {{"record", 1}};
    return std::make_shared<const gateway::search>(out);
}

gateway::search_ptr make_survey()
{
    gateway::search out;
    out.name = "survey";
    out.host = host;
    out.path_prefix = "/survey/";
    out.semantics = gateway::execution_semantics::idempotent;
    out.max_attempts = 2;
    out.timeout = deadline;
    out.latency_objective = milliseconds(300);
    for (std::size_t n = 0; n < shard_count; ++n)
        out.shards.push_back("shard" + std::to_string(n));
    out.max_records = 5;
    out.min_coverage = 0.5;
    return std::make_shared<const gateway::search>(out);
}

} // namespace

world::world(world_options options)
    : options_(std::move(options)), random_(options_.seed),
      store_at_(free_endpoint()), store_(io_, store_at_),
      callers_(io_, {.on_reply =
                         [this](auto number, http::response&& message)
                     {
                         auto& it = end_of(number);
                         it.answer = decode_caller_answer(message);
                         note_serves(it.vm);
                     },
                     .on_failure = [this](auto number, auto)
                     { end_of(number).broken = true; }})
{
    seen_.budget = {0.2, 40, base::seconds(10)};
    seen_.fleet_size = options_.vms;
    // Other VMs reach a VM through its proxy.
    store_.before_write = [this](const std::string& kind, nlohmann::json& spec)
    {
        if (kind != platform::vms_kind)
            return;
        for (const auto& it : vms_)
            if (spec["address"] == it.settings.peer_address)
                spec["address"] = it.listed_peer;
    };
    make_searches();
    make_servers();
    put_configuration();
    for (std::size_t n = 0; n < options_.vms; ++n)
        make_vm(n);
    for (std::size_t n = 0; n < options_.vms; ++n)
        start_vm(n);
    after(sweep_period, [this] { sweep(); });
}

// On an address of loopback that only this soak uses: there no port is taken by
// the near end of somebody's connection.
http::tcp::endpoint world::free_endpoint()
{
    const auto process = static_cast<unsigned>(::getpid());
    const http::asio::ip::address_v4::bytes_type own = {
        127, static_cast<unsigned char>(1 + process % 250),
        static_cast<unsigned char>(options_.seed >> 8U & 255U),
        static_cast<unsigned char>(options_.seed & 255U)};
    return {http::asio::ip::address_v4(own), ++last_port_};
}

void world::make_searches()
{
    using gateway::execution_semantics;
    searches_ = {make_survey(),
                 make_search("record", execution_semantics::idempotent),
                 make_search("book", execution_semantics::at_most_once)};
}

// Three shards in each data centre, with two servers each: half of a survey is
// far for every VM. Both data centres have servers of the records.
void world::make_servers()
{
    const auto add = [this](const std::string& service, std::size_t n,
                            const std::string& data_centre)
    {
        gateway::server_entry it;
        it.id = service + "-" + std::to_string(n);
        it.service = service;
        it.data_centre = data_centre;
        it.slots = 8;
        it.started_at = 1;
        servers_.push_back(std::make_unique<standin_server>(
            io_, seen_, it, free_endpoint(), free_endpoint()));
        put_server(*servers_.back());
    };
    for (std::size_t shard = 0; shard < shard_count; ++shard)
        for (std::size_t n = 0; n < 2; ++n)
            add("shard" + std::to_string(shard), n,
                shard % 2 == 0 ? "north" : "south");
    for (std::size_t n = 0; n < 3; ++n)
        add("record", n, n % 2 == 0 ? "north" : "south");
}

void world::put_configuration()
{
    std::vector<gateway::search> all;
    for (const auto& it : searches_)
        all.push_back(*it);
    auto versioned = *searches_.at(1);
    versioned.name = "v" + std::to_string(version_);
    versioned.path_prefix = "/" + versioned.name + "/";
    all.push_back(versioned);
    std::vector<gateway::service_settings> services;
    services.push_back({"record", 40});
    for (const auto& it : searches_.front()->shards)
        services.push_back({it, 40});
    store_.put(std::string(platform::configuration_kind),
               configuration_object_name,
               configuration_spec(version_, all, services));
}

void world::make_vm(std::size_t n)
{
    auto& it = vms_.emplace_back();
    it.callers = free_endpoint();
    it.settings.vm = "vm-" + std::to_string(n);
    it.settings.data_centre = n % 2 == 0 ? "north" : "south";
    it.settings.regions = {{"north", "up"}, {"south", "down"}};
    it.settings.caller_address = text_of(it.callers);
    it.settings.ready_address = text_of(free_endpoint());
    const auto own = free_endpoint();
    const auto listed = free_endpoint();
    it.settings.peer_address = text_of(own);
    it.peer_link = std::make_unique<proxy>(io_, listed, own);
    const auto store = free_endpoint();
    it.store_link = std::make_unique<proxy>(io_, store, store_at_);
    it.settings.store_address = text_of(store);
    it.settings.extra = seen_.budget;
    it.settings.stop_grace = milliseconds(5'000);
    it.settings.is_fleet_bootstrap = true;
    it.listed_peer = text_of(listed);
}

void world::write_settings(const vm_state& it) const
{
    const auto path = options_.folder + "/" + it.settings.vm + ".yaml";
    std::ofstream(path) << settings_file_text(it.settings);
}

void world::start_vm(std::size_t n)
{
    auto& it = vms_.at(n);
    write_settings(it);
    const auto path = options_.folder + "/" + it.settings.vm;
    it.running = std::make_unique<process>(
        "mimosa-entry", std::vector<std::string>{"--settings", path + ".yaml"},
        path + ".log", it.starts > 0);
    ++it.starts;
    it.settings.is_fleet_bootstrap = false;
    it.may_be_asked = true;
    seen_.vm_starts.push_back(base::now());
    // Until it answers for the first time.
    it.start_span = seen_.vm_gone[n].size();
    seen_.vm_gone[n].push_back({base::now(), base::never});
}

caller_record& world::end_of(http::exchange_number number)
{
    auto& out = seen_.callers.at(open_.at(number));
    open_.erase(number);
    out.ended = base::now();
    return out;
}

void world::note_serves(std::size_t vm)
{
    auto& span = seen_.vm_gone[vm].at(vms_.at(vm).start_span);
    span.to = std::min(span.to, base::now());
}

void world::run_for(milliseconds length)
{
    io_.run_for(length);
}

void world::after(milliseconds wait, std::function<void()> step)
{
    const auto timer = std::make_shared<http::asio::steady_timer>(io_, wait);
    timer->async_wait([timer, step = std::move(step)](const http::error_code&)
                      { step(); });
}

void world::kill_vm(std::size_t n, milliseconds away)
{
    auto& it = vms_.at(n);
    if (!it.running)
        return;
    it.running.reset();
    seen_.vm_gone[n].push_back({base::now(), base::now() + away});
    after(away, [this, n] { start_vm(n); });
}

void world::stop_vm(std::size_t n)
{
    auto& it = vms_.at(n);
    if (!it.running || !it.may_be_asked)
        return;
    it.running->signal(SIGTERM);
    it.may_be_asked = false;
    const auto at = base::now();
    // From here on new callers may find it closed.
    seen_.vm_gone[n].push_back(
        {at + balancer_delay, at + it.settings.stop_grace});
    watch_stop(n, at + it.settings.stop_grace + stop_lateness);
}

// Until the process is gone, or the time that the platform gives it.
void world::watch_stop(std::size_t n, instant by)
{
    auto& it = vms_.at(n);
    if (!it.running)
        return;
    if (it.running->ended())
    {
        if (const int code = it.running->wait(); code != 0)
            broken_.push_back("VM " + std::to_string(n) + " ended with " +
                              std::to_string(code));
        it.running.reset();
        start_vm(n);
        return;
    }
    if (base::now() > by)
        broken_.push_back("VM " + std::to_string(n) + " does not stop");
    else
        after(sweep_period, [this, n, by] { watch_stop(n, by); });
}

void world::pause_vm(std::size_t n, milliseconds length)
{
    auto& it = vms_.at(n);
    if (!it.running || !it.may_be_asked)
        return;
    it.running->signal(SIGSTOP);
    seen_.vm_paused[n].push_back(
        {base::now(), base::now() + length + pause_tail});
    after(length,
          [this, n]
          {
              if (vms_.at(n).running)
                  vms_.at(n).running->signal(SIGCONT);
          });
}

void world::change_settings(std::size_t n, bool signal)
{
    auto& it = vms_.at(n);
    // Less than the others think it has: the promise holds all the more.
    it.settings.extra.slack = seen_.budget.slack / 2;
    write_settings(it);
    if (it.running && signal)
        it.running->signal(SIGHUP);
}

void world::note_trouble(milliseconds length)
{
    seen_.trouble.push_back({base::now(), base::now() + length});
}

void world::replace_server(std::size_t n)
{
    auto& it = server(n);
    const std::string kind(platform::servers_kind);
    const auto old = it.replace();
    seen_.ended_servers.insert(old);
    store_.remove(kind, old);
    put_server(it);
}

void world::put_server(standin_server& it)
{
    auto spec = server_spec(it.entry());
    spec["sequence"] = ++server_writes_;
    store_.put(std::string(platform::servers_kind), it.entry().id,
               std::move(spec));
}

void world::limit_server(std::size_t n, milliseconds length)
{
    auto& it = server(n);
    it.set_limit(soak_limit);
    seen_.limited[it.entry().id].push_back({base::now(), base::now() + length});
    after(length, [&it] { it.set_limit(0); });
}

void world::note_refusing(const standin_server& it, milliseconds length)
{
    seen_.refusing[it.entry().id].push_back(
        {base::now(), base::now() + length});
}

void world::restore_store(milliseconds age, milliseconds away)
{
    if (std::exchange(restores_, true))
        return;
    note_trouble(age + away + written_again_after);
    after(age,
          [this, copy = store_.copy(), away]
          {
              // Others use the store as well, so revisions go back by many.
              for (int n = 0; n < lost_revisions; ++n)
                  store_.put("unrelated", "object", {{"n", ++unrelated_}});
              store_.set_mode(store_mode::refuses);
              after(away,
                    [this, copy]
                    {
                        store_.restore(*copy);
                        store_.set_mode(store_mode::serves);
                        after(written_again_after, [this] { write_again(); });
                    });
          });
}

void world::write_again()
{
    restores_ = false;
    // Entries of servers that are gone lapse.
    for (const auto& id : seen_.ended_servers)
        store_.remove(std::string(platform::servers_kind), id);
    for (const auto& it : servers_)
        put_server(*it);
    put_configuration();
}

void world::set_leaving(std::size_t n, bool leaving)
{
    auto& it = server(n);
    if (it.entry().leaving == leaving)
        return;
    it.set_leaving(leaving);
    auto& times = seen_.leaving[it.entry().id];
    if (leaving)
        times.push_back({base::now(), base::never});
    else if (!times.empty())
        times.back().to = base::now();
    put_server(it);
}

void world::change_configuration()
{
    ++version_;
    put_configuration();
    after(in_force_after,
          [this, version = version_]
          {
              if (version == version_)
                  probe_configuration();
          });
}

void world::plan_work()
{
    const auto leaving = random_() % servers_.size();
    set_leaving(leaving, true);
    stop_vm(random_() % vms_.size());
    change_configuration();
    run_for(planned_time);
    set_leaving(leaving, false);
}

void world::probe_configuration()
{
    for (std::size_t n = 0; n < vms_.size(); ++n)
        if (vms_.at(n).running && vms_.at(n).may_be_asked)
            seen_.probes.push_back(
                {send(n, nullptr, "/v" + std::to_string(version_) + "/x"),
                 base::now() - in_force_after});
}

void world::set_load(bool on)
{
    if (on && !loads_)
        after(load_period, [this] { send_load(); });
    loads_ = on;
}

void world::send_load()
{
    if (!loads_)
        return;
    const auto vm = random_() % vms_.size();
    const auto& search = searches_.at(random_() % searches_.size());
    if (vms_.at(vm).running && vms_.at(vm).may_be_asked)
        send(vm, search, search->path_prefix + "x");
    after(load_period, [this] { send_load(); });
}

// Gives the number of its record.
std::size_t world::send(std::size_t vm, const gateway::search_ptr& search,
                        const std::string& path)
{
    const auto n = seen_.callers.size();
    caller_record it;
    it.id = "r" + std::to_string(n);
    it.search = search;
    it.vm = vm;
    it.sent = base::now();
    seen_.callers.push_back(it);
    open_[n + 1] = n;
    callers_.send(n + 1, vms_.at(vm).callers,
                  make_caller_request(it.id, host, path, deadline));
    return n;
}

void world::sweep()
{
    const auto at = base::now();
    callers_.sweep(at);
    std::vector<http::exchange_number> late;
    for (const auto& [number, n] : open_)
        if (at - seen_.callers.at(n).sent > forgotten_after)
            late.push_back(number);
    for (const auto number : late)
    {
        end_of(number);
        callers_.drop(number);
    }
    after(sweep_period, [this] { sweep(); });
}

std::size_t world::ask_all()
{
    std::vector<std::size_t> asked;
    for (std::size_t n = 0; n < vms_.size(); ++n)
        for (const auto& search : searches_)
            asked.push_back(send(n, search, search->path_prefix + "x"));
    const auto is_served = [this](std::size_t n)
    {
        const auto& answer = seen_.callers.at(n).answer;
        return answer && answer->status == status_ok;
    };
    const auto due = base::now() + deadline + milliseconds(500);
    while (base::now() < due && !std::ranges::all_of(asked, is_served))
        run_for(sweep_period);
    return static_cast<std::size_t>(std::ranges::count_if(asked, is_served));
}

std::vector<std::string> world::broken() const
{
    auto out = broken_;
    std::ranges::copy(seen_.check(), std::back_inserter(out));
    return out;
}

} // namespace mimosacroft::tests
