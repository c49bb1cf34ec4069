// What a query costs at its root and at its leaves: processor time, memory and
// bytes on the wire, against shards, servers, batches and queries in flight.
// Prints JSON; scripts/capacity reads it from bench/slopes.
#include "slopes.hpp"

#include "mimosacroft/load/model_server.hpp"
#include "mimosacroft/model/schema.hpp"
#include "mimosacroft/node/node.hpp"

#include <memory>

namespace
{

using namespace mimosacroft;

constexpr std::size_t rounds = 15;
constexpr base::instant start{base::seconds(1000)};
const std::string near = "oostende";
const std::string far = "antwerpen";

/// Shards of one upstream.
constexpr std::size_t shards_of_upstream = 5;

/// The size of a result, about that of a record's reference and score.
const std::string payload =
    R"({"echo":"longboard","epoch":1,"hits":3,"shard":"s1000"})";

std::string upstream_name(std::size_t n)
{
    return "records-" + std::to_string(n);
}

model::upstream upstream_of(std::size_t n, const std::string& data_centre,
                            std::uint32_t slots = 2000)
{
    model::upstream out;
    out.name = upstream_name(n);
    out.data_centre = data_centre;
    out.slots = slots;
    out.connections = 3 * slots;
    for (const auto* replica : {"-a", "-b"})
        out.servers.push_back({out.name + replica, "10.0.0.1:80", false});
    return out;
}

model::index index_of(std::size_t shards, std::size_t upstreams)
{
    model::index out;
    out.name = "records";
    out.epoch = 1;
    for (std::size_t n = 0; n < shards; ++n)
        out.shards.push_back(
            {"s" + std::to_string(n), {upstream_name(n % upstreams)}});
    return out;
}

wire::config_push push_of(std::size_t upstreams, std::size_t shards,
                          const std::string& data_centre,
                          std::uint32_t slots = 2000)
{
    std::vector<model::resource> all;
    for (std::size_t n = 0; n < upstreams; ++n)
        all.emplace_back(upstream_of(n, data_centre, slots));
    if (shards > 0)
        all.emplace_back(index_of(shards, upstreams));
    model::search search;
    search.name = "survey";
    search.index = "records";
    all.emplace_back(search);
    wire::config_push out;
    for (const auto& it : all)
        out.entries.push_back({std::string(base::name_of(model::kind_of(it))),
                               model::name_of(it), ++out.through, false,
                               model::to_json(it)});
    return out;
}

std::unique_ptr<node::node> make_node()
{
    fleet::agent_options options;
    options.vm = near + "-1";
    options.data_centre = near;
    options.incarnation = 42;
    options.platform_address = "10.0.0.9:80";
    options.ownership.handover_wait = base::milliseconds(0);
    options.ownership.view_ttl = base::seconds(3600);
    return std::make_unique<node::node>(options, 1);
}

// Lets a node know its configuration and the VMs: `members` in its own data
// centre, `far_members` in the other one.
void prepare(node::node& it, const wire::config_push& config,
             std::size_t members = 1, std::size_t far_members = 1)
{
    core::effects out;
    std::vector<wire::view_entry> vms;
    for (std::size_t n = 1; n <= far_members; ++n)
        vms.push_back(
            {far + "-" + std::to_string(n), far, "10.0.0.2:9", false});
    for (std::size_t n = 1; n <= members; ++n)
        vms.push_back(
            {near + "-" + std::to_string(n), near, "10.0.0.1:9", false});
    it.on_message(far + "-1", 7, wire::view_push{1, vms, 0, {}}, start, out);
    it.on_message(far + "-1", 7, config, start, out);
    it.on_tick(start, out);
    for (const auto& e : out)
        if (const auto* call = std::get_if<core::http_call>(&e))
            if (call->request.path == "/v1/vms")
                it.on_http_reply(
                    call->owner, call->id,
                    wire::http_reply{
                        200, {}, R"({"version":1,"unchanged":true})"},
                    start, out);
}

query::search_request request_of(std::uint64_t n)
{
    query::search_request out;
    out.ticket = n;
    out.search = "survey";
    out.body = R"("longboard")";
    out.trace = "0123456789abcdef0123456789abcdef";
    return out;
}

/// A forward with the VM that it goes to.
struct sent_forward
{
    std::string vm;
    const wire::forward* msg = nullptr; ///< null if there is none
};

sent_forward forward_in(const core::effects& all)
{
    for (const auto& e : all)
        if (const auto* sent = std::get_if<core::send_peer>(&e))
            if (const auto* it = std::get_if<wire::forward>(&sent->msg))
                return {sent->vm, it};
    return {};
}

wire::forward_answer answer_to(const wire::forward& asked)
{
    wire::forward_answer out{asked.query, asked.attempt, asked.epoch, {}, {}};
    for (const auto& it : asked.shards)
    {
        auto& made = out.shards.emplace_back();
        made.shard = it.shard;
        made.included = true;
        made.maybe_run = true;
        made.payload = payload;
    }
    return out;
}

struct root_cost
{
    double decide_us = 0;
    double codec_us = 0;
    double forward_bytes = 0;
    double answer_bytes = 0;
};

// One query at its root: admitted, forwarded to one relay, merged.
root_cost cost_of_query(node::node& root, std::uint64_t n)
{
    root_cost out;
    core::effects effects;
    auto t = bench::cpu_us();
    root.on_search(request_of(n), start, effects);
    out.decide_us = bench::cpu_us() - t;
    const auto [vm, asked] = forward_in(effects);
    if (!asked)
        return out;
    const auto answer = wire::pack(answer_to(*asked));
    t = bench::cpu_us();
    const auto forward = wire::pack(*asked);
    auto back = wire::unpack(answer);
    out.codec_us = bench::cpu_us() - t;
    out.forward_bytes = static_cast<double>(forward.size());
    out.answer_bytes = static_cast<double>(answer.size());
    t = bench::cpu_us();
    root.on_message(vm, 7, std::move(*back), start, effects);
    out.decide_us += bench::cpu_us() - t;
    if (root.take_answers().size() != 1)
        std::cerr << "query " << n << " has no answer\n";
    return out;
}

void root_by_shards(bench::slopes& out)
{
    for (const std::size_t shards : {100, 300, 600, 900, 1200, 1500, 1800})
    {
        const auto root = make_node();
        prepare(*root, push_of(shards / shards_of_upstream, shards, far));
        std::uint64_t n = 0;
        root_cost last;
        const auto x = static_cast<double>(shards);
        out.add("root_us_by_shards", x,
                bench::median_of(rounds,
                                 [&]
                                 {
                                     last = cost_of_query(*root, ++n);
                                     return last.decide_us;
                                 }));
        out.add(
            "root_codec_us_by_shards", x,
            bench::median_of(rounds, [&]
                             { return cost_of_query(*root, ++n).codec_us; }));
        out.add("forward_bytes_by_shards", x, last.forward_bytes);
        out.add("answer_bytes_by_shards", x, last.answer_bytes);
    }
}

void root_by_servers(bench::slopes& out)
{
    constexpr std::size_t shards = 100;
    for (const std::size_t upstreams : {10, 100, 500, 1000, 2100})
    {
        const auto root = make_node();
        prepare(*root, push_of(upstreams, shards, far));
        std::uint64_t n = 0;
        out.add(
            "root_us_of_100_shards_by_servers",
            2 * static_cast<double>(upstreams),
            bench::median_of(rounds, [&]
                             { return cost_of_query(*root, ++n).decide_us; }));
    }
}

void root_by_far_members(bench::slopes& out)
{
    constexpr std::size_t shards = 1800;
    for (const std::size_t members : {1, 10, 30, 97, 290})
    {
        const auto root = make_node();
        prepare(*root, push_of(shards / shards_of_upstream, shards, far), 1,
                members);
        std::uint64_t n = 0;
        out.add(
            "root_us_of_1800_shards_by_far_members",
            static_cast<double>(members),
            bench::median_of(rounds, [&]
                             { return cost_of_query(*root, ++n).decide_us; }));
    }
}

wire::forward forward_of(std::size_t subqueries, std::size_t upstreams,
                         std::uint32_t attempt)
{
    wire::forward out;
    out.query = {9, attempt};
    out.attempt = attempt;
    out.search = "survey";
    out.epoch = 1;
    out.budget_ms = 300;
    out.body = R"("longboard")";
    for (std::size_t n = 0; n < subqueries; ++n)
        out.shards.push_back({static_cast<std::uint32_t>(n),
                              "s" + std::to_string(n),
                              upstream_name(n % upstreams)});
    return out;
}

wire::http_reply reply_to(const core::http_call& call)
{
    query::upstream_reply reply;
    reply.incarnation = "1";
    const auto asked = load::decode_subqueries(call.request.body);
    for (const auto& it : *asked)
        reply.results.push_back(
            {it.id, it.shard, it.epoch, query::upstream_status::ok, payload});
    return {200, {}, load::encode_reply(reply)};
}

// One forward at its leaf: sent out in one call for each upstream, and
// answered.
double cost_of_forward(node::node& leaf, const wire::forward& msg)
{
    core::effects effects;
    auto t = bench::cpu_us();
    leaf.on_message(far + "-1", 7, msg, start, effects);
    auto used = bench::cpu_us() - t;
    std::vector<core::http_call> calls;
    for (const auto& e : effects)
        if (const auto* call = std::get_if<core::http_call>(&e))
            if (call->owner == core::call_owner::leaf)
                calls.push_back(*call);
    for (const auto& call : calls)
    {
        const auto reply = reply_to(call);
        core::effects more;
        t = bench::cpu_us();
        leaf.on_http_reply(call.owner, call.id, reply, start, more);
        used += bench::cpu_us() - t;
    }
    if (leaf.leaf().open() != 0)
        std::cerr << "a forward is still open\n";
    return used;
}

void leaf_by_subqueries(bench::slopes& out)
{
    constexpr std::size_t batch = 64;
    for (const std::size_t n : {64, 128, 256, 512, 1024})
    {
        const auto leaf = make_node();
        prepare(*leaf, push_of(n, 0, near));
        std::uint32_t attempt = 0;
        const auto cost = [&](std::size_t upstreams)
        {
            return bench::median_of(
                rounds,
                [&]
                {
                    return cost_of_forward(*leaf,
                                           forward_of(n, upstreams, ++attempt));
                });
        };
        const auto x = static_cast<double>(n);
        out.add("leaf_us_by_subqueries_batches_of_64", x, cost(n / batch));
        out.add("leaf_us_by_subqueries_one_by_one", x, cost(n));
    }
}

// Many small forwards at a leaf that owns seven upstreams with two slots: the
// first calls take the slots, the other subqueries wait and go out in batches.
// Counts the packing and unpacking of forwards and answers too.
double cost_of_small_forwards(node::node& leaf, std::size_t forwards,
                              std::uint32_t& attempt)
{
    constexpr std::size_t shards = 3;
    constexpr std::size_t upstreams = 7;
    double used = 0;
    std::vector<core::effect> open;
    const auto timed = [&](auto fn)
    {
        core::effects more;
        const auto t = bench::cpu_us();
        fn(more);
        for (const auto& e : more)
            if (const auto* sent = std::get_if<core::send_peer>(&e))
                (void)wire::pack(sent->msg);
        used += bench::cpu_us() - t;
        std::ranges::move(more, std::back_inserter(open));
    };
    for (std::size_t n = 0; n < forwards; ++n)
    {
        auto msg = forward_of(shards, upstreams, ++attempt);
        for (auto& it : msg.shards)
            it.upstream = upstream_name((attempt + it.shard) % upstreams);
        const auto bytes = wire::pack(msg);
        timed(
            [&](core::effects& more)
            {
                leaf.on_message(far + "-1", 7, *wire::unpack(bytes), start,
                                more);
            });
    }
    for (std::size_t n = 0; n < open.size(); ++n)
    {
        const auto* call = std::get_if<core::http_call>(&open[n]);
        if (!call || call->owner != core::call_owner::leaf)
            continue;
        const auto id = call->id;
        const auto reply = reply_to(*call);
        timed(
            [&](core::effects& more)
            {
                leaf.on_http_reply(core::call_owner::leaf, id, reply, start,
                                   more);
            });
    }
    if (leaf.leaf().open() != 0)
        std::cerr << "a forward is still open\n";
    return used;
}

void leaf_by_small_forwards(bench::slopes& out)
{
    for (const std::size_t forwards : {100, 200, 400, 800})
    {
        const auto leaf = make_node();
        prepare(*leaf, push_of(7, 0, near, 2));
        std::uint32_t attempt = 0;
        out.add(
            "leaf_us_by_forwards_of_3", static_cast<double>(forwards),
            bench::median_of(
                5, [&]
                { return cost_of_small_forwards(*leaf, forwards, attempt); }));
    }
}

// A relay that gets a part of a query passes it on to the owners of its data
// centre, merges and answers; with the packing of all those messages.
double cost_of_relay(node::node& relay, const wire::forward& msg)
{
    core::effects effects;
    auto t = bench::cpu_us();
    relay.on_message(far + "-1", 7, msg, start, effects);
    std::vector<std::pair<std::string, wire::forward>> sent;
    for (const auto& e : effects)
        if (const auto* to = std::get_if<core::send_peer>(&e))
        {
            (void)wire::pack(to->msg);
            if (const auto* it = std::get_if<wire::forward>(&to->msg))
                sent.emplace_back(to->vm, *it);
        }
    auto used = bench::cpu_us() - t;
    for (const auto& [vm, asked] : sent)
    {
        const auto bytes = wire::pack(answer_to(asked));
        core::effects more;
        t = bench::cpu_us();
        relay.on_message(vm, 8, *wire::unpack(bytes), start, more);
        for (const auto& e : more)
            if (const auto* to = std::get_if<core::send_peer>(&e))
                (void)wire::pack(to->msg);
        used += bench::cpu_us() - t;
    }
    return used;
}

void relay_by_members(bench::slopes& out)
{
    constexpr std::size_t shards = 300;
    for (const std::size_t members : {3, 10, 30, 97})
    {
        const auto relay = make_node();
        prepare(*relay, push_of(shards, 0, near), members);
        std::uint32_t attempt = 0;
        auto msg = forward_of(shards, shards, ++attempt);
        msg.hops_left = 1;
        // What this VM owns itself is a leaf's work.
        std::erase_if(msg.shards, [&](const wire::shard_task& it)
                      { return relay->fleet().ownership().owns(it.upstream); });
        const auto cost =
            bench::median_of(5,
                             [&]
                             {
                                 msg.attempt = ++attempt;
                                 return cost_of_relay(*relay, msg);
                             });
        out.add("relay_us_of_a_shard_by_members", static_cast<double>(members),
                cost / static_cast<double>(msg.shards.size()));
    }
}

// One turn of the timers while claims are open and nothing is due.
void claims_by_open(bench::slopes& out)
{
    constexpr int turns = 100;
    for (const std::size_t open : {100, 1000, 10000})
    {
        query::claims claims(
            {.vm = near + "-1", .platform_address = "10.0.0.9:80"}, 1);
        core::effects effects;
        for (std::size_t n = 0; n < open; ++n)
            claims.acquire(
                {std::to_string(n), "f", 0, start + base::seconds(1)}, start,
                effects);
        out.add("claims_tick_us_by_open", static_cast<double>(open),
                bench::median_of(rounds,
                                 [&]
                                 {
                                     const auto t = bench::cpu_us();
                                     for (int n = 0; n < turns; ++n)
                                     {
                                         claims.on_tick(start, effects);
                                         if (claims.next_wakeup() <= start)
                                             std::cerr << "a claim is due\n";
                                     }
                                     return (bench::cpu_us() - t) / turns;
                                 }));
    }
}

// The end of a relayed forward by a cancel, while others are open.
void cancel_by_relayed(bench::slopes& out)
{
    constexpr std::uint32_t cancels = 100;
    for (const std::uint32_t open : {100, 1000, 10000})
    {
        const auto relay = make_node();
        prepare(*relay, push_of(300, 0, near), 97);
        auto msg = forward_of(300, 300, 1);
        msg.hops_left = 1;
        std::erase_if(msg.shards, [&](const wire::shard_task& it)
                      { return relay->fleet().ownership().owns(it.upstream); });
        msg.shards.resize(1);
        std::uint32_t attempt = 0;
        core::effects effects;
        const auto begin = [&]
        {
            msg.attempt = ++attempt;
            msg.query = {9, attempt};
            relay->on_message(far + "-1", 7, msg, start, effects);
            effects.clear();
        };
        while (attempt < open)
            begin();
        out.add("cancel_us_by_relayed", static_cast<double>(open),
                bench::median_of(rounds,
                                 [&]
                                 {
                                     const auto last = attempt;
                                     const auto t = bench::cpu_us();
                                     for (std::uint32_t n = 0; n < cancels; ++n)
                                     {
                                         const wire::cancel end{{9, last - n},
                                                                last - n};
                                         relay->on_message(far + "-1", 7, end,
                                                           start, effects);
                                     }
                                     const auto used = bench::cpu_us() - t;
                                     effects.clear();
                                     for (std::uint32_t n = 0; n < cancels; ++n)
                                         begin();
                                     return used / cancels;
                                 }));
    }
}

void memory_by_configuration(bench::slopes& out)
{
    for (const std::size_t upstreams : {100, 500, 1000, 2100})
    {
        const auto config = push_of(upstreams, 0, near);
        const auto before = bench::heap_bytes();
        const auto it = make_node();
        prepare(*it, config);
        out.add("node_bytes_by_servers", 2 * static_cast<double>(upstreams),
                bench::heap_bytes() - before);
    }
    for (const std::size_t shards : {100, 600, 1200, 1800})
    {
        const auto config = push_of(10, shards, near);
        const auto before = bench::heap_bytes();
        const auto it = make_node();
        prepare(*it, config);
        out.add("node_bytes_by_shards", static_cast<double>(shards),
                bench::heap_bytes() - before);
    }
}

void memory_by_queries(bench::slopes& out)
{
    constexpr std::size_t shards = 1800;
    for (const std::size_t queries : {10, 50, 100, 200})
    {
        const auto root = make_node();
        prepare(*root, push_of(shards / shards_of_upstream, shards, far));
        const auto before = bench::heap_bytes();
        for (std::size_t n = 1; n <= queries; ++n)
        {
            core::effects effects;
            root->on_search(request_of(n), start, effects);
        }
        out.add("root_bytes_by_queries_of_1800_shards",
                static_cast<double>(queries), bench::heap_bytes() - before);
    }
    for (const std::size_t subqueries : {100, 1000, 10000})
    {
        const auto leaf = make_node();
        prepare(*leaf, push_of(50, 0, near));
        const auto before = bench::heap_bytes();
        for (std::uint32_t n = 1; n <= subqueries / 50; ++n)
        {
            core::effects effects;
            leaf->on_message(far + "-1", 7, forward_of(50, 50, n), start,
                             effects);
        }
        out.add("leaf_bytes_by_subqueries_in_flight",
                static_cast<double>(subqueries), bench::heap_bytes() - before);
    }
}

} // namespace

int main()
{
    bench::slopes out;
    root_by_shards(out);
    root_by_servers(out);
    root_by_far_members(out);
    leaf_by_subqueries(out);
    leaf_by_small_forwards(out);
    relay_by_members(out);
    claims_by_open(out);
    cancel_by_relayed(out);
    memory_by_configuration(out);
    memory_by_queries(out);
    out.print("query_bench");
}
