// Tests of the HTTP server against raw bytes of callers.
#include "loop_peer.hpp"

#include "mimosacroft/http/server.hpp"

#include <CppUTest/TestHarness.h>
#include <memory>
#include <vector>

using namespace http_test;

TEST_GROUP(server)
{
    io_context io;
    tcp::endpoint at = free_endpoint(io);
    std::vector<std::pair<http::request_number, http::request>> requests;
    std::vector<http::request_number> left;
    http::server server{
        io,
        at,
        {.on_request = [this](http::request_number n, http::request&& message)
         { requests.emplace_back(n, std::move(message)); },
         .on_leave = [this](http::request_number n) { left.push_back(n); },
         .make_refusal = [](unsigned status)
         { return http::response{status, {}, "refused"}; }},
        {.header_bytes = 400,
         .body_bytes = 64,
         .header_time = base::milliseconds(2'000),
         .idle_time = base::milliseconds(5'000)}};
    loop_peer caller{io};

    TEST_SETUP()
    {
        caller.connect(at);
    }
    // What still runs refers to the members above.
    TEST_TEARDOWN()
    {
        caller.close();
        io.restart();
        io.run_for(base::milliseconds(5));
    }

    void wait_for(std::size_t n)
    {
        CHECK(run_until(io, [&] { return requests.size() >= n; }));
    }

    void answer(std::size_t n, const std::string& body = "ok")
    {
        server.answer(requests.at(n).first, {200, {}, body});
    }

    void expect(const std::string& text)
    {
        CHECK(run_until(
            io, [&] { return caller.got().find(text) != std::string::npos; }));
    }
};

TEST(server, answers_and_keeps_the_connection)
{
    for (std::size_t n = 0; n < 3; ++n)
    {
        caller.send("GET /a?b HTTP/1.1\r\nHost: h\r\nX-Own: 1\r\n\r\n");
        wait_for(n + 1);
        STRCMP_EQUAL("/a?b", requests[n].second.target.c_str());
        answer(n, "body" + std::to_string(n));
        expect("body" + std::to_string(n));
    }
    LONGS_EQUAL(1, server.connections());
}

TEST(server, reads_bodies_with_a_length_and_in_chunks)
{
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
    wait_for(1);
    STRCMP_EQUAL("body", requests[0].second.body.c_str());
    answer(0);
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                "\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n");
    wait_for(2);
    STRCMP_EQUAL("body", requests[1].second.body.c_str());
}

TEST(server, pipelined_requests_are_answered_in_order)
{
    caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_for(1);
    LONGS_EQUAL(1, requests.size());
    answer(0, "first");
    wait_for(2);
    answer(1, "second");
    expect("second");
    CHECK(caller.got().find("first") < caller.got().find("second"));
}

TEST(server, refuses_what_it_cannot_read_and_ends_the_connection)
{
    const std::vector<std::pair<std::string, std::string>> cases = {
        {"NONSENSE\r\n\r\n", " 400 "},
        {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         " 400 "},
        {"GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(500, 'x') +
             "\r\n\r\n",
         " 431 "},
        {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", " 413 "},
        {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\nbody",
         " 413 "},
        {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n"
         "body",
         " 413 "}};
    for (const auto& [bytes, status] : cases)
    {
        loop_peer other{io};
        other.connect(at);
        other.send(bytes);
        CHECK(run_until(io, [&] { return other.ended(); }));
        CHECK(other.got().find(status) != std::string::npos);
        CHECK(other.got().find("Connection: close") != std::string::npos);
    }
    CHECK(requests.empty());
}

TEST(server, tells_when_a_caller_leaves_and_drops_the_late_answer)
{
    caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_for(1);
    caller.close();
    CHECK(run_until(io, [&] { return !left.empty(); }));
    LONGS_EQUAL(requests[0].first, left[0]);
    answer(0);
    LONGS_EQUAL(0, server.connections());
}

TEST(server, ends_idle_connections_and_times_slow_heads_out)
{
    caller.send("GET /a HT");
    io.restart();
    io.run_for(base::milliseconds(50));
    const auto now = std::chrono::steady_clock::now();
    server.sweep(now + base::milliseconds(1'000));
    LONGS_EQUAL(1, server.connections());
    server.sweep(now + base::milliseconds(2'500));
    expect(" 408 ");
    loop_peer idle{io};
    idle.connect(at);
    CHECK(run_until(io, [&] { return server.connections() >= 1; }));
    io.restart();
    io.run_for(base::milliseconds(20));
    server.sweep(std::chrono::steady_clock::now() + base::seconds(6));
    CHECK(run_until(io, [&] { return idle.ended(); }));
}

TEST(server, announces_its_stop_and_still_answers)
{
    caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_for(1);
    server.announce_close();
    server.close_idle();
    LONGS_EQUAL(1, server.in_flight());
    answer(0);
    expect("Connection: close");
    CHECK(run_until(io, [&] { return caller.ended(); }));
    loop_peer late{io};
    CHECK_THROWS(boost::system::system_error, late.connect(at));
}

TEST(server, large_answers_arrive_whole_at_a_slow_reader)
{
    caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_for(1);
    const std::string body(8 << 20, 'x');
    answer(0, body);
    CHECK(run_until(io, [&] { return caller.got().size() >= body.size(); }));
}

// Guards against a request that is answered 408, "not run", and runs when the
// rest of it arrives after all.
TEST(server, a_request_that_was_refused_is_never_handed_out)
{
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo");
    io.restart();
    io.run_for(base::milliseconds(20));
    server.sweep(std::chrono::steady_clock::now() + base::milliseconds(2'500));
    expect(" 408 ");
    caller.send("dyGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    io.restart();
    io.run_for(base::milliseconds(50));
    CHECK(requests.empty());
    server.sweep(std::chrono::steady_clock::now() + base::seconds(6));
    CHECK(run_until(io, [&] { return server.connections() == 0; }));
}

// A caller that sends on after an answer that ends the connection gets nothing
// run: there is no answer any more that could tell it.
TEST(server, nothing_is_handed_out_after_an_answer_that_ends_the_connection)
{
    caller.send("GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    wait_for(1);
    answer(0);
    expect("Connection: close");
    caller.send("GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
    io.restart();
    io.run_for(base::milliseconds(50));
    LONGS_EQUAL(1, requests.size());
}

// Any request, cut in two at any byte, with a refusal in between or not: it is
// refused or handed out, never both.
TEST(server, no_request_is_both_refused_and_handed_out)
{
    const std::vector<std::string> all = {
        "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"};
    for (const auto& bytes : all)
        for (std::size_t n = 1; n < bytes.size(); ++n)
        {
            requests.clear();
            loop_peer one{io};
            one.connect(at);
            one.send(bytes.substr(0, n));
            io.restart();
            io.run_for(base::milliseconds(2));
            server.sweep(std::chrono::steady_clock::now() +
                         base::milliseconds(2'500));
            one.send(bytes.substr(n) + all[0]);
            io.restart();
            io.run_for(base::milliseconds(2));
            CHECK(run_until(io,
                            [&] { return !one.got().empty() || one.ended(); }));
            CHECK(one.got().find(" 408 ") != std::string::npos);
            CHECK(requests.empty());
            one.close();
        }
}

// Guards against a body after the answer to a HEAD request, or after a status
// that has none: the caller takes it for the beginning of the next answer.
TEST(server, an_answer_that_has_no_body_leaves_no_bytes_on_the_connection)
{
    const std::string head = "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::vector<std::pair<std::string, unsigned>> cases = {
        {head, 200}, {head, 404}, {head, 503}, {head, 204},
        {get, 204},  {get, 304},  {get, 103}};
    for (std::size_t n = 0; n < cases.size(); ++n)
    {
        const auto& [request, status] = cases[n];
        caller.forget();
        caller.send(request);
        wait_for(n + 1);
        server.answer(requests.at(n).first, {status, {}, "a body"});
        expect("\r\n\r\n");
        io.restart();
        io.run_for(base::milliseconds(10));
        CHECK(caller.got().ends_with("\r\n\r\n"));
        CHECK(caller.got().starts_with("HTTP/1.1 " + std::to_string(status)));
    }
}

TEST(server, a_refused_head_request_gets_no_body)
{
    caller.send("HEAD /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n");
    expect(" 413 ");
    CHECK(run_until(io, [&] { return caller.ended(); }));
    CHECK(caller.got().ends_with("\r\n\r\n"));
}

// Two readers could take these for different requests, or for one with a body
// of other bytes: each is refused, and what follows is never run.
TEST(server, a_framing_that_can_be_read_in_two_ways_is_refused)
{
    const std::string post = "POST /a HTTP/1.1\r\nHost: h\r\n";
    const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string chunked_body = "4\r\nbody\r\n0\r\n\r\n";
    const std::vector<std::string> heads = {
        post + "Transfer-Encoding: gzip\r\n\r\n",
        post + "Transfer-Encoding: gzip, chunked\r\n\r\n",
        post + "Transfer-Encoding: chunked, gzip\r\n\r\n",
        post + "Transfer-Encoding: chunked, chunked\r\n\r\n",
        post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"
               "\r\n\r\n",
        post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity"
               "\r\n\r\n",
        post + "Transfer-Encoding: identity\r\n\r\n",
        post + "Transfer-Encoding: xchunked\r\n\r\n",
        post + "Transfer-Encoding:\r\n\r\n",
        post + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n",
        post + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
        post + "Content-Length: 4\r\nContent-Length: 5\r\n\r\n",
        post + "Content-Length: 4, 4\r\n\r\n",
        post + "Content-Length: +4\r\n\r\n",
        post + "Content-Length: -4\r\n\r\n",
        post + "Content-Length: 0x4\r\n\r\n",
        post + "Content-Length : 4\r\n\r\n",
        "POST /a HTTP/1.1\nHost: h\nContent-Length: 4\n\n",
        post + "Content-Length: 4\n\r\n"};
    for (const auto& head : heads)
        for (const auto& body : {chunked_body, std::string("body")})
        {
            loop_peer other{io};
            other.connect(at);
            other.send(head);
            other.send(body);
            other.send(hidden);
            CHECK_TEXT(run_until(io, [&] { return other.ended(); }),
                       head.c_str());
            CHECK_TEXT(other.got().find(" 400 ") != std::string::npos,
                       head.c_str());
            CHECK_TEXT(requests.empty(), head.c_str());
        }
}
