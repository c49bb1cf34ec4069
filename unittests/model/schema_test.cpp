// Tests of the resources' schema.
#include "mimosacroft/model/schema.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;

namespace
{

std::string error_of(const std::string& json)
{
    const auto it = model::parse_resource(json);
    return it ? "accepted" : it.error().text;
}

} // namespace

TEST_GROUP(schema){};

TEST(schema, writes_what_it_reads)
{
    const std::string json =
        R"({"kind":"upstream","name":"u","spec":{"data_centre":"oostende",
            "servers":[{"name":"a","address":"127.0.0.1:80"}],"slots":3}})";
    const auto first = model::parse_resource(json);
    CHECK(first.has_value());
    const auto text = model::to_json(first->value);
    const auto second = model::parse_resource(text);
    CHECK(second.has_value());
    STRCMP_EQUAL(text.c_str(), model::to_json(second->value).c_str());
    LONGS_EQUAL(3, std::get<model::upstream>(second->value).slots);
}

TEST(schema, names_the_field_what_was_found_and_what_is_allowed)
{
    STRCMP_EQUAL(
        "field spec.servers[0].address: found here, allowed is ip:port",
        error_of(R"({"kind":"upstream","name":"u","spec":{"data_centre":"o",
            "servers":[{"name":"a","address":"here"}]}})")
            .c_str());
    STRCMP_EQUAL("field spec.index: found nothing, allowed is a name of 1 to "
                 "64 of a-z 0-9 - _ .",
                 error_of(R"({"kind":"search","name":"s","spec":{}})").c_str());
    STRCMP_EQUAL(
        "field kind: found \"shard\", allowed is search or upstream or index "
        "or rule",
        error_of(R"({"kind":"shard","name":"s","spec":{}})").c_str());
    STRCMP_EQUAL("resource is not valid JSON", error_of("{").c_str());
}

TEST(schema, refuses_an_unknown_field)
{
    const auto text = error_of(
        R"({"kind":"search","name":"s","spec":{"index":"i","deadline":3}})");
    CHECK(text.starts_with("field spec.deadline: found an unknown field"));
}

TEST(schema, refuses_a_shard_twice)
{
    const auto text = error_of(R"({"kind":"index","name":"i","spec":{"epoch":1,
        "shards":[{"name":"a","upstreams":["u"]},
                  {"name":"a","upstreams":["v"]}]}})");
    CHECK(text.starts_with("field spec.shards: found the name a twice"));
}
