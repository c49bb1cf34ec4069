// Tests of the server whose handlers block.
#include "mimosacroft/http/blocking_server.hpp"

#include "loop_peer.hpp"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <memory>
#include <mutex>
#include <thread>

using namespace http_test;
using http::blocking_server;

TEST_GROUP(blocking_server)
{
    io_context io;
    tcp::endpoint at = free_endpoint(io);
    loop_peer caller{io};
    loop_peer other{io};
    std::mutex gate; ///< handlers of /wait go on when it is free
    std::atomic<int> begun{0};
    std::unique_ptr<blocking_server> server;

    TEST_SETUP()
    {
        blocking_server::handlers on;
        on.on_request = [this](http::request&& message)
        {
            ++begun;
            if (message.target == "/wait")
                const std::lock_guard<std::mutex> lock(gate);
            return blocking_server::reply{{200, {}, message.target}, false};
        };
        on.make_refusal = [](unsigned status)
        { return http::response{status, {}, "refused"}; };
        on.on_turned_away = [](auto, auto) {};
        server = std::make_unique<blocking_server>(
            http::blocking_server_options{.address = tests::text_of(at),
                                          .max_body_bytes = 100},
            on);
        caller.connect(at);
        other.connect(at);
    }
    TEST_TEARDOWN()
    {
        server.reset();
        caller.close();
        other.close();
        io.restart();
        io.run_for(base::milliseconds(5));
    }

    void expect(const loop_peer& it, const std::string& text)
    {
        CHECK(run_until(io, [&]
                        { return it.got().find(text) != std::string::npos; }));
    }
};

TEST(blocking_server, a_handler_that_blocks_does_not_hold_up_others)
{
    {
        const std::lock_guard<std::mutex> lock(gate);
        caller.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
        other.send("GET /now HTTP/1.1\r\nHost: h\r\n\r\n");
        expect(other, "/now");
        CHECK(caller.got().empty());
    }
    expect(caller, "/wait");
}

TEST(blocking_server, requests_that_run_are_answered_at_the_end)
{
    std::thread stopping;
    {
        const std::lock_guard<std::mutex> lock(gate);
        caller.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK(run_until(io, [&] { return begun == 1; }));
        stopping = std::thread([this] { server.reset(); });
        io.restart();
        io.run_for(base::milliseconds(50));
    }
    expect(caller, "/wait");
    stopping.join();
}

TEST(blocking_server, a_body_that_is_too_large_is_refused_in_the_users_words)
{
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n");
    expect(caller, " 413 ");
    expect(caller, "refused");
    LONGS_EQUAL(0, begun);
}
