// Tests of what entry VMs say to each other.
#include "mimosacroft/entry/relay_codec.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mimosacroft;
using base::milliseconds;

TEST_GROUP(relay_codec){};

TEST(relay_codec, a_request_reads_back)
{
    gateway::caller_request request;
    request.id = "r1";
    request.host = "h.example";
    request.message = {"GET", "/a?b", {{"X-Own", "1"}}, "body"};
    gateway::relay_effect effect;
    effect.shards = {3, 5};
    effect.address = "10.0.0.2:70";
    effect.version = 12;
    effect.answer_within = milliseconds(90);
    effect.time_left = milliseconds(1'400);
    effect.request =
        std::make_shared<const gateway::caller_request>(std::move(request));
    const auto it = entry::decode_relay(entry::encode_relay(effect));
    CHECK(it.has_value());
    CHECK((it->shards == std::vector<std::uint32_t>{3, 5}));
    LONGS_EQUAL(12, it->version);
    CHECK(it->answer_within == milliseconds(90));
    CHECK(it->request.deadline == milliseconds(1'400));
    STRCMP_EQUAL("r1", it->request.id.c_str());
    STRCMP_EQUAL("/a?b", it->request.message.target.c_str());
    STRCMP_EQUAL("1", it->request.message.headers.at(0).value.c_str());
    STRCMP_EQUAL("body", it->request.message.body.c_str());
}

TEST(relay_codec, answers_read_back)
{
    const auto again = [](const gateway::answer& it)
    { return *entry::decode_relay_answer(entry::encode_relay_answer(it)); };
    const auto merged = std::get<gateway::merged>(
        again(gateway::merged{{"a", "b"}, {1, 4}, 2, "records"}));
    CHECK((merged.signatures == std::vector<std::string>{"a", "b"}));
    CHECK((merged.shards == std::vector<std::uint32_t>{1, 4}));
    LONGS_EQUAL(2, merged.missing);
    CHECK(
        std::holds_alternative<gateway::declined>(again(gateway::declined{})));
    const auto refused = std::get<gateway::refused>(
        again(gateway::refused{gateway::refusal::timed_out, std::nullopt}));
    CHECK(refused.why == gateway::refusal::timed_out);
}

TEST(relay_codec, no_bytes_do_harm)
{
    CHECK(rc::check(
        [](const std::string& bytes)
        {
            http::request request;
            request.body = bytes;
            const auto in = entry::decode_relay(request);
            const auto out = entry::decode_relay_answer({200, {}, bytes});
            RC_ASSERT(in.has_value() || !in.error().text.empty());
            RC_ASSERT(out.has_value() || !out.error().text.empty());
        }));
    CHECK_FALSE(entry::decode_relay_answer({500, {}, ""}).has_value());
}
