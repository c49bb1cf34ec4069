// Time of one decision of the leaf, from 20 to 4,200 servers: choose a server,
// take a forward of one shard and send it, and merge the answer of a shard.
#include "mimosacroft/model/schema.hpp"
#include "mimosacroft/query/leaf.hpp"

#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>

namespace
{

using namespace mimosacroft;

constexpr std::size_t servers_of_one = 2;
constexpr std::size_t batch = 64;
constexpr std::size_t rounds = 40'000;
constexpr std::size_t batch_rounds = 2'000;
constexpr std::uint64_t epoch = 3;
constexpr base::instant start{base::seconds(1000)};

using watch = std::chrono::steady_clock;

double us_since(watch::time_point begin)
{
    return std::chrono::duration<double, std::micro>(watch::now() - begin)
        .count();
}

model::upstream upstream_of(std::size_t number, std::size_t servers)
{
    model::upstream out;
    out.name = "u" + std::to_string(number);
    out.data_centre = "dc";
    out.slots = 8;
    for (std::size_t n = 0; n < servers; ++n)
        out.servers.push_back({out.name + "-" + std::to_string(n),
                               "127.0.0.1:" + std::to_string(1 + n % 60'000),
                               false});
    return out;
}

fleet::agent_options agent_options()
{
    fleet::agent_options out;
    out.vm = "vm-0";
    out.data_centre = "dc";
    out.ownership.handover_wait = base::milliseconds(0);
    out.ownership.orphan_wait = base::milliseconds(0);
    out.ownership.view_ttl = base::seconds(3600);
    return out;
}

// Makes an agent the owner of many upstreams.
void declare(fleet::agent& to, std::size_t upstreams)
{
    core::effects ignored;
    wire::config_push push;
    push.through = 1;
    for (std::size_t n = 0; n < upstreams; ++n)
    {
        const auto it = upstream_of(n, servers_of_one);
        push.entries.push_back(
            {"upstream", it.name, 1, false, model::to_json(it)});
    }
    to.on_config(push, start, ignored);
    wire::view_push view;
    view.version = 1;
    view.entries = {{"vm-0", "dc", "127.0.0.1:9", false}};
    to.on_view(view, start, ignored);
    core::effects asked;
    to.on_tick(start, asked);
    wire::http_reply newest;
    newest.status = 200;
    newest.body = R"({"version": 1, "unchanged": true})";
    for (const auto& it : asked)
        if (const auto* call = std::get_if<core::http_call>(&it))
            to.on_http_reply(call->id, newest, start, ignored);
    to.on_tick(start, ignored);
}

double time_choose(const model::upstream& from)
{
    query::replica_chooser chooser;
    const query::replica_chooser::limits within{
        8, [](const std::string&) { return 1U; },
        [](const model::server& it) { return !it.leaving; }, nullptr};
    for (const auto& it : from.servers)
        chooser.on_success(it.name, base::milliseconds(3), start);
    const auto n = rounds / from.servers.size() + 100;
    const auto begin = watch::now();
    for (std::size_t k = 0; k < n; ++k)
        if (!chooser.choose(from, within, start + base::seconds(4)))
            std::printf("no server\n");
    return us_since(begin) / static_cast<double>(n);
}

std::string answer_to(const core::http_call& call)
{
    const auto in = nlohmann::json::parse(call.request.body);
    auto answers = nlohmann::json::array();
    for (const auto& it : in["subqueries"])
        answers.push_back({{"id", it["id"]},
                           {"shard", it["shard"]},
                           {"epoch", epoch},
                           {"status", "ok"},
                           {"result", {{"rows", 1}}}});
    return nlohmann::json{{"incarnation", "i"}, {"answers", answers}}.dump();
}

struct leaf_times
{
    double send = 0;  ///< for each shard
    double merge = 0; ///< for each shard
};

leaf_times time_leaf(fleet::agent& agent, std::size_t upstreams,
                     std::size_t shards, std::size_t times)
{
    query::leaf leaf(agent, {.hedging = false});
    leaf_times out;
    for (std::size_t n = 0; n < times; ++n)
    {
        const auto now = start + base::milliseconds(n);
        wire::forward msg;
        msg.query = {1, n};
        msg.attempt = static_cast<std::uint32_t>(n);
        msg.epoch = epoch;
        msg.budget_ms = 300;
        std::vector<wire::shard_task> tasks;
        for (std::uint32_t k = 0; k < shards; ++k)
            tasks.push_back({k, "s" + std::to_string(k),
                             "u" + std::to_string(n % upstreams)});
        core::effects effects;
        auto begin = watch::now();
        leaf.on_forward("root", msg, std::move(tasks), now, effects);
        out.send += us_since(begin);
        const auto& call = std::get<core::http_call>(effects.at(0));
        wire::http_reply reply;
        reply.status = 200;
        reply.body = answer_to(call);
        begin = watch::now();
        leaf.on_http_reply(call.id, reply, now, effects);
        out.merge += us_since(begin);
        if (leaf.take_answers().size() != 1)
            std::printf("no answer\n");
    }
    const auto all = static_cast<double>(times * shards);
    return {out.send / all, out.merge / all};
}

} // namespace

int main()
{
    std::printf("microseconds; two servers for each upstream, but for "
                "\"one upstream\"\n\n");
    std::printf("| servers | choose | choose, one upstream | send, 1 shard | "
                "merge, 1 shard | send, of %zu | merge, of %zu |\n",
                batch, batch);
    std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
    for (const std::size_t servers : {20U, 100U, 500U, 1000U, 4200U})
    {
        const auto upstreams = servers / servers_of_one;
        fleet::agent agent(agent_options(), 1);
        declare(agent, upstreams);
        const auto one = time_leaf(agent, upstreams, 1, rounds);
        const auto many = time_leaf(agent, upstreams, batch, batch_rounds);
        std::printf("| %zu | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f |\n",
                    servers, time_choose(upstream_of(0, servers_of_one)),
                    time_choose(upstream_of(0, servers)), one.send, one.merge,
                    many.send, many.merge);
    }
    return 0;
}
