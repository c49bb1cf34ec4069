// Tests of the way from a request's id to its cause.
#include "mimosacroft/operate/log_explainer.hpp"

#include <CppUTest/TestHarness.h>
#include <sstream>

using namespace mimosacroft;

namespace
{

constexpr auto logs = R"(no line of a log
{"time":"2026-12-04T11:59:50.000Z","level":"warning","event":502,"name":"platform_lost","vm":"vm-1","peer":"10.0.0.1:80"}
 3.1 vm-1 {"time":"2026-12-04T12:00:00.000Z","level":"info","event":310,"name":"server_ejected","vm":"vm-1","peer":"i-1"}
{"time":"2026-12-04T12:00:00.000Z","level":"info","event":310,"name":"server_ejected","vm":"vm-2","peer":"i-1"}
{"time":"2026-12-04T12:00:01.250Z","level":"warning","event":231,"name":"request_refused","vm":"vm-1","request":"r1","reason":"failed","sends":"a: i-1 sent 0 lost 31"}
{"time":"2026-12-04T12:00:01.300Z","level":"info","event":230,"name":"request_answered","vm":"vm-1","request":"r2","status":"200"}
{"time":"2026-12-04T12:00:03.000Z","level":"warning","event":232,"name":"request_incomplete","vm":"vm-2","request":"r3","missing":"2","sends":"a: i-1 sent 0 no answer","relay":"vm-9 no answer"}
{"cut
)";

operate::explanation explain(const std::string& request)
{
    std::istringstream in(logs);
    return operate::explain_request(in, request);
}

bool says(const operate::explanation& it, const std::string& text)
{
    return to_text(it, "r").find(text) != std::string::npos;
}

} // namespace

TEST_GROUP(log_explainer){};

TEST(log_explainer, a_failure_with_its_reason_and_what_came_before)
{
    const auto it = explain("r1");
    LONGS_EQUAL(1, it.of_request.size());
    CHECK(says(it, "it may have run"));
    CHECK(says(it, "ended after the request was written"));
    // Neither another VM's note nor one of long ago.
    LONGS_EQUAL(1, it.around.size());
    STRCMP_EQUAL("server_ejected", it.around.front().name.c_str());
    STRCMP_EQUAL("vm-1", it.around.front().vm.c_str());
}

TEST(log_explainer, missing_shards_and_a_relay_that_did_not_answer)
{
    const auto it = explain("r3");
    CHECK(says(it, "2 shards are missing"));
    CHECK(says(it, "far shards: vm-9 no answer"));
}

TEST(log_explainer, a_success_has_nothing_to_explain)
{
    const auto it = explain("r2");
    LONGS_EQUAL(1, it.of_request.size());
    CHECK(it.findings.empty());
}

TEST(log_explainer, an_unknown_request_is_said_to_be_unknown)
{
    CHECK(says(explain("r9"), "no line of these logs"));
}

TEST(log_explainer, times_are_read_to_the_millisecond)
{
    const auto line = operate::parse_log_line(
        R"({"time":"1970-01-02T00:00:01.005Z","name":"started","vm":"v"})");
    CHECK(line.has_value());
    LONGS_EQUAL(86'401'005, line->at.count());
}
