// Tests of the store's calls and objects, on examples of our own.
#include "platform/store.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;
using gateway::follow_step;

namespace
{

const std::string configuration = R"({
  "version": 12, "unknown": true,
  "routes": [
    {"name": "r1", "host": "h.example", "pathPrefix": "/a/",
     "type": "idempotent", "timeoutMs": 2500, "sloMs": 150, "priority": 1,
     "gather": ["p", "q"], "attempts": 2, "topK": 50, "minShare": 0.89},
    {"name": "r2", "host": "h.example", "pathPrefix": "/b/",
     "type": "non_idempotent", "service": "desk"},
    {"name": "r3", "host": "h.example", "pathPrefix": "/c/", "type": "other",
     "split": [{"service": "x", "weight": 3}, {"service": "y", "weight": 1}]}],
  "services": [{"name": "p", "healthPath": "/healthz", "maxConns": 26}],
  "limits": {"maxHeaderBytes": 9000, "maxBodyBytes": 262144,
             "headerTimeoutMs": 3000, "idleTimeoutMs": 20000}})";

gateway::object_change server(const std::string& content)
{
    return {"i-1", content, false};
}

} // namespace

TEST_GROUP(store){};

TEST(store, calls_name_the_kind_and_where_to_go_on)
{
    gateway::follow_call call;
    call.after = "i 1/x";
    STRCMP_EQUAL(
        "/objects/servers?after=i%201%2Fx",
        platform::encode_call("servers", call, "10.0.0.1:80").target.c_str());
    call.step = follow_step::watch;
    call.revision = 530;
    call.wait = base::milliseconds(2'000);
    STRCMP_EQUAL(
        "/objects/config?watch=530&waitMs=2000",
        platform::encode_call("config", call, "10.0.0.1:80").target.c_str());
}

TEST(store, pages_and_changes_are_decoded)
{
    const auto page = platform::decode_batch(
        follow_step::list,
        {200,
         {},
         R"({"items":[{"meta":{"name":"a","rev":3},"spec":{"k":1}}],
             "hasMore":true,"storeRevision":530})"});
    CHECK(page.has_value());
    LONGS_EQUAL(530, page->revision);
    CHECK(page->has_more);
    STRCMP_EQUAL(R"({"k":1})", page->changes.at(0).content.c_str());
    const auto events = platform::decode_batch(
        follow_step::watch,
        {200,
         {},
         R"({"events":[{"deleted":true,"object":{"meta":{"name":"a"}}}],
             "storeRevision":533})"});
    CHECK(events->changes.at(0).deleted);
}

TEST(store, failures_of_calls_are_told_apart)
{
    const auto code_of = [](unsigned status, const char* body)
    {
        return platform::decode_batch(follow_step::watch, {status, {}, body})
            .error()
            .code;
    };
    CHECK(code_of(410, "") == base::error_code::not_found);
    CHECK(code_of(429, "") == base::error_code::unavailable);
    CHECK(code_of(503, "") == base::error_code::unavailable);
    CHECK(code_of(200, "nonsense") == base::error_code::invalid);
    CHECK(code_of(200, "{}") == base::error_code::invalid);
}

TEST(store, a_configuration_is_decoded)
{
    const auto it = platform::decode_catalog(configuration);
    CHECK(it.has_value());
    LONGS_EQUAL(12, it->version());
    LONGS_EQUAL(262'144, it->limits().body_bytes);
    const auto all = it->match("h.example", "/a/1");
    CHECK(all->may_repeat());
    LONGS_EQUAL(2, all->shards.size());
    LONGS_EQUAL(50, all->most_records);
    CHECK(all->objective == base::milliseconds(150));
    CHECK_FALSE(it->match("h.example", "/b/1")->may_repeat());
    // What is not known to be repeatable is not repeated.
    const auto split = it->match("h.example", "/c/1");
    CHECK_FALSE(split->may_repeat());
    LONGS_EQUAL(2, split->services.size());
    LONGS_EQUAL(26, it->find_service("p")->most_connections);
}

TEST(store, a_configuration_that_cannot_be_read_names_the_field)
{
    CHECK_FALSE(platform::decode_catalog("{").has_value());
    const auto it = platform::decode_catalog(R"({"version": 3})");
    CHECK_FALSE(it.has_value());
    CHECK(it.error().text.find("routes") != std::string::npos);
    CHECK_FALSE(platform::decode_catalog(
                    R"({"version": "x", "routes": [], "services": []})")
                    .has_value());
}

TEST(store, a_servers_entry_is_decoded)
{
    const auto it = platform::decode_server(server(
        R"({"service":"p","addr":"10.0.0.9:8080","zone":"z","version":"v1",
            "capacity":2,"state":"draining","warmupLeftMs":1500,"sequence":4,
            "born":1700000000000})"));
    CHECK(it.has_value());
    STRCMP_EQUAL("i-1", it->id.c_str());
    CHECK(it->leaving);
    CHECK(it->cold_for == base::milliseconds(1'500));
    CHECK(it->started_at == 1'700'000'000'000);
}

TEST(store, an_entry_that_cannot_be_read_names_no_server)
{
    for (const char* text :
         {"", "7", "{}", R"({"service":"p","addr":"10.0.0.9:8080"})",
          R"({"service":"p","addr":"nowhere","zone":"z","state":"ready"})",
          R"({"service":"p","addr":"a.b:80","zone":"z","state":"ready"})",
          R"({"service":"p","addr":"10.0.0.9:80","zone":"z","state":"odd"})",
          R"({"service":5,"addr":"10.0.0.9:80","zone":"z","state":"ready"})"})
        CHECK_FALSE(platform::decode_server(server(text)).has_value());
}

TEST(store, a_vms_entry_reads_back)
{
    const gateway::vm_entry vm{"vm 1", "10.0.0.3:70", "z", 4};
    const auto create = platform::encode_create(vm, "10.0.0.1:80");
    STRCMP_EQUAL("POST", create.method.c_str());
    STRCMP_EQUAL("/objects/entry-vms", create.target.c_str());
    STRCMP_EQUAL("/objects/entry-vms/vm%201",
                 platform::encode_replace(vm, "10.0.0.1:80").target.c_str());
    STRCMP_EQUAL("DELETE",
                 platform::encode_remove("vm 1", "10.0.0.1:80").method.c_str());
    const auto page = platform::decode_batch(
        follow_step::list,
        {200, {}, R"({"items":[)" + create.body + R"(],"storeRevision":5})"});
    CHECK(platform::decode_vm(page->changes.at(0)) == vm);
    CHECK_FALSE(platform::decode_vm(
                    {"vm", R"({"address":"a.b:80","data_centre":"z"})", false})
                    .has_value());
}
