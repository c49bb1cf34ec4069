// A short run of what scripts/fuzz does for long: every decoder that faces the
// outside gets damaged inputs and must give a value or an error.
#include "mimosacroft/daemon/caller_api.hpp"
#include "mimosacroft/fleet/platform_codec.hpp"
#include "mimosacroft/model/schema.hpp"
#include "mimosacroft/query/upstream_codec.hpp"
#include "mimosacroft/wire/frame.hpp"
#include "mimosacroft/wire/messages.hpp"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>

using namespace mimosacroft;

namespace
{

using texts = std::vector<std::string>;

// The inputs that the fuzzer of this name starts from.
texts seeds_of(const std::string& fuzzer)
{
    texts out;
    const std::string folder = MIMOSA_SOURCE_DIR "/fuzz/seeds/" + fuzzer;
    for (const auto& it : std::filesystem::directory_iterator(folder))
    {
        std::ifstream in(it.path());
        out.emplace_back(std::istreambuf_iterator<char>(in),
                         std::istreambuf_iterator<char>());
    }
    std::ranges::sort(out);
    return out;
}

// Changes, removes or repeats some bytes.
std::string damaged(std::string text)
{
    const auto edits = *rc::gen::inRange(0, 6);
    for (int n = 0; n < edits && !text.empty(); ++n)
    {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length = *rc::gen::inRange<std::size_t>(1, 9);
        switch (*rc::gen::inRange(0, 4))
        {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, text.substr(at, length));
            break;
        default:
            text.insert(at, *rc::gen::element<std::string>(
                                "{}", "[]", "null", "-1", "1e999", "\"\"",
                                "18446744073709551616", "[[[[", "\\ud800"));
        }
    }
    return text;
}

bool survives(const std::string& fuzzer,
              const std::function<void(const std::string&)>& decode)
{
    const auto seeds = seeds_of(fuzzer);
    return rc::check(fuzzer,
                     [&]
                     {
                         const auto seed = *rc::gen::elementOf(seeds);
                         for (int n = 0; n < 10; ++n)
                             decode(damaged(seed));
                     });
}

} // namespace

TEST_GROUP(decoders){};

TEST(decoders, peer_frames_survive_damage)
{
    CHECK(survives("peer_frames_fuzz",
                   [](const std::string& text)
                   {
                       wire::frame_decoder decoder(1 << 16);
                       decoder.append(text);
                       for (auto it = decoder.next(); it && *it;
                            it = decoder.next())
                           (void)wire::unpack(**it);
                   }));
}

TEST(decoders, requests_of_callers_survive_damage)
{
    CHECK(survives("caller_json_fuzz", [](const std::string& text)
                   { (void)daemon::parse_search_request(text); }));
}

TEST(decoders, answers_of_upstreams_survive_damage)
{
    CHECK(survives("upstream_answers_fuzz",
                   [](const std::string& text)
                   {
                       (void)query::decode_reply(text);
                       (void)query::refused_before_start({503, {}, text});
                   }));
}

TEST(decoders, resources_survive_damage_and_what_is_read_can_be_written)
{
    CHECK(survives("resources_fuzz",
                   [](const std::string& text)
                   {
                       const auto read = model::parse_resource(text);
                       if (read)
                           RC_ASSERT(model::parse_resource(
                                         model::to_json(read->value))
                                         .has_value());
                   }));
}

TEST(decoders, replies_of_the_platform_survive_damage)
{
    CHECK(survives("platform_replies_fuzz",
                   [](const std::string& text)
                   {
                       (void)fleet::parse_changes(text);
                       (void)fleet::parse_vms(text);
                   }));
}
