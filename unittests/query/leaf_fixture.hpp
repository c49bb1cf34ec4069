// A leaf with one upstream of its own and the requests that it sends, read back
// from its effects.
#ifndef MIMOSACROFT_UNITTESTS_QUERY_LEAF_FIXTURE_HPP
#define MIMOSACROFT_UNITTESTS_QUERY_LEAF_FIXTURE_HPP

#include "mimosacroft/query/leaf.hpp"

#include "query_fixture.hpp"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace mimosacroft::tests
{

inline constexpr std::uint64_t epoch_of_tests = 3;

/// The upstream "u" with `servers` servers, on which the leaf has two slots.
inline model::upstream leaf_upstream(std::size_t servers)
{
    model::upstream out;
    out.name = "u";
    out.data_centre = "oostende";
    out.slots = 2;
    for (std::size_t n = 0; n < servers; ++n)
        out.servers.push_back({"u-" + std::to_string(n),
                               "127.0.0.1:" + std::to_string(11 + n), false});
    return out;
}

/// An agent that owns the upstream alone, and its leaf.
struct leaf_rig
{
    fleet::agent agent{options_of("vm-0", "oostende"), 1};
    query::leaf leaf;
    core::effects out;
    base::instant now = test_start;
    std::map<std::uint64_t, core::http_call> sent; ///< open, by id

    explicit leaf_rig(query::leaf_options options = {}, std::size_t servers = 2)
        : leaf(agent, options)
    {
        declare(agent, 1, {leaf_upstream(servers)});
        know(agent, 1, {{"vm-0", "oostende"}});
        confirm();
    }

    // The platform answers that the list in use is the newest.
    void confirm()
    {
        core::effects asked;
        agent.on_tick(now, asked);
        wire::http_reply reply;
        reply.status = 200;
        reply.body = R"({"version": 1, "unchanged": true})";
        core::effects ignored;
        for (const auto& it : asked)
            if (const auto* call = std::get_if<core::http_call>(&it))
                agent.on_http_reply(call->id, reply, now, ignored);
        agent.on_tick(now, ignored);
    }

    void forward(std::uint32_t attempt, std::size_t shards, int budget_ms = 300,
                 bool repeatable = true,
                 model::priority priority = model::priority::ordinary)
    {
        wire::forward msg;
        msg.query = {42, attempt};
        msg.attempt = attempt;
        msg.epoch = epoch_of_tests;
        msg.budget_ms = static_cast<std::uint32_t>(budget_ms);
        msg.repeatable = repeatable;
        msg.priority = static_cast<std::uint8_t>(priority);
        std::vector<wire::shard_task> tasks;
        for (std::uint32_t n = 0; n < shards; ++n)
            tasks.push_back({n, "s" + std::to_string(n), "u"});
        leaf.on_forward("root", msg, tasks, now, out);
        collect();
    }

    void cancel(std::uint32_t attempt)
    {
        leaf.on_cancel("root", {{42, attempt}, attempt}, now, out);
        collect();
    }

    void tick(base::duration later)
    {
        now += later;
        leaf.on_tick(now, out);
        collect();
    }

    // Notes what was sent and what was given up since the last time.
    void collect()
    {
        for (; read_ < out.size(); ++read_)
        {
            if (const auto* it = std::get_if<core::http_call>(&out[read_]))
                sent.emplace(it->id, *it);
            if (const auto* it = std::get_if<core::abandon_call>(&out[read_]))
                sent.erase(it->id);
        }
    }

    static bool is_cancel(const core::http_call& it)
    {
        return it.request.path == "/v1/cancel";
    }

    std::vector<std::uint64_t> open(const std::string& path) const
    {
        std::vector<std::uint64_t> ids;
        for (const auto& [id, it] : sent)
            if (it.request.path == path)
                ids.push_back(id);
        return ids;
    }
    std::vector<std::uint64_t> work() const { return open("/v1/subqueries"); }
    std::vector<std::uint64_t> cancels() const { return open("/v1/cancel"); }

    nlohmann::json subqueries(std::uint64_t id) const
    {
        return nlohmann::json::parse(sent.at(id).request.body)["subqueries"];
    }

    /// A true answer to all subqueries of a call.
    nlohmann::json answer_to(std::uint64_t id) const
    {
        auto answers = nlohmann::json::array();
        for (const auto& it : subqueries(id))
            answers.push_back({{"id", it["id"]},
                               {"shard", it["shard"]},
                               {"epoch", it["epoch"]},
                               {"status", "ok"},
                               {"result", it["shard"]}});
        return {{"incarnation", "i-" + sent.at(id).address},
                {"leaving", false},
                {"answers", answers}};
    }

    void reply(std::uint64_t id, const nlohmann::json& body,
               unsigned status = 200)
    {
        wire::http_reply it;
        it.status = status;
        it.body = body.is_string() ? body.get<std::string>() : body.dump();
        sent.erase(id);
        leaf.on_http_reply(id, it, now, out);
        collect();
    }

    void reply_ok(std::uint64_t id) { reply(id, answer_to(id)); }

    void refuse(std::uint64_t id) { reply(id, {{"refused", "overload"}}, 503); }

    /// The server answers that it failed.
    void reply_failed(std::uint64_t id)
    {
        reply(id, {{"error", "failed"}}, 500);
    }

    void fail(std::uint64_t id, base::error_code code)
    {
        sent.erase(id);
        leaf.on_http_reply(
            id, base::fail(code, base::step::receive, "server", "test"), now,
            out);
        collect();
    }

    /// Answers of the leaf, its shards in order.
    std::vector<wire::shard_report> reports()
    {
        std::vector<wire::shard_report> all;
        for (auto& it : leaf.take_answers())
            std::ranges::move(it.msg.shards, std::back_inserter(all));
        std::ranges::sort(all, {}, &wire::shard_report::shard);
        return all;
    }

    /// Lets the leaf learn that its servers answer in 10 ms.
    void warm_up(int calls = 60)
    {
        for (int n = 0; n < calls; ++n)
        {
            forward(1'000'000 + static_cast<std::uint32_t>(n), 1);
            tick(base::milliseconds(10));
            for (const auto id : work())
                reply_ok(id);
        }
        tick(base::seconds(4));
        leaf.take_answers();
    }

private:
    std::size_t read_ = 0;
};

} // namespace mimosacroft::tests

#endif
