// Tests of the blocking HTTP exchanges on real sockets.
#include "mimosacroft/net/blocking_http.hpp"
#include "raw_server.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;
using namespace mimosacroft::tests;

TEST_GROUP(blocking_http){};

// The sanitizer build also looks for leaks here.
TEST(blocking_http, a_kept_connection_serves_several_exchanges)
{
    const raw_server server("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                            "Content-Length: 2\r\n\r\nok",
                            after_reply::close);
    net::kept_connection link(server.address());
    for (int n = 0; n < 3; ++n)
    {
        const auto it =
            link.exchange({"GET", "/", "", {}, ""}, base::seconds(5));
        CHECK(it.has_value());
        STRCMP_EQUAL("ok", it->body.c_str());
    }
}
