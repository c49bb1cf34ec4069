// Tests of the shared readings of text.
#include "mimosacroft/base/text.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;

TEST_GROUP(text){};

TEST(text, splits_without_empty_parts)
{
    CHECK((base::split("a,,b,", ',') == std::vector<std::string>{"a", "b"}));
    CHECK((base::split("one", ';') == std::vector<std::string>{"one"}));
    CHECK(base::split("", ',').empty());
}

TEST(text, reads_whole_numbers_only)
{
    CHECK(base::to_number("0") == 0U);
    CHECK(base::to_number("18446744073709551615") == UINT64_MAX);
    for (const auto* it :
         {"", " 1", "1 ", "-1", "+1", "0x1", "1.5", "18446744073709551616"})
        CHECK_FALSE(base::to_number(it).has_value());
}

TEST(text, knows_an_address)
{
    CHECK(base::is_address("127.0.0.1:1"));
    CHECK(base::is_address("127.0.0.1:65535"));
    for (const auto* it : {"", "here", ":80", "h:", "h:0", "h:65536", "h:8a",
                           "h:-1", "h:000080"})
        CHECK_FALSE(base::is_address(it));
}
