// The fleet in outages, on real processes: the platform away or older, an entry
// VM paused, a data centre cut off.
#include "link_relay.hpp"
#include "process_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;
using namespace mimosacroft::tests;
using nlohmann::json;

namespace
{

std::string outcome_of(const json& answer)
{
    return answer.value("outcome", "");
}

// Why the answer is wrong; empty if it is right: each result echoes the query,
// included and lacking shards are the whole index, each lacking one has a
// reason.
std::string fault_of(const json& answer, const std::string& query, int shards)
{
    const auto& coverage = answer["coverage"];
    const auto included = coverage["included"].get<std::size_t>();
    const auto& lacking = coverage["lacking"];
    if (included != answer["results"].size() ||
        included + lacking.size() != static_cast<std::size_t>(shards))
        return "coverage does not add up: " + answer.dump();
    if ((outcome_of(answer) == "answered") != lacking.empty())
        return "outcome does not fit the coverage: " + answer.dump();
    for (const auto& it : answer["results"])
        if (it["result"]["echo"] != "\"" + query + "\"")
            return "another request's result: " + answer.dump();
    for (const auto& it : lacking)
        if (it.value("reason", "none") == "none")
            return "a shard lacks without a reason: " + answer.dump();
    return {};
}

std::vector<std::string> shards_lacking(const json& answer)
{
    std::vector<std::string> out;
    for (const auto& it : answer["coverage"]["lacking"])
        out.push_back(it["shard"]);
    std::ranges::sort(out);
    return out;
}

std::vector<std::uint64_t> versions(const process_fleet& fleet)
{
    std::vector<std::uint64_t> out;
    for (int n = 0; n < fleet.vm_count(); ++n)
        out.push_back(fleet.status(n)["config_version"]);
    return out;
}

constexpr int shards = 8;

// With two data centres of one upstream each: the first one has the even ones.
const std::vector<std::string> even_shards = {"s0", "s2", "s4", "s6"};
const std::vector<std::string> odd_shards = {"s1", "s3", "s5", "s7"};

} // namespace

TEST_GROUP(outage){};

TEST(outage, a_fresh_vm_gets_all_from_its_seeds_while_the_platform_is_away)
{
    fleet_plan plan;
    plan.port = test_port(200);
    process_fleet fleet(plan);
    CHECK(fleet.serving());
    fleet.stop_vm(2);
    // The list does not name the VM any more: it is unknown to the others.
    for (int n = 0; n < 2; ++n)
        CHECK(eventually([&] { return fleet.status(n)["vms"].size() == 2; }));
    fleet.stop_platform();
    std::string seeds;
    for (int n = 0; n < 2; ++n)
        seeds += fleet.vm_name(n) + ",oostende," + fleet.vm_peer(n) + ";";
    fleet.start_vm(2, {"--seeds", seeds});
    json answer;
    const bool whole = eventually(
        [&]
        {
            const auto reply =
                net::exchange(fleet.vm_http(2), {"GET", "/ready", "", {}, ""},
                              base::seconds(2));
            if (!reply || reply->status != 200)
                return false;
            answer = fleet.search(2, "lookup", {{"query", "fresh"}});
            return outcome_of(answer) == "answered";
        });
    CHECK_TEXT(whole, answer.dump().c_str());
    STRCMP_EQUAL("", fault_of(answer, "fresh", shards).c_str());
    CHECK(fleet.status(2)["config_version"] ==
          fleet.status(0)["config_version"]);
    STRCMP_CONTAINS("The platform has not answered since this VM started",
                    fleet.page(2).c_str());
}

TEST(outage, a_platform_that_comes_back_empty_reverts_nothing)
{
    fleet_plan plan;
    plan.port = test_port(300);
    process_fleet fleet(plan);
    CHECK(fleet.serving());
    const auto before = versions(fleet);
    fleet.stop_platform();
    fleet.start_platform();
    for (int n = 0; n < fleet.vm_count(); ++n)
    {
        // Two of the VMs watch the platform, the others need not know.
        if (n < 2)
            CHECK(eventually(
                [&]
                {
                    return fleet.page(n).find("came back older") !=
                           std::string::npos;
                }));
        const auto answer = fleet.search(n, "lookup", {{"query", "after"}});
        STRCMP_EQUAL("answered", outcome_of(answer).c_str());
        STRCMP_EQUAL("", fault_of(answer, "after", shards).c_str());
    }
    CHECK(before == versions(fleet));
    // The store counts from the beginning: what it holds now is older.
    const json older = {
        {"kind", "search"},
        {"name", "lookup"},
        {"spec", {{"index", "nowhere"}, {"default_deadline_ms", 50}}}};
    LONGS_EQUAL(200, fleet.put(0, older, 0).status);
    CHECK(eventually(
        [&]
        {
            return process_fleet::call(fleet.vm_http(0), "GET", "/metrics")
                       .body.find("event=\"object_older\"") !=
                   std::string::npos;
        }));
    for (int n = 0; n < fleet.vm_count(); ++n)
        STRCMP_EQUAL(
            "answered",
            outcome_of(fleet.search(n, "lookup", {{"query", "more"}})).c_str());
    CHECK(before == versions(fleet));
}

