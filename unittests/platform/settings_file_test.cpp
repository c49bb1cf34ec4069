// Tests of parsing the platform's settings file, on a made-up example.
#include "platform/settings_file.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;

namespace
{

const std::string complete_file = R"(
nodeName: "vm-1"
zone: "dc-a"
zones: {dc-a: "r1", dc-b: "r2"}
listen: {front: "10.1.0.9:81", ready: "10.1.0.9:82", control: "10.1.0.9:83"}
seedAddrs: ["10.1.0.9:83"]
bounds: {retryBudgetRatio: 0.2, budgetSlack: 54, budgetWindowS: 10, graceS: 6}
limits: {cpuShare: 0.25, memoryMb: 160, maxFds: 4100}
platform: {addr: "10.200.1.7:84"}
somethingNew: [1, 2]
)";

// The complete file but for the line that begins with `line_start`.
std::string complete_file_without(const std::string& line_start)
{
    const auto at = complete_file.find(line_start);
    return complete_file.substr(0, at) +
           complete_file.substr(complete_file.find('\n', at));
}

} // namespace

TEST_GROUP(settings_file){};

TEST(settings_file, a_complete_file_is_decoded_and_unknown_fields_are_ignored)
{
    const auto settings = platform::parse_settings(complete_file, "file");
    CHECK(settings.has_value());
    STRCMP_EQUAL("vm-1", settings->vm.c_str());
    STRCMP_EQUAL("10.1.0.9:83", settings->peer_address.c_str());
    STRCMP_EQUAL("r2", settings->regions.at("dc-b").c_str());
    DOUBLES_EQUAL(54, settings->extra.slack, 0);
    CHECK(settings->stop_grace == base::milliseconds(6'000));
    LONGS_EQUAL(std::size_t{160} << 20U, settings->memory_bytes);
    LONGS_EQUAL(3'900, settings->sockets);
}

TEST(settings_file, the_error_names_a_missing_required_field)
{
    const auto listen =
        platform::parse_settings(complete_file_without("listen:"), "file");
    CHECK_FALSE(listen.has_value());
    CHECK(to_string(listen.error()).find("listen") != std::string::npos);
    const auto store =
        platform::parse_settings(complete_file_without("platform:"), "file");
    CHECK(to_string(store.error()).find("platform") != std::string::npos);
}

TEST(settings_file, optional_fields_have_defaults)
{
    CHECK(platform::parse_settings(complete_file_without("bounds:"), "file")
              .has_value());
    CHECK(platform::parse_settings(complete_file_without("seedAddrs:"), "file")
              .has_value());
}

// Guards against a bound on answers that is no number, or none at all.
TEST(settings_file, memory_that_is_no_amount_counts_as_not_stated)
{
    for (const auto* odd : {".nan", "-1", "0", "-.inf"})
    {
        auto text = complete_file;
        text.replace(text.find("160"), 3, odd);
        const auto settings = platform::parse_settings(text, "f");
        CHECK(settings.has_value());
        LONGS_EQUAL(0, settings->memory_bytes);
    }
}

TEST(settings_file, malformed_text_is_an_error_that_names_the_file)
{
    for (const char* text :
         {"", "7", "a: [", "listen: 5\nnodeName: x\nzone: y"})
    {
        const auto settings = platform::parse_settings(text, "the-file");
        CHECK_FALSE(settings.has_value());
        STRCMP_EQUAL("the-file", settings.error().peer.c_str());
    }
    CHECK_FALSE(platform::read_settings("/nonexistent/file").has_value());
}
