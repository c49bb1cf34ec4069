// Tests of encoding and decoding the HTTP messages of callers and servers, on
// made-up examples.
#include "platform/messages.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;
using base::milliseconds;

TEST_GROUP(messages){static http::request request(){
    return {"POST",
            "/a/b?c=d",
            {{"Host", "h.example"},
             {"Mimosacroft-Request-Id", "r1"},
             {"Mimosacroft-Deadline-Ms", "1500"},
             {"Mimosacroft-Expect-Instance", "forged"},
             {"Connection", "keep-alive, X-Hop"},
             {"X-Hop", "1"},
             {"X-Kept", "2"},
             {"Content-Length", "4"}},
            "body"};
}

static std::string header(const http::header_list& in, const char* name)
{
    return std::string(http::find(in, name).value_or("none"));
}
}
;

TEST(messages, a_request_is_decoded_and_forwarded_with_the_remaining_time)
{
    auto decoded = platform::decode_request(request());
    CHECK(decoded.has_value());
    CHECK(decoded->deadline == milliseconds(1'500));
    STRCMP_EQUAL("r1", decoded->id.c_str());
    gateway::send_effect send;
    send.server_id = "s1";
    send.time_left = milliseconds(1'450);
    send.request =
        std::make_shared<const gateway::caller_request>(std::move(*decoded));
    const auto out = platform::encode_request(send);
    STRCMP_EQUAL("POST", out.method.c_str());
    STRCMP_EQUAL("/a/b?c=d", out.target.c_str());
    // The body is sent from the caller's request, of which there is one copy.
    STRCMP_EQUAL("body", send.request->message.body.c_str());
    STRCMP_EQUAL("", out.body.c_str());
    STRCMP_EQUAL("1450",
                 header(out.headers, "mimosacroft-deadline-ms").c_str());
    STRCMP_EQUAL("s1",
                 header(out.headers, "mimosacroft-expect-instance").c_str());
    STRCMP_EQUAL("r1", header(out.headers, "mimosacroft-request-id").c_str());
    STRCMP_EQUAL("2", header(out.headers, "x-kept").c_str());
    STRCMP_EQUAL("none", header(out.headers, "x-hop").c_str());
    STRCMP_EQUAL("none", header(out.headers, "connection").c_str());
    STRCMP_EQUAL("none", header(out.headers, "content-length").c_str());
}

TEST(messages, a_request_without_host_or_id_is_refused)
{
    for (const char* name : {"Host", "Mimosacroft-Request-Id"})
    {
        auto message = request();
        std::erase_if(message.headers, [name](const http::header& header)
                      { return header.name == name; });
        CHECK_FALSE(platform::decode_request(std::move(message)).has_value());
    }
}

TEST(messages, deadlines_are_clamped_and_malformed_ones_ignored)
{
    const auto deadline_of = [](const char* text)
    {
        auto message = request();
        message.headers[2].value = text;
        return platform::decode_request(std::move(message))->deadline;
    };
    CHECK(deadline_of("0") == milliseconds(0));
    CHECK(deadline_of("-5") == milliseconds(0));
    CHECK(deadline_of("12.9") == milliseconds(12));
    CHECK(deadline_of("1e300") == milliseconds(3'600'000));
    CHECK(deadline_of("inf") == milliseconds(3'600'000));
    CHECK_FALSE(deadline_of("nan").has_value());
    CHECK_FALSE(deadline_of("-nan").has_value());
    CHECK_FALSE(deadline_of("soon").has_value());
    CHECK_FALSE(deadline_of("").has_value());
}

TEST(messages, a_servers_stated_limit_is_decoded_and_a_malformed_one_ignored)
{
    const auto limit_of = [](const char* text)
    {
        return platform::decode_reply({200, {{"Server-Limit", text}}, ""})
            .rate_limit;
    };
    DOUBLES_EQUAL(25.3, limit_of("25.3").value(), 1e-9);
    DOUBLES_EQUAL(0, limit_of("0").value(), 1e-9);
    for (const auto* text : {"", "-1", "nan", "inf", "1e999", "25.3 ", "many"})
        CHECK_FALSE(limit_of(text).has_value());
    CHECK_FALSE(platform::decode_reply({200, {}, ""}).rate_limit.has_value());
}

TEST(messages, a_server_that_leaves_says_so)
{
    const auto is_leaving = [](unsigned status, const char* text)
    {
        return platform::decode_reply({status, {{"Server-Leaving", text}}, ""})
            .leaving;
    };
    CHECK(is_leaving(200, "1"));
    CHECK(is_leaving(503, "1"));
    for (const auto* text : {"", "0", "yes", "11"})
        CHECK_FALSE(is_leaving(200, text));
    CHECK_FALSE(platform::decode_reply({200, {}, ""}).leaving);
}

TEST(messages, a_servers_pause_is_decoded_and_a_malformed_one_ignored)
{
    const auto decode = [](unsigned status, const char* text)
    { return platform::decode_reply({status, {{"Retry-After", text}}, ""}); };
    CHECK(decode(503, "2").pause == base::milliseconds(2'000));
    CHECK(decode(503, "0.2501").pause == base::milliseconds(251));
    CHECK(decode(503, "0").pause == base::milliseconds(0));
    // A day at most.
    CHECK(decode(503, "1e300").pause == base::milliseconds(86'400'000));
    for (const auto* text : {"", "-1", "nan", "inf", "1e999", "soon", "2 ",
                             "Fri, 04 Dec 2026 07:28:00 GMT"})
    {
        CHECK_FALSE(decode(503, text).pause.has_value());
        CHECK(decode(503, text).has_invalid_pause);
    }
    CHECK_FALSE(decode(200, "2").pause.has_value());
    CHECK_FALSE(decode(429, "soon").has_invalid_pause);
}

TEST(messages, a_servers_reply_is_decoded)
{
    auto success =
        platform::decode_reply({200,
                                {{"Mimosacroft-Server-Stamp", "sig"},
                                 {"Mimosacroft-Server-Load", "1,2,3"}},
                                "x"});
    CHECK(success.executed);
    STRCMP_EQUAL("sig", success.signature.c_str());
    LONGS_EQUAL(2, success.load->waiting);
    CHECK_FALSE(
        platform::decode_reply({503, {{"Mimosacroft-Not-Executed", "1"}}, ""})
            .executed);
    CHECK(platform::decode_reply({503, {}, ""}).executed);
    const auto misdirected = platform::decode_reply({421, {}, ""});
    CHECK_FALSE(misdirected.executed);
    CHECK(misdirected.misdirected);
    CHECK_FALSE(
        platform::decode_reply({200, {{"Mimosacroft-Server-Load", "1,x"}}, ""})
            .load.has_value());
}

TEST(messages, replies_to_other_requests_are_recognised)
{
    const auto match = [](http::header_list headers)
    { return platform::match_reply("r1", {200, std::move(headers), ""}); };
    CHECK(match({{"Mimosacroft-Request-Id", "r1"}}) ==
          http::reply_match::belongs);
    CHECK(match({{"Mimosacroft-Request-Id", "r0"}}) ==
          http::reply_match::stray);
    CHECK(match({{"Content-Encoding", "gzip"}}) == http::reply_match::unusable);
}

// Guards against a late rejection of another request: taken for the answer to
// this one, it would be repeated although a server runs it.
TEST(messages, a_statement_of_not_having_run_needs_the_requests_id)
{
    const http::header not_executed{"Mimosacroft-Not-Executed", "1"};
    const http::header id{"Mimosacroft-Request-Id", "r1"};
    const auto match = [](unsigned status, http::header_list headers)
    { return platform::match_reply("r1", {status, std::move(headers), ""}); };
    CHECK(match(503, {not_executed}) == http::reply_match::stray);
    CHECK(match(421, {}) == http::reply_match::stray);
    CHECK(match(503, {not_executed, id}) == http::reply_match::belongs);
    CHECK(match(421, {id}) == http::reply_match::belongs);
    CHECK(match(500, {}) == http::reply_match::belongs);
}

// A signature is given to a request that ran.
TEST(messages, an_answer_that_contradicts_itself_is_not_used)
{
    const http::header not_executed{"Mimosacroft-Not-Executed", "1"};
    const http::header id{"Mimosacroft-Request-Id", "r1"};
    const http::header other_id{"Mimosacroft-Request-Id", "r0"};
    const http::header signature{"Mimosacroft-Server-Stamp", "s"};
    const auto match = [](unsigned status, http::header_list headers)
    { return platform::match_reply("r1", {status, std::move(headers), ""}); };
    CHECK(match(503, {not_executed, id, signature}) ==
          http::reply_match::unusable);
    CHECK(match(421, {id, signature}) == http::reply_match::unusable);
    CHECK(match(200, {not_executed, id}) == http::reply_match::unusable);
    CHECK(match(503, {id, other_id}) == http::reply_match::unusable);
    CHECK(match(200, {other_id, id}) == http::reply_match::unusable);
    CHECK(match(503, {not_executed, id}) == http::reply_match::belongs);
    CHECK(match(200, {id, signature}) == http::reply_match::belongs);
    // The whole late copy of another request's answer is passed over as ever.
    CHECK(match(503, {not_executed, other_id}) == http::reply_match::stray);
}

TEST(messages, a_merged_answer_lists_its_signatures_and_missing_shards)
{
    gateway::merged merged;
    merged.signatures = {"a", "b"};
    merged.missing = 1;
    merged.records = "0123456789abcdef";
    const auto out = platform::encode_answer(std::move(merged));
    LONGS_EQUAL(200, out.status);
    STRCMP_EQUAL("a, b",
                 header(out.headers, "mimosacroft-part-stamps").c_str());
    STRCMP_EQUAL("1", header(out.headers, "mimosacroft-missing-parts").c_str());
    STRCMP_EQUAL("0123456789abcdef", out.body.c_str());
}

TEST(messages, refusals_have_their_status_and_retry_after_header)
{
    const auto status_of = [](gateway::refusal why)
    {
        return platform::encode_answer(gateway::refused{why, std::nullopt})
            .status;
    };
    LONGS_EQUAL(503, status_of(gateway::refusal::no_configuration));
    LONGS_EQUAL(404, status_of(gateway::refusal::no_such_search));
    LONGS_EQUAL(503, status_of(gateway::refusal::overloaded));
    LONGS_EQUAL(502, status_of(gateway::refusal::failed));
    LONGS_EQUAL(504, status_of(gateway::refusal::timed_out));
    const auto out = platform::encode_answer(
        gateway::refused{gateway::refusal::overloaded, milliseconds(1'045)});
    STRCMP_EQUAL("1.045", header(out.headers, "retry-after").c_str());
}

TEST(messages, a_servers_reply_is_forwarded_without_hop_by_hop_headers)
{
    gateway::server_reply reply;
    reply.message = {404,
                     {{"Mimosacroft-Server-Stamp", "sig"},
                      {"Mimosacroft-Server-Load", "1,2,3"},
                      {"Keep-Alive", "timeout=5"},
                      {"X-Own", "1"}},
                     "gone"};
    const auto out = platform::encode_answer(std::move(reply));
    LONGS_EQUAL(404, out.status);
    STRCMP_EQUAL("gone", out.body.c_str());
    STRCMP_EQUAL("sig",
                 header(out.headers, "mimosacroft-server-stamp").c_str());
    STRCMP_EQUAL("1", header(out.headers, "x-own").c_str());
    STRCMP_EQUAL("none", header(out.headers, "keep-alive").c_str());
}