TEST(outage, a_paused_leaf_costs_named_shards_and_no_wrong_answer)
{
    fleet_plan plan;
    plan.port = test_port(700);
    plan.data_centres = {"oostende", "antwerpen"};
    plan.vms = 2;
    plan.upstreams = 1;
    process_fleet fleet(plan);
    CHECK(fleet.serving());
    json answer;
    const auto ask = [&](int vm, const std::string& query)
    {
        answer = fleet.search(vm, "lookup", {{"query", query}});
        STRCMP_EQUAL("", fault_of(answer, query, shards).c_str());
        return shards_lacking(answer);
    };
    fleet.vm_process(3).signal(SIGSTOP);
    // Each far half goes by one of the two VMs there, in no order.
    CHECK(eventually([&] { return !ask(0, "paused").empty(); }));
    CHECK(shards_lacking(answer) == odd_shards);
    fleet.vm_process(3).signal(SIGCONT);
    for (int n = 0; n < fleet.vm_count(); ++n)
        CHECK_TEXT(eventually([&] { return ask(n, "after").empty(); }),
                   answer.dump().c_str());
    for (int n = 0; n < 20; ++n)
        CHECK_TEXT(ask(n % 4, "whole").empty(), answer.dump().c_str());
}

TEST_GROUP(cut_data_centre){
    static fleet_plan plan_at(int offset){fleet_plan plan;
plan.port = test_port(offset);
plan.data_centres = {"oostende", "antwerpen"};
plan.vms = 2;
plan.upstreams = 1;
plan.shards = shards;
plan.relayed = true;
return plan;
}

// Links between the data centres, and from the second one to the platform.
static std::vector<relay_route> routes_of(int port)
{
    return {{port + 69, port, ""},
            {port + 70, port + 30, "antwerpen-"},
            {port + 71, port + 31, "antwerpen-"},
            {port + 72, port + 32, "oostende-"},
            {port + 73, port + 33, "oostende-"}};
}

// Both sides serve their own shards, and say that the others' lack.
static void check_cut(link_state how, int offset)
{
    const auto plan = plan_at(offset);
    link_relay relay(routes_of(plan.port));
    const process_fleet fleet(plan);
    CHECK(fleet.serving());
    const auto before = versions(fleet);
    relay.set(how);
    for (int n = 0; n < fleet.vm_count(); ++n)
    {
        json answer;
        const bool own_only = eventually(
            [&]
            {
                answer = fleet.search(n, "lookup", {{"query", "cut"}});
                STRCMP_EQUAL("", fault_of(answer, "cut", shards).c_str());
                return shards_lacking(answer) ==
                       (n < 2 ? odd_shards : even_shards);
            });
        CHECK_TEXT(own_only, answer.dump().c_str());
    }
    CHECK(eventually([&]
                     { return !fleet.status(2)["platform_ok"].get<bool>(); }));
    // Longer than a view holds without a word of the platform.
    const auto until = std::chrono::steady_clock::now() + base::seconds(4);
    for (int n = 0; std::chrono::steady_clock::now() < until; ++n)
    {
        const int vm = n % fleet.vm_count();
        const auto answer = fleet.search(vm, "lookup", {{"query", "cut"}});
        STRCMP_EQUAL("", fault_of(answer, "cut", shards).c_str());
        CHECK_TEXT(shards_lacking(answer) ==
                       (vm < 2 ? odd_shards : even_shards),
                   answer.dump().c_str());
    }
    const json changed = {
        {"kind", "search"},
        {"name", "lookup"},
        {"spec", {{"index", "all"}, {"default_deadline_ms", 900}}}};
    const auto version =
        json::parse(process_fleet::call(fleet.vm_http(0), "GET",
                                        "/v1/resources/search/lookup", "",
                                        {{"authorization", "Bearer operator"}})
                        .body)["version"]
            .get<std::uint64_t>();
    LONGS_EQUAL(200, fleet.put(0, changed, version).status);
    CHECK(eventually([&] { return versions(fleet)[1] > before[1]; }));
    CHECK(versions(fleet)[2] == before[2]);
    relay.set(link_state::open);
    CHECK(fleet.serving());
    CHECK(eventually([&] { return versions(fleet)[3] == versions(fleet)[0]; }));
    CHECK(eventually([&] { return versions(fleet)[2] == versions(fleet)[0]; }));
}
}
;

TEST(cut_data_centre, goes_on_alone_when_its_links_close)
{
    check_cut(link_state::closed, 800);
}

TEST(cut_data_centre, goes_on_alone_when_its_links_fall_silent)
{
    check_cut(link_state::silent, 900);
}
