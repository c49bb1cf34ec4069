// Tests of what callers may make a server hold: bytes, connections and time,
// over all connections.
#include "loop_peer.hpp"

#include "mimosacroft/http/server.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <memory>
#include <vector>

using namespace http_test;
using base::milliseconds;

namespace
{

constexpr std::size_t kilobyte = 1024;

std::string post(std::size_t length)
{
    return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n";
}

const std::string get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

TEST_GROUP(server_limits)
{
    io_context io;
    tcp::endpoint at = free_endpoint(io);
    std::vector<std::pair<http::request_number, http::request>> requests;
    bool gives_up = false;
    std::shared_ptr<http::server_budget> budget =
        std::make_shared<http::server_budget>(100 * kilobyte);
    http::server server{
        io,
        at,
        {.on_request = [this](http::request_number n, http::request&& message)
         { requests.emplace_back(n, std::move(message)); },
         .on_leave = [](http::request_number) {},
         .on_give_up =
             [this](http::request_number n)
         {
             if (gives_up)
                 server.answer(n, {502, {}, "late"});
         }},
        {.header_bytes = 4 * kilobyte,
         .body_bytes = 256 * kilobyte,
         .header_time = milliseconds(2'000),
         .idle_time = milliseconds(5'000),
         .connections = 3},
        budget};
    std::vector<std::unique_ptr<loop_peer>> peers;

    TEST_TEARDOWN()
    {
        for (const auto& it : peers)
            it->close();
        run(milliseconds(5));
    }

    void run(milliseconds length)
    {
        io.restart();
        io.run_for(length);
    }

    /// A caller that has sent this, which the server has read.
    loop_peer& caller(const std::string& bytes)
    {
        peers.push_back(std::make_unique<loop_peer>(io));
        peers.back()->connect(at);
        peers.back()->send(bytes);
        run(milliseconds(20));
        return *peers.back();
    }

    void expect(const loop_peer& it, const std::string& text)
    {
        CHECK(run_until(io, [&]
                        { return it.got().find(text) != std::string::npos; }));
    }

    void sweep_after(milliseconds time)
    {
        server.sweep(base::now() + time);
        run(milliseconds(10));
    }
};

TEST(server_limits, a_head_that_comes_byte_by_byte_is_refused_in_time)
{
    auto& slow = caller("G");
    const auto begin = base::now();
    for (const char c : std::string("ET /a HTTP/1.1\r\nHost: h\r\n"))
    {
        slow.send(std::string(1, c));
        run(milliseconds(2));
    }
    // The last byte has just come.
    server.sweep(begin + milliseconds(1'990));
    CHECK(slow.got().empty());
    server.sweep(begin + milliseconds(2'010));
    expect(slow, " 408 ");
}

TEST(server_limits, a_body_that_comes_byte_by_byte_is_refused_in_time)
{
    auto& slow = caller(post(100) + "x");
    sweep_after(milliseconds(1'900));
    CHECK(slow.got().empty());
    // 7 s, the time for a whole request; bytes come until just before.
    const auto end = base::now() + milliseconds(7'100);
    slow.send("x");
    run(milliseconds(10));
    server.sweep(end);
    expect(slow, " 408 ");
    CHECK(requests.empty());
}

TEST(server_limits, an_answer_that_nobody_reads_ends_in_time)
{
    auto& deaf = caller(get);
    deaf.stop_reading();
    server.answer(requests.at(0).first, {200, {}, std::string(16 << 20, 'x')});
    run(milliseconds(20));
    LONGS_EQUAL(1, server.in_flight());
    sweep_after(milliseconds(6'900));
    LONGS_EQUAL(1, server.in_flight());
    sweep_after(milliseconds(7'100));
    LONGS_EQUAL(0, server.connections());
    LONGS_EQUAL(1, budget->shed(http::shed_reason::slow_answer));
    LONGS_EQUAL(0, budget->held_bytes());
}

// An answer that is taken bit by bit is that of an ordinary caller on a slow
// link, however long it takes.
TEST(server_limits, an_answer_that_is_read_stays_before_one_that_nobody_reads)
{
    const std::string large(32 << 20, 'x');
    const auto room = std::make_shared<http::server_budget>(
        std::size_t{70} << 20U); // for two of them
    const auto second_port = free_endpoint(io);
    std::vector<http::request_number> asked;
    http::server other{
        io,
        second_port,
        {.on_request = [&](auto n, auto&&) { asked.push_back(n); },
         .on_leave = [](auto) {}},
        {},
        room};
    std::vector<tcp::socket> callers;
    for (std::size_t n = 0; n < 3; ++n)
    {
        callers.emplace_back(io);
        callers.back().connect(second_port);
        http::asio::write(callers.back(), http::asio::buffer(get));
        CHECK(run_until(io, [&] { return asked.size() > n; }));
    }
    std::vector<char> buf(64 * kilobyte);
    std::size_t taken = 0;
    const auto read_on = [&](milliseconds pause)
    {
        run(pause);
        other.sweep(base::now());
        if (callers[0].available() > 0)
            taken += callers[0].read_some(http::asio::buffer(buf));
    };
    other.answer(asked[0], {200, {}, large});
    other.answer(asked[1], {200, {}, large});
    for (int n = 0; n < 150; ++n)
        read_on(milliseconds(10));
    LONGS_EQUAL(0, room->shed(http::shed_reason::bytes));
    other.answer(asked[2], {200, {}, large});
    LONGS_EQUAL(1, room->shed(http::shed_reason::bytes));
    CHECK(run_until(io,
                    [&]
                    {
                        read_on(milliseconds(0));
                        return taken >= large.size();
                    }));
}

// The first has held its part for longest, and the last is inside all limits.
TEST(server_limits, the_caller_that_holds_most_for_longest_is_turned_away)
{
    auto& first = caller(post(60 * kilobyte) + std::string(59 * kilobyte, 'x'));
    run(milliseconds(1'100));
    auto& second =
        caller(post(60 * kilobyte) + std::string(60 * kilobyte, 'x'));
    expect(first, " 503 ");
    CHECK(first.got().find("Retry-After: ") != std::string::npos);
    LONGS_EQUAL(1, requests.size());
    server.answer(requests.at(0).first, {200, {}, "ok"});
    expect(second, "ok");
    // "Not run" stays true.
    first.send(std::string(kilobyte, 'x') + get);
    run(milliseconds(20));
    LONGS_EQUAL(1, requests.size());
}

TEST(server_limits, the_largest_body_is_served_though_it_exceeds_the_budget)
{
    caller(post(256 * kilobyte) + std::string(256 * kilobyte, 'x'));
    CHECK(run_until(io, [&] { return requests.size() == 1; }));
    LONGS_EQUAL(256 * kilobyte, requests.at(0).second.body.size());
}

TEST(server_limits, requests_that_are_worked_on_leave_room_for_others)
{
    const auto large = post(20 * kilobyte) + std::string(20 * kilobyte, 'x');
    auto& first = caller(large);
    auto& second = caller(large);
    auto& small = caller(get);
    expect(second, " 503 ");
    LONGS_EQUAL(2, requests.size());
    server.answer(requests.at(0).first, {200, {}, "one"});
    server.answer(requests.at(1).first, {200, {}, "two"});
    expect(first, "one");
    expect(small, "two");
}

TEST(server_limits, what_comes_behind_a_request_that_runs_is_thrown_away)
{
    auto& greedy = caller(get + std::string(72 * kilobyte, 'x'));
    LONGS_EQUAL(1, requests.size());
    caller(post(60 * kilobyte) + std::string(59 * kilobyte, 'x'));
    LONGS_EQUAL(1, budget->shed(http::shed_reason::bytes));
    server.answer(requests.at(0).first, {200, {}, "ok"});
    expect(greedy, "Connection: close");
    expect(greedy, "ok");
    LONGS_EQUAL(1, requests.size());
}

TEST(server_limits, a_new_caller_takes_the_place_of_the_one_idle_for_longest)
{
    auto& running = caller(get);
    auto& idle = caller("");
    auto& other = caller("");
    auto& last = caller(get);
    CHECK(run_until(io, [&] { return idle.ended(); }));
    CHECK_FALSE(running.ended());
    CHECK_FALSE(other.ended());
    LONGS_EQUAL(3, server.connections());
    server.answer(requests.at(1).first, {200, {}, "ok"});
    expect(last, "ok");
    LONGS_EQUAL(1, budget->shed(http::shed_reason::connections));
}

TEST(server_limits, beside_requests_that_run_for_long_a_new_caller_finds_room)
{
    gives_up = true;
    auto& oldest = caller(get);
    caller(get);
    caller(get);
    auto& early = caller(get);
    CHECK(run_until(io, [&] { return early.ended(); }));
    LONGS_EQUAL(3, requests.size());
    run(milliseconds(1'100));
    auto& late = caller(get);
    expect(oldest, "late");
    LONGS_EQUAL(4, requests.size());
    server.answer(requests.at(3).first, {200, {}, "ok"});
    expect(late, "ok");
}

TEST(server_limits, trailers_without_an_end_are_refused)
{
    auto& endless =
        caller("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
               "\r\n0\r\n" +
               std::string(5 * kilobyte, 'x'));
    expect(endless, " 431 ");
}

// The limits of the configuration are for the next request, also on a
// connection that is open.
TEST(server_limits, limits_that_rise_hold_for_the_next_request_of_a_connection)
{
    auto& one = caller("");
    auto limits = server.limits();
    limits.body_bytes = 512 * kilobyte;
    server.set_limits(limits);
    one.send(post(300 * kilobyte) + std::string(300 * kilobyte, 'x'));
    CHECK(run_until(io, [&] { return requests.size() == 1; }));
}
