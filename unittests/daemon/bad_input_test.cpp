// Bad input at the callers' API: each is refused with a clear error, and the
// process goes on. Some on the parser alone, some on a real process.
#include "../net/raw_server.hpp"
#include "mimosacroft/daemon/caller_api.hpp"
#include "process_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;
using namespace mimosacroft::tests;

namespace
{

std::string error_of(const std::string& body)
{
    const auto it = daemon::parse_search_request(body);
    return it ? "accepted" : it.error().text;
}

struct bad_request
{
    std::string body;
    std::string token;
    std::string search;
    unsigned status;
    std::string error; ///< part of the error that the caller gets
};

const std::vector<bad_request> bad_requests = {
    {"{\"query\":", "caller", "lookup", 400, "body is not valid JSON"},
    {"\xff\xfe", "caller", "lookup", 400, "body is not valid JSON"},
    {"[]", "caller", "lookup", 400, "an object"},
    {R"({"query":1,"qury":2})", "caller", "lookup", 400, "qury"},
    {R"({"query":1,"deadline_ms":-5})", "caller", "lookup", 400, "deadline_ms"},
    {R"({"query":1,"deadline_ms":1e30})", "caller", "lookup", 400,
     "deadline_ms"},
    {R"({"query":1,"deadline_ms":50000})", "caller", "lookup", 400,
     "deadline_ms"},
    {R"({"query":1,"least_coverage":2})", "caller", "lookup", 400,
     "least_coverage"},
    {"{}", "caller", "lookup", 400, "query"},
    {R"({"query":1})", "caller", "no-such", 400, "no-such"},
    {R"({"query":1})", "caller", "", 400, "no search"},
    {"{}", "stranger", "lookup", 401, "no rule knows this token"},
    {"{}", "", "lookup", 401, "Authorization"},
    {std::string(40'000, 'x'), "caller", "lookup", 413, "larger than 16384"},
};

std::string head_of(const std::string& length)
{
    return "POST /v1/searches/lookup HTTP/1.1\r\nHost: vm\r\n"
           "Authorization: Bearer caller\r\nContent-Length: " +
           length + "\r\n\r\n";
}

bool starts_with_status(const std::string& reply, const std::string& status)
{
    return reply.starts_with("HTTP/1.1 " + status);
}

fleet_plan plan_at(int offset)
{
    fleet_plan plan;
    plan.port = test_port(offset);
    plan.vms = 2;
    plan.vm_flags = {"--handover-wait-ms", "3000", "--max-body-bytes", "16384"};
    return plan;
}

void check_serves(const process_fleet& fleet)
{
    for (int n = 0; n < fleet.vm_count(); ++n)
        STRCMP_EQUAL("answered", fleet.search(n, "lookup", {{"query", "still"}})
                                     .value("outcome", "")
                                     .c_str());
}

} // namespace

TEST_GROUP(bad_input){};

TEST(bad_input, the_parser_names_the_field)
{
    STRCMP_EQUAL("accepted", error_of(R"({"query":1})").c_str());
    STRCMP_CONTAINS("query", error_of("{}").c_str());
    STRCMP_CONTAINS("deadline_ms", error_of(R"({"deadline_ms":-1})").c_str());
    STRCMP_CONTAINS("deadline_ms", error_of(R"({"deadline_ms":0})").c_str());
    STRCMP_CONTAINS("deadline_ms", error_of(R"({"deadline_ms":"1"})").c_str());
    STRCMP_CONTAINS(
        "deadline_ms",
        error_of(R"({"deadline_ms":99999999999999999999})").c_str());
    STRCMP_CONTAINS("deadlin", error_of(R"({"query":1,"deadlin":1})").c_str());
    STRCMP_CONTAINS("idempotency_key",
                    error_of(R"({"idempotency_key":7})").c_str());
    CHECK(daemon::parse_search_request(R"({"query":1})")->deadline ==
          std::nullopt);
}

TEST(bad_input, callers_get_a_clear_error_and_others_notice_nothing)
{
    const process_fleet fleet(plan_at(1400));
    CHECK(fleet.serving());
    for (const auto& it : bad_requests)
    {
        wire::http_headers headers;
        if (!it.token.empty())
            headers["authorization"] = "Bearer " + it.token;
        const auto reply =
            process_fleet::call(fleet.vm_http(0), "POST",
                                "/v1/searches/" + it.search, it.body, headers);
        LONGS_EQUAL(it.status, reply.status);
        const auto in = nlohmann::json::parse(reply.body, nullptr, false);
        STRCMP_EQUAL("rejected", in.value("outcome", "").c_str());
        STRCMP_CONTAINS(it.error.c_str(), in.value("error", "").c_str());
        check_serves(fleet);
    }
}

TEST(bad_input, bodies_in_pieces_and_broken_http)
{
    const process_fleet fleet(plan_at(1500));
    CHECK(fleet.serving());
    const int port = test_port(1500) + 10;
    const std::string close =
        "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n";
    CHECK(starts_with_status(
        send_raw(port, {head_of("13"), R"({"query)", R"(":"x"})", close}),
        "200"));
    std::vector<std::string> large = {head_of("40000")};
    for (int n = 0; n < 40; ++n)
        large.push_back(std::string(1000, 'x'));
    large.push_back(close);
    CHECK(starts_with_status(send_raw(port, large), "413"));
    // A caller that stops in the middle, and three that do not speak HTTP.
    send_raw(port, {head_of("100"), "{\"que"});
    send_raw(port, {"\x16\x03\x01 hello\r\n\r\n"});
    send_raw(port, {head_of("-1"), "{}"});
    send_raw(port, {head_of("99999999999999999999"), "{}"});
    // The bytes after a body are the next request, not a part of the body.
    const auto two = send_raw(port, {head_of("11") + R"({"query":1})" + close});
    CHECK(starts_with_status(two, "200"));
    STRCMP_CONTAINS("ready\n", two.c_str());
    check_serves(fleet);
}

TEST(bad_input, upstreams_that_answer_rubbish_lack_with_a_reason)
{
    const process_fleet fleet(plan_at(1600));
    CHECK(fleet.serving());
    for (const std::string fault :
         {"rubbish", "half", "no_epoch", "wrong_epoch", "wrong_shard", "short",
          "cut"})
    {
        for (int n = 0; n < 2; ++n)
            fleet.faults(fleet.server(n), {{"answer", fault}});
        const auto it = fleet.search(0, "lookup", {{"query", fault}});
        STRCMP_EQUAL("partial", it.value("outcome", "").c_str());
        // The other upstream's shards are whole.
        LONGS_EQUAL(4, it["coverage"]["included"].get<int>());
        for (const auto& lacking : it["coverage"]["lacking"])
            CHECK(lacking.value("reason", "none") != "none");
        for (int n = 0; n < 2; ++n)
            fleet.faults(fleet.server(n), {{"answer", ""}});
        CHECK(fleet.serving());
    }
}
