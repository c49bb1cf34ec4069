// Tests of the platform's settings file, on an example of our own.
#include "platform/settings_file.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;

namespace
{

const std::string whole = R"(
nodeName: "vm-1"
zone: "dc-a"
zones: {dc-a: "r1", dc-b: "r2"}
listen: {front: "10.1.0.9:81", ready: "10.1.0.9:82", control: "10.1.0.9:83"}
seedAddrs: ["10.1.0.9:83"]
bounds: {retryBudgetRatio: 0.2, budgetSlack: 54, budgetWindowS: 10, graceS: 6}
platform: {addr: "10.200.1.7:84"}
somethingNew: [1, 2]
)";

std::string without(const std::string& line_start)
{
    const auto at = whole.find(line_start);
    return whole.substr(0, at) + whole.substr(whole.find('\n', at));
}

} // namespace

TEST_GROUP(settings_file){};

TEST(settings_file, is_translated_and_unknown_fields_are_ignored)
{
    const auto it = platform::parse_settings(whole, "file");
    CHECK(it.has_value());
    STRCMP_EQUAL("vm-1", it->vm.c_str());
    STRCMP_EQUAL("10.1.0.9:83", it->peer_address.c_str());
    STRCMP_EQUAL("r2", it->regions.at("dc-b").c_str());
    DOUBLES_EQUAL(54, it->extra.slack, 0);
    CHECK(it->stop_grace == base::milliseconds(6'000));
}

TEST(settings_file, a_missing_address_is_named)
{
    const auto listen = platform::parse_settings(without("listen:"), "file");
    CHECK_FALSE(listen.has_value());
    CHECK(to_string(listen.error()).find("listen") != std::string::npos);
    const auto store = platform::parse_settings(without("platform:"), "file");
    CHECK(to_string(store.error()).find("platform") != std::string::npos);
}

TEST(settings_file, an_address_that_is_none_is_named)
{
    for (const char* address : {"10.1.0.9:81", "10.1.0.9:83", "10.200.1.7:84"})
    {
        auto text = whole;
        text.replace(text.find(address), 4, "here");
        const auto it = platform::parse_settings(text, "file");
        CHECK_FALSE(it.has_value());
        CHECK(to_string(it.error()).find("here") != std::string::npos);
    }
}

TEST(settings_file, what_may_be_missing_has_a_default)
{
    CHECK(platform::parse_settings(without("bounds:"), "file").has_value());
    CHECK(platform::parse_settings(without("seedAddrs:"), "file").has_value());
}

TEST(settings_file, nonsense_is_an_error_with_the_file)
{
    for (const char* text :
         {"", "7", "a: [", "listen: 5\nnodeName: x\nzone: y"})
    {
        const auto it = platform::parse_settings(text, "the-file");
        CHECK_FALSE(it.has_value());
        STRCMP_EQUAL("the-file", it.error().peer.c_str());
    }
    CHECK_FALSE(platform::read_settings("/nonexistent/file").has_value());
}
