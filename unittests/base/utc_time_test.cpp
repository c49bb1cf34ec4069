// Tests of the time of day as text.
#include "mimosacroft/base/utc_time.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mimosacroft;
using base::milliseconds;

TEST_GROUP(utc_time){};

TEST(utc_time, dates_of_headers_read_back)
{
    STRCMP_EQUAL("Sun, 06 Nov 1994 08:49:37 GMT",
                 base::format_http_date(784'111'777).c_str());
    CHECK(base::parse_http_date("Sun, 06 Nov 1994 08:49:37 GMT") ==
          784'111'777);
    CHECK_FALSE(base::parse_http_date("1994-11-06").has_value());
    CHECK_FALSE(
        base::parse_http_date("Sun, 06 Nov 1994 08:49:37 GMT+1").has_value());
}

TEST(utc_time, times_of_logs_have_milliseconds)
{
    STRCMP_EQUAL("1994-11-06T08:49:37.005Z",
                 base::format_log_time(milliseconds(784'111'777'005)).c_str());
    for (const char* text :
         {"", "1994-11-06T08:49:37Z", "1994-11-06", "1994-11-06T08:49:37.5Z",
          "1994-11-06T08:49:37.xyzZ"})
        CHECK_FALSE(base::parse_log_time(text).has_value());
}

TEST(utc_time, times_of_logs_read_back)
{
    CHECK(rc::check(
        []
        {
            const milliseconds at(
                *rc::gen::inRange<std::int64_t>(0, 4'000'000'000'000));
            RC_ASSERT(base::parse_log_time(base::format_log_time(at)) == at);
        }));
}
