// Entry VMs in one process with virtual time.
#include "mimosacroft/load/testbed.hpp"

#include "mimosacroft/model/schema.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace mimosacroft::load
{

namespace
{

using nlohmann::json;

constexpr base::microseconds platform_delay{3000};
/// How long the platform's list goes on naming a VM that is gone.
constexpr base::milliseconds list_lag{2000};
/// How long the balancer goes on sending to a VM that is gone.
constexpr base::milliseconds rotation_lag{500};
/// A caller waits so much longer than its deadline.
constexpr base::milliseconds caller_slack{1000};
constexpr base::milliseconds default_deadline{300};
/// Least time between two ticks of a VM.
constexpr base::microseconds tick_step{50};

wire::http_reply ok(const json& body)
{
    wire::http_reply out;
    out.headers["content-type"] = "application/json";
    out.body = body.dump();
    return out;
}

std::uint64_t query_number(const std::string& query, const std::string& name)
{
    const auto at = query.find(name + "=");
    return at == std::string::npos
               ? 0
               : std::strtoull(query.c_str() + at + name.size() + 1, nullptr,
                               10);
}

} // namespace

testbed::testbed(testbed_options options)
    : options_(std::move(options)), random_(options_.seed)
{
    std::uint64_t seed = options_.seed;
    for (const auto& dc : options_.data_centres)
    {
        regions_[dc.name] = dc.region;
        for (std::size_t n = 1; n <= dc.vms; ++n)
        {
            fleet::agent_options fleet;
            fleet.vm = dc.name + "-" + std::to_string(n);
            fleet.data_centre = dc.name;
            fleet.incarnation = ++seed * 1000;
            fleet.platform_address = "platform";
            entry_vm made;
            made.name = fleet.vm;
            made.data_centre = dc.name;
            made.node = options_.make_node(std::move(fleet), seed);
            vms_.push_back(std::move(made));
        }
    }
    for (std::size_t n = 0; n < vms_.size(); ++n)
        give(n, [](node::node& it, base::instant now, core::effects& out)
             { it.on_tick(now, out); });
}

base::duration testbed::vary(base::microseconds it)
{
    std::uniform_real_distribution more(0.0, options_.delays.jitter);
    const auto extra = static_cast<double>(it.count()) * more(random_);
    return it + base::microseconds(static_cast<std::int64_t>(extra));
}

base::duration testbed::delay(const std::string& from, const std::string& to)
{
    const auto& d = options_.delays;
    if (from == to)
        return vary(d.inside);
    return vary(regions_.at(from) == regions_.at(to) ? d.between : d.regions);
}

void testbed::add_servers(const model::upstream& it)
{
    for (const auto& server : it.servers)
    {
        upstream_of_[server.name] = it;
        addresses_[server.address] = server.name;
        auto traits = options_.servers;
        traits.slots = it.slots;
        if (!servers_.contains(server.name))
            servers_[server.name] = std::make_unique<model_server>(
                server.name, traits, options_.seed * 7919 + servers_.size());
    }
}

void testbed::declare(const model::resource& value)
{
    if (const auto* it = std::get_if<model::upstream>(&value))
        add_servers(*it);
    if (const auto* it = std::get_if<model::search>(&value))
        if (!it->repeatable)
            once_only_.insert(it->name);
    if (const auto* it = std::get_if<model::index>(&value))
        for (const auto& shard : it->shards)
            shards_[{it->name, it->epoch}].insert(shard.name);
    const auto is_same = [&value](const auto& item)
    {
        return model::kind_of(item.second) == model::kind_of(value) &&
               model::name_of(item.second) == model::name_of(value);
    };
    const auto version = objects_.empty() ? 1 : objects_.back().first + 1;
    std::erase_if(objects_, is_same);
    objects_.emplace_back(version, value);
    for (const auto& it : std::exchange(watches_, {}))
        if (const auto call = calls_.find(it.call); call != calls_.end())
            reply(it.call,
                  ok(json::parse(changes_after(call->second.vm, it.after))));
}

std::string testbed::changes_after(std::size_t vm, std::uint64_t version) const
{
    const auto& dc = vms_[vm].data_centre;
    const auto fleet_in_dc = static_cast<std::uint32_t>(
        std::ranges::count(vms_, dc, &entry_vm::data_centre));
    auto list = json::array();
    for (const auto& [at, value] : objects_)
    {
        if (at <= version)
            continue;
        auto own = value;
        auto* upstream = std::get_if<model::upstream>(&own);
        if (upstream && options_.even_shares)
            upstream->slots /= fleet_in_dc;
        list.push_back({{"kind", base::name_of(model::kind_of(own))},
                        {"name", model::name_of(own)},
                        {"version", at},
                        {"deleted", false},
                        {"value", json::parse(model::to_json(own))}});
    }
    const auto through = objects_.empty() ? 0 : objects_.back().first;
    return json{{"version", through}, {"objects", list}}.dump();
}

std::string testbed::vms_for(std::size_t vm) const
{
    auto list = json::array();
    for (std::size_t n = 0; n < vms_.size(); ++n)
    {
        const auto& it = vms_[n];
        const bool near = it.data_centre == vms_[vm].data_centre;
        if (delisted_.contains(n) || (options_.even_shares && near && n != vm))
            continue;
        list.push_back({{"vm", it.name},
                        {"data_centre", it.data_centre},
                        {"peer_address", it.name},
                        {"leaving", false}});
    }
    return json{{"version", list_version_}, {"vms", list}}.dump();
}

std::optional<std::size_t> testbed::find_vm(const std::string& name) const
{
    const auto it = std::ranges::find(vms_, name, &entry_vm::name);
    if (it == vms_.end())
        return std::nullopt;
    return static_cast<std::size_t>(it - vms_.begin());
}

// Hands an input to a VM; a paused one gets it when it goes on.
void testbed::give(std::size_t vm, input fn)
{
    auto& it = vms_[vm];
    if (!it.alive)
        return;
    if (it.paused)
        it.held.emplace_back([this, vm, fn = std::move(fn)] { step(vm, fn); });
    else
        step(vm, fn);
}

void testbed::step(std::size_t vm, const input& fn)
{
    core::effects out;
    fn(*vms_[vm].node, time_.now(), out);
    for (auto& it : out)
        std::visit([this, vm](auto& e) { carry_out(vm, e); }, it);
    take_answers(vm);
    arm(vm);
}

void testbed::arm(std::size_t vm)
{
    auto& it = vms_[vm];
    const auto wanted = it.node->next_wakeup();
    if (wanted == base::never)
        return;
    const auto due = std::max(wanted, time_.now() + tick_step);
    if (due >= it.armed)
        return;
    it.armed = due;
    time_.at(due,
             [this, vm, due]
             {
                 if (vms_[vm].armed != due)
                     return;
                 vms_[vm].armed = base::never;
                 give(vm, [](node::node& n, base::instant now,
                             core::effects& out) { n.on_tick(now, out); });
             });
}

void testbed::carry_out(std::size_t vm, core::send_peer& it)
{
    const auto to = find_vm(it.vm);
    if (!to)
        return;
    const auto& from = vms_[vm];
    const auto wait = delay(from.data_centre, vms_[*to].data_centre);
    if (!vms_[*to].alive)
    {
        time_.after(2 * wait,
                    [this, vm, name = it.vm]
                    {
                        give(vm, [name](node::node& n, base::instant now,
                                        core::effects& out)
                             { n.on_link_down(name, false, now, out); });
                    });
        return;
    }
    // A link keeps the order of its messages.
    auto& last = link_busy_[{vm, *to}];
    last = std::max(last, time_.now() + wait);
    const auto incarnation = from.node->fleet().options().incarnation;
    time_.at(
        last,
        [this, to = *to, name = from.name, incarnation, msg = std::move(it.msg)]
        {
            give(to, [name, incarnation, msg](node::node& n, base::instant now,
                                              core::effects& out)
                 { n.on_message(name, incarnation, msg, now, out); });
        });
}

void testbed::carry_out(std::size_t vm, core::http_call& it)
{
    const auto number = ++last_call_;
    const call_key key(it.owner, it.id);
    calls_[number] = {vm, key, {}, {}, it.fresh_connection};
    vms_[vm].calls[key] = number;
    time_.at(it.deadline,
             [this, vm, key, number]
             {
                 const auto open = vms_[vm].calls.find(key);
                 if (open != vms_[vm].calls.end() && open->second == number)
                     expire(vm, key);
             });
    const auto server = addresses_.find(it.address);
    if (server != addresses_.end())
        call_server(vm, number, it, server->second);
    else
        time_.after(platform_delay,
                    [this, number, it] { call_platform(number, it); });
}

// Connects if no connection is idle, then sends.
void testbed::call_server(std::size_t vm, std::uint64_t number,
                          const core::http_call& it, const std::string& server)
{
    auto& call = calls_.at(number);
    call.server = server;
    if (auto read = decode_subqueries(it.request.body))
        call.subqueries = std::move(*read);
    const auto& upstream = upstream_of_.at(server);
    auto wait = delay(vms_[vm].data_centre, upstream.data_centre);
    auto& idle = vms_[vm].idle[server];
    if (idle > 0 && !it.fresh_connection)
        --idle;
    else
    {
        wait += base::milliseconds(upstream.connect_ms);
        if (++connections_[server] > upstream.connections)
            ++over_connections_;
    }
    time_.after(wait, [this, number] { arrive(number); });
}

void testbed::arrive(std::uint64_t number)
{
    const auto it = calls_.find(number);
    if (it == calls_.end())
        return;
    auto& server = *servers_.at(it->second.server);
    const auto taken = server.begin(number, it->second.subqueries);
    if (taken.holds_slot)
        count_runs(it->second.subqueries);
    const auto subqueries = it->second.subqueries;
    time_.after(taken.time,
                [this, number, subqueries, &server]
                {
                    if (auto made = server.finish(number, subqueries))
                        reply(number, std::move(*made));
                });
}

void testbed::count_runs(
    const std::vector<query::upstream_subquery>& subqueries)
{
    for (const auto& it : subqueries)
        if (once_only_.contains(it.search))
            if (++runs_[it.search + " " + it.shard + " " + it.body] > 1)
                ++duplicate_runs_;
}

void testbed::reply(std::uint64_t number, wire::http_reply made)
{
    const auto it = calls_.find(number);
    if (it == calls_.end())
        return;
    const auto& call = it->second;
    const auto wait = call.server.empty()
                          ? platform_delay
                          : delay(upstream_of_.at(call.server).data_centre,
                                  vms_[call.vm].data_centre);
    time_.after(wait,
                [this, number, made = std::move(made)]
                {
                    const auto found = calls_.find(number);
                    if (found == calls_.end())
                        return;
                    const auto vm = found->second.vm;
                    give(vm,
                         [this, vm, number, made](node::node& n,
                                                  base::instant now,
                                                  core::effects& out)
                         {
                             const auto open = calls_.find(number);
                             if (open == calls_.end())
                                 return;
                             const auto call = std::move(open->second);
                             calls_.erase(open);
                             vms_[vm].calls.erase(call.key);
                             if (call.fresh)
                                 drop_connection(call.server);
                             else if (!call.server.empty())
                                 ++vms_[vm].idle[call.server];
                             n.on_http_reply(call.key.first, call.key.second,
                                             made, now, out);
                         });
                });
}

void testbed::drop_connection(const std::string& server)
{
    if (!server.empty())
        --connections_[server];
}

// Ends a call from the VM's side: its connection is closed.
void testbed::close(std::size_t vm, std::uint64_t number)
{
    const auto it = calls_.find(number);
    if (it == calls_.end())
        return;
    const auto call = std::move(it->second);
    calls_.erase(it);
    vms_[vm].calls.erase(call.key);
    if (call.server.empty())
        return;
    const auto wait =
        delay(vms_[vm].data_centre, upstream_of_.at(call.server).data_centre);
    time_.after(wait,
                [this, number, server = call.server]
                {
                    servers_.at(server)->cancel(number);
                    drop_connection(server);
                });
}

void testbed::carry_out(std::size_t vm, const core::abandon_call& it)
{
    const auto found = vms_[vm].calls.find({it.owner, it.id});
    if (found != vms_[vm].calls.end())
        close(vm, found->second);
}

void testbed::expire(std::size_t vm, const call_key& key)
{
    give(vm,
         [this, vm, key](node::node& n, base::instant now, core::effects& out)
         {
             const auto found = vms_[vm].calls.find(key);
             if (found == vms_[vm].calls.end())
                 return;
             close(vm, found->second);
             n.on_http_reply(key.first, key.second,
                             base::fail(base::error_code::timeout,
                                        base::step::wait, "", "no reply"),
                             now, out);
         });
}

void testbed::call_platform(std::uint64_t number, const core::http_call& it)
{
    const auto call = calls_.find(number);
    if (call == calls_.end())
        return;
    const auto vm = call->second.vm;
    if (it.request.path == "/v1/vms")
        return reply(number, ok(json::parse(vms_for(vm))));
    if (it.request.path != "/v1/changes")
        return reply(number, ok({{"version", 1}}));
    const auto after = query_number(it.request.query, "after");
    if (!objects_.empty() && objects_.back().first > after)
        return reply(number, ok(json::parse(changes_after(vm, after))));
    watches_.push_back({number, after});
    time_.after(base::milliseconds(query_number(it.request.query, "wait_ms")),
                [this, number, after]
                {
                    const auto open = calls_.find(number);
                    if (open == calls_.end() ||
                        std::erase_if(watches_, [number](const auto& w)
                                      { return w.call == number; }) == 0)
                        return;
                    reply(number, ok(json::parse(
                                      changes_after(open->second.vm, after))));
                });
}

std::optional<std::size_t> testbed::next_in_rotation()
{
    for (std::size_t n = 0; n < vms_.size(); ++n)
    {
        const auto at = rotation_++ % vms_.size();
        if (vms_[at].in_rotation)
            return at;
    }
    return std::nullopt;
}

void testbed::ask(query::search_request request)
{
    const auto number = ++last_request_;
    request.ticket = number;
    const auto deadline = request.deadline.value_or(default_deadline);
    open_[number] = {request, time_.now(), {}, std::nullopt};
    time_.after(deadline + caller_slack,
                [this, number] { end(number, std::nullopt); });
    const auto vm = next_in_rotation();
    if (!vm)
        return;
    time_.after(vary(options_.delays.caller),
                [this, vm = *vm, request = std::move(request)]
                {
                    if (!vms_[vm].alive)
                        return end(request.ticket, std::nullopt);
                    vms_[vm].tickets.insert(request.ticket);
                    give(vm, [request](node::node& n, base::instant now,
                                       core::effects& out)
                         { n.on_search(request, now, out); });
                });
}

void testbed::take_answers(std::size_t vm)
{
    for (auto& it : vms_[vm].node->take_answers())
        time_.after(vary(options_.delays.caller),
                    [this, vm, answer = std::move(it)]
                    {
                        vms_[vm].tickets.erase(answer.ticket);
                        end(answer.ticket, answer);
                    });
}

void testbed::end(std::size_t request,
                  std::optional<query::search_answer> answer)
{
    const auto it = open_.find(request);
    if (it == open_.end())
        return;
    it->second.ended = time_.now();
    it->second.answer = std::move(answer);
    ended_.push_back(std::move(it->second));
    open_.erase(it);
}

void testbed::kill(std::size_t vm)
{
    auto& it = vms_[vm];
    it.alive = false;
    for (const auto& [key, number] : std::map(it.calls))
        close(vm, number);
    for (const auto& [server, n] : it.idle)
        connections_[server] -= n;
    it.idle.clear();
    for (const auto ticket : std::exchange(it.tickets, {}))
        end(ticket, std::nullopt);
    for (std::size_t n = 0; n < vms_.size(); ++n)
        time_.after(delay(it.data_centre, vms_[n].data_centre),
                    [this, n, name = it.name]
                    {
                        give(n, [name](node::node& other, base::instant now,
                                       core::effects& out)
                             { other.on_link_down(name, true, now, out); });
                    });
    time_.after(rotation_lag, [this, vm] { vms_[vm].in_rotation = false; });
    time_.after(list_lag,
                [this, vm]
                {
                    delisted_.insert(vm);
                    ++list_version_;
                });
}

void testbed::pause(std::size_t vm)
{
    vms_[vm].paused = true;
    time_.after(rotation_lag,
                [this, vm] { vms_[vm].in_rotation = !vms_[vm].paused; });
}

void testbed::resume(std::size_t vm)
{
    vms_[vm].paused = false;
    vms_[vm].in_rotation = true;
    for (const auto& fn : std::exchange(vms_[vm].held, {}))
        fn();
}

} // namespace mimosacroft::load
