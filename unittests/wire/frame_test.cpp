// Tests of the framing and of the messages' packing.
#include "mimosacroft/wire/frame.hpp"
#include "mimosacroft/wire/messages.hpp"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;

TEST_GROUP(frame){};

TEST(frame, gives_back_what_was_framed_in_any_cut)
{
    CHECK(rc::check("frames survive any cut of the stream",
                    [](const std::vector<std::string>& texts)
                    {
                        std::string stream;
                        for (const auto& it : texts)
                            stream += wire::make_frame(it);
                        wire::frame_decoder decoder(1 << 20);
                        std::vector<std::string> got;
                        while (!stream.empty())
                        {
                            const auto n = *rc::gen::inRange<std::size_t>(
                                1, stream.size() + 1);
                            decoder.append(stream.substr(0, n));
                            stream.erase(0, n);
                            for (auto it = decoder.next(); it && *it;
                                 it = decoder.next())
                                got.push_back(**it);
                        }
                        RC_ASSERT(got == texts);
                    }));
}

TEST(frame, refuses_a_frame_over_the_limit)
{
    wire::frame_decoder decoder(10);
    decoder.append(wire::make_frame("eleven bytes"));
    const auto it = decoder.next();
    CHECK_FALSE(it.has_value());
    CHECK(it.error().code == base::error_code::too_large);
}

TEST(frame, refuses_bytes_that_are_no_message)
{
    CHECK_FALSE(wire::unpack("").has_value());
    CHECK_FALSE(wire::unpack("rubbish").has_value());
    CHECK_FALSE(wire::unpack("\xdd\xff\xff\xff\xff").has_value());
    CHECK(rc::check("any bytes give a message or an error",
                    [](const std::string& bytes)
                    { (void)wire::unpack(bytes); }));
}

TEST(frame, packs_and_unpacks_a_forward)
{
    wire::forward sent;
    sent.query = {7, 9};
    sent.epoch = 3;
    sent.shards = {{0, "a", "u"}, {5, "b", "v"}};
    const auto got = wire::unpack(wire::pack(sent));
    CHECK(got.has_value());
    const auto& back = std::get<wire::forward>(*got);
    CHECK(back.query == sent.query);
    LONGS_EQUAL(3, back.epoch);
    LONGS_EQUAL(2, back.shards.size());
    STRCMP_EQUAL("v", back.shards[1].upstream.c_str());
}
