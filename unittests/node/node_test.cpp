// Tests of what an entry VM does between its parts.
#include "mimosacroft/node/node.hpp"

#include "../query/query_fixture.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace mimosacroft;
using namespace mimosacroft::tests;
using base::milliseconds;

namespace
{

const std::vector<std::pair<std::string, std::string>> all_vms = {
    {"root", "oostende"}, {"far-0", "antwerpen"}, {"far-1", "antwerpen"}};

/// Gives a node the list of VMs and a search over two shards in Antwerpen.
void configure(node::node& it)
{
    wire::view_push view;
    view.version = 1;
    for (const auto& [vm, data_centre] : all_vms)
        view.entries.push_back({vm, data_centre, "127.0.0.1:9", false});
    wire::config_push push;
    push.through = 1;
    const std::vector<model::resource> all = {upstream_of("u", "antwerpen"),
                                              index_of("i", 3, 2, {"u"}),
                                              search_of("s", "i")};
    for (const auto& resource : all)
        push.entries.push_back(
            {std::string(base::name_of(model::kind_of(resource))),
             model::name_of(resource), 1, false, model::to_json(resource)});
    core::effects ignored;
    it.on_message("root", 1, view, test_start, ignored);
    it.on_message("root", 1, push, test_start, ignored);
}

/// The messages of one type that were sent, with the VM they went to.
template <typename T>
std::vector<std::pair<std::string, T>> sent(const core::effects& all)
{
    std::vector<std::pair<std::string, T>> out;
    for (const auto& it : all)
        if (const auto* msg = std::get_if<core::send_peer>(&it))
            if (const auto* found = std::get_if<T>(&msg->msg))
                out.emplace_back(msg->vm, *found);
    return out;
}

query::search_request lookup()
{
    query::search_request out;
    out.ticket = 9;
    out.search = "s";
    out.body = "{}";
    out.deadline = milliseconds(100);
    return out;
}

} // namespace

TEST_GROUP(left_vm){};

TEST(left_vm, gets_the_answers_that_it_still_waits_for)
{
    node::node leaf{options_of("far-0", "antwerpen"), 2};
    configure(leaf);
    core::effects out;
    wire::forward msg;
    msg.query = {42, 1};
    msg.attempt = 1;
    msg.epoch = 3;
    msg.budget_ms = 100;
    msg.shards = {{0, "s0", "u"}};
    leaf.on_message("root", 1, msg, test_start, out);
    wire::view_push without;
    without.version = 2;
    without.entries = {{"far-0", "antwerpen", "127.0.0.1:9", false},
                       {"far-1", "antwerpen", "127.0.0.1:9", false}};
    leaf.on_message("far-1", 1, without, test_start, out);
    leaf.on_tick(test_start + milliseconds(100), out);
    const auto answers = sent<wire::forward_answer>(out);
    LONGS_EQUAL(1, answers.size());
    STRCMP_EQUAL("root", answers[0].first.c_str());
}

TEST_GROUP(draining_node)
{
    node::node root{options_of("root", "oostende"), 1};
    node::node leaf{options_of("far-0", "antwerpen"), 2};
    core::effects out;

    void setup() override
    {
        configure(root);
        configure(leaf);
    }

    wire::forward first_forward()
    {
        root.on_search(lookup(), test_start, out);
        const auto all = sent<wire::forward>(out);
        LONGS_EQUAL(1, all.size());
        out.clear();
        return all.front().second;
    }
};

TEST(draining_node, refuses_a_forward_as_not_run_after_saying_why)
{
    const auto asked = first_forward();
    leaf.begin_drain(test_start, out);
    LONGS_EQUAL(2, sent<wire::drain_notice>(out).size());
    out.clear();
    leaf.on_message("root", 42, asked, test_start, out);
    LONGS_EQUAL(2, count_of<core::send_peer>(out));
    LONGS_EQUAL(0, count_of<core::http_call>(out));
    CHECK(std::holds_alternative<wire::drain_notice>(
        std::get<core::send_peer>(out.front()).msg));
    const auto answers = sent<wire::forward_answer>(out);
    LONGS_EQUAL(1, answers.size());
    const auto& got = answers.front().second;
    CHECK(got.query == asked.query);
    LONGS_EQUAL(asked.attempt, got.attempt);
    LONGS_EQUAL(asked.epoch, got.epoch);
    LONGS_EQUAL(asked.shards.size(), got.shards.size());
    for (const auto& it : got.shards)
    {
        LONGS_EQUAL(static_cast<int>(model::lack_reason::refused), it.lack);
        CHECK_FALSE(it.included);
        CHECK_FALSE(it.maybe_run);
    }
    CHECK(leaf.idle());
}

TEST(draining_node, its_root_asks_the_other_vm_and_leaves_it_alone)
{
    root.on_search(lookup(), test_start, out);
    const auto [vm, asked] = sent<wire::forward>(out).at(0);
    out.clear();
    wire::forward_answer refused{
        asked.query, asked.attempt, asked.epoch, {}, {}};
    for (const auto& it : asked.shards)
        refused.shards.push_back(
            {it.shard, false,
             static_cast<std::uint8_t>(model::lack_reason::refused), false, 0,
             ""});
    root.on_message(vm, 42, wire::drain_notice{42}, test_start, out);
    root.on_message(vm, 42, refused, test_start, out);
    const auto again = sent<wire::forward>(out);
    LONGS_EQUAL(1, again.size());
    CHECK(again[0].first != vm && again[0].first != "root");
    LONGS_EQUAL(asked.shards.size(), again[0].second.shards.size());
    wire::forward_answer done{
        asked.query, again[0].second.attempt, asked.epoch, {}, {}};
    for (const auto& it : asked.shards)
        done.shards.push_back({it.shard, true, 0, true, 0, "{}"});
    root.on_message(again[0].first, 42, done, test_start, out);
    const auto answers = root.take_answers();
    LONGS_EQUAL(1, answers.size());
    CHECK(answers[0].outcome == model::outcome::answered);
    // A further query goes to the other VM at once.
    out.clear();
    root.on_search(lookup(), test_start, out);
    CHECK(sent<wire::forward>(out).at(0).first == again[0].first);
}
