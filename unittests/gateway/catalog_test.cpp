// Tests the matching of requests to searches and traffic splitting by weight.
#include "mimosacroft/gateway/catalog.hpp"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace mimosacroft;

namespace
{

gateway::search search_at(const std::string& host, const std::string& prefix)
{
    gateway::search out;
    out.name = host + prefix;
    out.host = host;
    out.path_prefix = prefix;
    return out;
}

std::string matched(const gateway::catalog& in, const std::string& host,
                    const std::string& path)
{
    const auto it = in.match(host, path);
    return it ? it->name : "none";
}

} // namespace

TEST_GROUP(catalog)
{
    const gateway::catalog searches{1,
                                    {search_at("a.example", "/x/"),
                                     search_at("a.example", "/x/y/"),
                                     search_at("b.example", "/")},
                                    {},
                                    {}};
};

TEST(catalog, the_longest_prefix_of_the_host_is_taken)
{
    STRCMP_EQUAL("a.example/x/y/",
                 matched(searches, "a.example", "/x/y/2f").c_str());
    STRCMP_EQUAL("a.example/x/",
                 matched(searches, "a.example", "/x/yy/2f").c_str());
    STRCMP_EQUAL("b.example/", matched(searches, "b.example", "/x").c_str());
}

TEST(catalog, host_is_compared_without_case_and_port)
{
    STRCMP_EQUAL("a.example/x/",
                 matched(searches, "A.Example:8080", "/x/").c_str());
}

TEST(catalog, other_hosts_and_paths_match_nothing)
{
    STRCMP_EQUAL("none", matched(searches, "a.example", "/x").c_str());
    STRCMP_EQUAL("none", matched(searches, "a.example", "/").c_str());
    STRCMP_EQUAL("none", matched(searches, "c.example", "/x/").c_str());
    STRCMP_EQUAL("none", matched(searches, "a.example", "").c_str());
    STRCMP_EQUAL("none", matched(searches, "a.example", "/?/x/").c_str());
}

TEST(catalog, requests_are_split_by_weight_at_every_moment)
{
    gateway::search split = search_at("a.example", "/s/");
    split.services = {{"one", 0.7}, {"two", 0.2}, {"three", 0.1}};
    gateway::traffic_splitter traffic_splitter;
    std::map<std::string, double> count;
    for (int n = 1; n <= 200; ++n)
    {
        ++count[*traffic_splitter.choose(split)];
        for (const auto& it : split.services)
            CHECK(std::abs(count[it.service] - it.weight * n) < 1.5);
    }
}

TEST(catalog, a_search_without_services_gives_none)
{
    gateway::traffic_splitter traffic_splitter;
    CHECK(traffic_splitter.choose(search_at("a.example", "/s/")) == nullptr);
}
