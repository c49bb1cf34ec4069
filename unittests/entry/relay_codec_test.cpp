// Tests that relayed requests and their answers survive encoding and decoding.
#include "mimosacroft/entry/relay_codec.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mimosacroft;
using base::milliseconds;

TEST_GROUP(relay_codec){};

TEST(relay_codec, a_request_round_trips)
{
    gateway::caller_request request;
    request.id = "r1";
    request.host = "h.example";
    request.message = {"GET", "/a?b", {{"X-Own", "1"}}, "body"};
    gateway::relay_effect effect;
    effect.shards = {3, 5};
    effect.servers = {{7, 4'000'000'000}, {8}};
    effect.record = {2, 1};
    effect.news.leaving = {{"i-1", 1'700'000'000'000}};
    effect.news.crashes = {{~0ULL, milliseconds(30'000), milliseconds(5)}};
    effect.address = "10.0.0.2:70";
    effect.version = 12;
    effect.answer_within = milliseconds(90);
    effect.time_left = milliseconds(1'400);
    effect.request =
        std::make_shared<const gateway::caller_request>(std::move(request));
    const auto decoded = entry::decode_relay(entry::encode_relay(effect));
    CHECK(decoded.has_value());
    CHECK((decoded->shards == std::vector<std::uint32_t>{3, 5}));
    CHECK(decoded->servers == effect.servers);
    LONGS_EQUAL(2, decoded->record.answered);
    LONGS_EQUAL(1, decoded->record.ended);
    CHECK(decoded->news.leaving == effect.news.leaving);
    CHECK(decoded->news.crashes.at(0).fingerprint == ~0ULL);
    CHECK(decoded->news.crashes.at(0).condemned_for == milliseconds(30'000));
    CHECK(decoded->news.crashes.at(0).age == milliseconds(5));
    LONGS_EQUAL(12, decoded->version);
    CHECK(decoded->answer_within == milliseconds(90));
    CHECK(decoded->request.deadline == milliseconds(1'400));
    STRCMP_EQUAL("r1", decoded->request.id.c_str());
    STRCMP_EQUAL("/a?b", decoded->request.message.target.c_str());
    STRCMP_EQUAL("1", decoded->request.message.headers.at(0).value.c_str());
    STRCMP_EQUAL("body", decoded->request.message.body.c_str());
}

TEST(relay_codec, answers_round_trip)
{
    const auto round_trip = [](const gateway::answer& answer)
    {
        const auto out = entry::decode_relay_answer(
            entry::encode_relay_answer({answer, {4, 3}, {{{"i-2", 9}}, {}}}));
        LONGS_EQUAL(4, out->record.answered);
        LONGS_EQUAL(3, out->record.ended);
        STRCMP_EQUAL("i-2", out->news.leaving.at(0).id.c_str());
        return out->reply;
    };
    const auto merged = std::get<gateway::merged>(
        round_trip(gateway::merged{{"a", "b"}, {1, 4}, 2, "records"}));
    CHECK((merged.signatures == std::vector<std::string>{"a", "b"}));
    CHECK((merged.shards == std::vector<std::uint32_t>{1, 4}));
    LONGS_EQUAL(2, merged.missing);
    CHECK(std::holds_alternative<gateway::declined>(
        round_trip(gateway::declined{})));
    const auto refused = std::get<gateway::refused>(round_trip(
        gateway::refused{gateway::refusal::timed_out, std::nullopt}));
    CHECK(refused.why == gateway::refusal::timed_out);
}

TEST(relay_codec, any_bytes_decode_or_give_an_error)
{
    CHECK(rc::check(
        [](const std::string& bytes)
        {
            http::request request;
            request.body = bytes;
            const auto decoded_request = entry::decode_relay(request);
            const auto decoded_answer =
                entry::decode_relay_answer({200, {}, bytes});
            RC_ASSERT(decoded_request.has_value() ||
                      !decoded_request.error().text.empty());
            RC_ASSERT(decoded_answer.has_value() ||
                      !decoded_answer.error().text.empty());
        }));
    CHECK_FALSE(entry::decode_relay_answer({500, {}, ""}).has_value());
}
