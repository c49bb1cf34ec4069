// Tests of encoding and decoding the messages and objects of the platform's
// store, on made-up examples.
#include "platform/json_reader.hpp"
#include "platform/store.hpp"

#include <CppUTest/TestHarness.h>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <tuple>

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

namespace
{

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string joined(std::initializer_list<std::string_view> parts)
{
    std::string out;
    for (const auto it : parts)
        out += it;
    return out;
}

/// Objects that name no server to use: what another writer may leave.
std::vector<std::string> odd_objects()
{
    const auto with = [](const std::string& fields)
    {
        return R"({"meta":{"name":"odd"},"spec":{"service":"p","zone":"z",)"
               R"("state":"ready",)" +
               fields + "}}";
    };
    const std::string address = R"("addr":"10.0.0.9:80")";
    std::vector<std::string> out{
        "7",
        "null",
        "[]",
        "{}",
        R"({"meta":{"name":5},"spec":{}})",
        R"({"meta":{"name":"odd"},"spec":)" + nested(100'000) + "}",
        R"({"meta":{"name":"odd"},"spec":"\ud800"})",
        with(R"("addr":)" + nested(100'000)),
        with(address + R"(,"state":)" + nested(1'000'000)),
        with(address + R"(,"born":1e999)"),
        with(address + R"(,"born":-1e999)"),
        with(address + R"(,"born":1e300)"),
        with(address + R"(,"born":99999999999999999999999999)"),
        with(address + R"(,"born":18446744073709551615)"),
        with(address + R"(,"born":"5")"),
        with(address + R"(,"capacity":1e999)"),
        with(address + R"(,"capacity":-1)"),
        with(address + R"(,"capacity":18446744073709551615)"),
        with(address + R"(,"warmupLeftMs":1e999)"),
        with(address + R"(,"state":")" + std::string(2'000'000, 'x') + "\""),
        with(address + ",\"state\":\"\xff\xfe\""),
        with(address + ",\"state\":\"a\nb\""),
        with(address + R"(,"service":5)"),
        with(R"("addr":5)")};
    for (const char* it :
         {"10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:65536", "10.0.0.9:http",
          "10.0.0.9:99999999999999999999", "10.0.0.9:8e1", "10.0.0.9",
          "10.0.0.999:80", "10.0.0:80", "nowhere:80", ":80", "",
          "10.0.0.9:80:80", "10.0.0.9: 80"})
        out.push_back(with(R"("addr":")" + std::string(it) + "\""));
    return out;
}

} // namespace

TEST_GROUP(store){};

TEST(store, list_and_watch_requests_name_the_kind_and_the_position)
{
    gateway::follow_call call;
    call.after = "i 1/x";
    STRCMP_EQUAL("/objects/servers?after=i%201%2Fx",
                 platform::encode_list_or_watch("servers", call, "10.0.0.1:80")
                     .target.c_str());
    call.step = follow_step::watch;
    call.position.revision = 530;
    call.watch_timeout = base::milliseconds(2'000);
    STRCMP_EQUAL("/objects/config?watch=530&waitMs=2000",
                 platform::encode_list_or_watch("config", call, "10.0.0.1:80")
                     .target.c_str());
}

TEST(store, list_pages_and_watch_events_are_decoded)
{
    const auto page = platform::decode_batch(
        follow_step::list,
        {200,
         {},
         R"({"items":[{"meta":{"name":"a","rev":3},"spec":{"k":1}}],
             "hasMore":true,"storeRevision":530})"});
    CHECK(page.has_value());
    LONGS_EQUAL(530, page->position.revision);
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

// Guards against a VM that falls behind further with each change: what later
// changes replace takes as long to apply as they do.
TEST(store, changes_that_later_ones_replace_are_left_out)
{
    const auto batch =
        platform::decode_batch(follow_step::watch, {200,
                                                    {},
                                                    R"({"events": [
             {"object": {"meta": {"name": "a"}, "spec": {"n": 1}}, "deleted": false},
             {"object": {"meta": {"name": "b"}, "spec": {"n": 1}}, "deleted": false},
             {"object": {"meta": {"name": "a"}, "spec": {"n": 2}}, "deleted": false},
             {"object": {"meta": {"name": "c"}, "spec": {"n": 1}}, "deleted": true},
             {"object": {"meta": {"name": "c"}, "spec": {"n": 2}}, "deleted": false},
             {"object": {"meta": {"name": "b"}, "spec": null}, "deleted": true}],
             "storeRevision": 9})"});
    CHECK(batch.has_value());
    LONGS_EQUAL(3, batch->changes.size());
    const auto& [a, c, b] =
        std::tie(batch->changes[0], batch->changes[1], batch->changes[2]);
    STRCMP_EQUAL("a", a.name.c_str());
    STRCMP_EQUAL(R"({"n":2})", a.content.c_str());
    STRCMP_EQUAL("c", c.name.c_str());
    STRCMP_EQUAL(R"({"n":2})", c.content.c_str());
    CHECK_FALSE(c.deleted);
    STRCMP_EQUAL("b", b.name.c_str());
    CHECK(b.deleted);
}

TEST(store, failed_requests_are_mapped_to_error_codes)
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
    const auto catalog = platform::decode_catalog(configuration);
    CHECK(catalog.has_value());
    LONGS_EQUAL(12, catalog->version());
    LONGS_EQUAL(262'144, catalog->limits().max_body_bytes);
    const auto scattered = catalog->match("h.example", "/a/1");
    CHECK(scattered->is_idempotent());
    LONGS_EQUAL(2, scattered->shards.size());
    LONGS_EQUAL(50, scattered->max_records);
    CHECK(scattered->latency_objective == base::milliseconds(150));
    CHECK_FALSE(catalog->match("h.example", "/b/1")->is_idempotent());
    // An unknown type of search is not repeatable.
    const auto split = catalog->match("h.example", "/c/1");
    CHECK_FALSE(split->is_idempotent());
    LONGS_EQUAL(2, split->services.size());
    LONGS_EQUAL(26, catalog->find_service("p")->max_connections);
}

TEST(store, the_error_of_a_malformed_configuration_names_a_missing_field)
{
    CHECK_FALSE(platform::decode_catalog("{").has_value());
    const auto catalog = platform::decode_catalog(R"({"version": 3})");
    CHECK_FALSE(catalog.has_value());
    CHECK(catalog.error().text.find("routes") != std::string::npos);
    CHECK_FALSE(platform::decode_catalog(
                    R"({"version": "x", "routes": [], "services": []})")
                    .has_value());
}

TEST(store, a_servers_entry_is_decoded)
{
    const auto entry = platform::decode_server_entry(server(
        R"({"service":"p","addr":"10.0.0.9:8080","zone":"z","version":"v1",
            "capacity":2,"state":"draining","warmupLeftMs":1500,"sequence":4,
            "born":1700000000000})"));
    CHECK(entry.has_value());
    STRCMP_EQUAL("i-1", entry->id.c_str());
    CHECK(entry->leaving);
    CHECK(entry->warmup_left == base::milliseconds(1'500));
    CHECK(entry->started_at == 1'700'000'000'000);
}

TEST(store, a_malformed_server_entry_is_an_error)
{
    for (const char* text :
         {"", "7", "{}", R"({"service":"p","addr":"10.0.0.9:8080"})",
          R"({"service":"p","addr":"nowhere","zone":"z","state":"ready"})",
          R"({"service":"p","addr":"10.0.0.9:80","zone":"z","state":"odd"})",
          R"({"service":5,"addr":"10.0.0.9:80","zone":"z","state":"ready"})"})
        CHECK_FALSE(platform::decode_server_entry(server(text)).has_value());
}

// Guards against processes that end, or no longer follow the list, because of
// one odd entry that another writer left among those of the servers.
TEST(store, one_odd_entry_does_not_hide_the_others)
{
    const std::string good =
        R"({"meta":{"name":"good"},"spec":{"service":"p","zone":"z",)"
        R"("addr":"10.0.0.9:80","state":"ready","born":5}})";
    const std::string end = R"(],"storeRevision":7})";
    for (const auto& odd : odd_objects())
    {
        const auto list = platform::decode_batch(
            follow_step::list,
            {200,
             {},
             joined({R"({"items":[)", good, ",", odd, ",", good, end})});
        const auto watch = platform::decode_batch(
            follow_step::watch, {200,
                                 {},
                                 joined({R"({"events":[{"object":)", odd,
                                         R"(},{"object":)", good, "}", end})});
        for (const auto* batch : {&list, &watch})
        {
            CHECK_TEXT(batch->has_value(), odd.substr(0, 200).c_str());
            const auto& last = (*batch)->changes.back();
            STRCMP_EQUAL("good", last.name.c_str());
            CHECK(platform::decode_server_entry(last).has_value());
            for (const auto& it : (*batch)->changes)
            {
                platform::decode_order(platform::servers_kind, it.content);
                const auto entry = platform::decode_server_entry(it);
                CHECK_TEXT(entry.has_value() == (it.name == "good"),
                           odd.substr(0, 200).c_str());
                if (!entry)
                    CHECK(entry.error().text.size() < 400);
            }
        }
    }
}

TEST(store, odd_values_in_a_configuration_are_an_error_or_bounded)
{
    const auto with = [](const std::string& value)
    {
        return platform::decode_catalog(
            R"({"version":3,"services":[],"limits":{"idleTimeoutMs":)" + value +
            R"(},"routes":[]})");
    };
    CHECK(with("1e300")->limits().idle_timeout <=
          base::milliseconds(86'400'000));
    CHECK_FALSE(with("1e999").has_value());
    CHECK_FALSE(with(nested(100'000)).has_value());
    CHECK_FALSE(with("\"\xff\"").has_value());
}

TEST(store, whatever_bytes_an_entry_holds_the_reader_goes_on)
{
    CHECK(rc::check(
        [](const std::string& bytes)
        {
            const auto text = platform::without_unusual_values(bytes);
            const auto parsed = nlohmann::json::parse(text, nullptr, false);
            // What is JSON stays JSON with the same meaning.
            const auto before = nlohmann::json::parse(bytes, nullptr, false);
            RC_ASSERT(before.is_discarded() || before == parsed);
            const nlohmann::json quoted = {
                {"k", nlohmann::json::parse(nlohmann::json(bytes).dump(
                          -1, ' ', false,
                          nlohmann::json::error_handler_t::replace))}};
            RC_ASSERT(platform::parse_tolerantly(quoted.dump()) == quoted);
        }));
}

// Guards against a number that makes the store's whole answer unreadable, for
// as long as its entry is there: servers that leave are then not noticed.
TEST(store, whatever_number_an_entry_holds_the_others_are_read)
{
    CHECK(rc::check(
        []
        {
            const auto digits = [](int max)
            {
                return std::string(
                    static_cast<std::size_t>(*rc::gen::inRange(1, max)),
                    static_cast<char>('0' + *rc::gen::inRange(1, 10)));
            };
            std::string number =
                *rc::gen::element(std::string(), std::string("-"));
            number += digits(700);
            if (*rc::gen::arbitrary<bool>())
                number += "." + digits(700);
            if (*rc::gen::arbitrary<bool>())
                number += *rc::gen::element('e', 'E') +
                          *rc::gen::element(std::string(), std::string("+"),
                                            std::string("-")) +
                          digits(5);
            const auto text = R"([{"k":)" + number + R"(,"l":[)" + number +
                              R"(,{"m":)" + number + R"(}],"k":)" + number +
                              R"(},{"whole":1}])";
            RC_ASSERT(platform::parse_tolerantly(text).at(1).at("whole") == 1);
        }));
}

TEST(store, an_encoded_vm_entry_is_decoded_unchanged)
{
    const gateway::vm_entry vm{"vm 1", "10.0.0.3:70", "z", 4};
    const auto create = platform::encode_create_vm_entry(vm, "10.0.0.1:80");
    STRCMP_EQUAL("POST", create.method.c_str());
    STRCMP_EQUAL("/objects/entry-vms", create.target.c_str());
    STRCMP_EQUAL(
        "/objects/entry-vms/vm%201",
        platform::encode_replace_vm_entry(vm, "10.0.0.1:80").target.c_str());
    STRCMP_EQUAL(
        "DELETE",
        platform::encode_delete_vm_entry("vm 1", "10.0.0.1:80").method.c_str());
    const auto page = platform::decode_batch(
        follow_step::list,
        {200, {}, R"({"items":[)" + create.body + R"(],"storeRevision":5})"});
    CHECK(platform::decode_vm_entry(page->changes.at(0)) == vm);
}
