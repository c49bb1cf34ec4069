// Tests of the whole path on real processes.
#include "process_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;
using namespace mimosacroft::tests;

TEST_GROUP(whole_path){};

TEST(whole_path, a_search_is_answered_from_both_data_centres)
{
    fleet_plan plan;
    plan.port = test_port(0);
    plan.data_centres = {"oostende", "antwerpen"};
    plan.vms = 2;
    const process_fleet fleet(plan);
    CHECK(fleet.serving());
    const auto it = fleet.search(0, "lookup", {{"query", "fin box"}});
    STRCMP_EQUAL("answered", it["outcome"].get<std::string>().c_str());
    LONGS_EQUAL(8, it["coverage"]["included"].get<int>());
    LONGS_EQUAL(8, it["results"].size());
    for (const auto& result : it["results"])
        STRCMP_EQUAL("\"fin box\"",
                     result["result"]["echo"].get<std::string>().c_str());
}

TEST(whole_path, a_killed_server_costs_no_shard)
{
    fleet_plan plan;
    plan.port = test_port(100);
    process_fleet fleet(plan);
    CHECK(fleet.serving());
    fleet.stop_server(0);
    for (int n = 0; n < 50; ++n)
    {
        const auto it = fleet.search(n % 3, "lookup", {{"query", n}});
        STRCMP_EQUAL("answered", it["outcome"].get<std::string>().c_str());
    }
}
