// Tests of the HTTP client against raw bytes of servers.
#include "loop_peer.hpp"

#include "mimosacroft/http/client.hpp"

#include <CppUTest/TestHarness.h>
#include <map>
#include <memory>
#include <vector>

using namespace http_test;
using http::exchange_failure;

TEST_GROUP(client)
{
    io_context io;
    tcp::acceptor acceptor{io, any_port};
    tcp::endpoint at = acceptor.local_endpoint();
    std::map<http::exchange_number, http::response> replies;
    std::map<http::exchange_number, exchange_failure> failures;
    http::client client{
        io,
        {.match =
             [](auto, const http::response& reply)
         {
             const auto id = http::find(reply.headers, "id");
             return id && *id == "other" ? http::reply_match::stray
                                         : http::reply_match::belongs;
         },
         .on_reply = [this](auto n, http::response&& reply)
         { replies[n] = std::move(reply); },
         .on_failure = [this](auto n, auto why) { failures[n] = why; }}};
    loop_peer peer{io};

    TEST_TEARDOWN()
    {
        peer.close();
        http::close(acceptor);
        io.restart();
        io.run_for(base::milliseconds(5));
    }

    /// Sends a request, and answers it with these bytes once it is there.
    void exchange(http::exchange_number n, const std::string& bytes)
    {
        if (!peer.accepted())
            peer.accept(acceptor);
        peer.forget();
        client.send(n, at, {"GET", "/a", {{"Host", "h"}}, ""});
        CHECK(run_until(io, [&] { return !peer.got().empty(); }));
        peer.send(bytes);
    }

    void wait_for(http::exchange_number n)
    {
        CHECK(run_until(
            io, [&] { return replies.contains(n) || failures.contains(n); }));
    }
};

TEST(client, takes_an_answer_and_uses_the_connection_again)
{
    for (http::exchange_number n = 1; n <= 3; ++n)
    {
        exchange(n, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        wait_for(n);
        STRCMP_EQUAL("ok", replies.at(n).body.c_str());
    }
    LONGS_EQUAL(1, client.opened());
}

TEST(client, a_connection_that_was_idle_for_long_is_not_used_if_so_asked)
{
    exchange(1, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    wait_for(1);
    loop_peer second{io};
    second.accept(acceptor);
    client.send(2, at, {"GET", "/a", {}, ""},
                {.max_idle = base::milliseconds(0)});
    CHECK(run_until(io, [&] { return second.accepted(); }));
    LONGS_EQUAL(2, client.opened());
}

// Guards against a rejection whose second copy comes late: it was taken for the
// answer to the repeat of that request, which the server then ran.
TEST(client, a_repeat_never_uses_a_connection_that_may_bring_an_old_answer)
{
    const std::string rejection =
        "HTTP/1.1 503 X\r\nId: 1\r\nContent-Length: 0\r\n\r\n";
    exchange(1, rejection);
    wait_for(1);
    // Another request in between does not make it safe.
    exchange(2, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    wait_for(2);
    loop_peer second{io};
    second.accept(acceptor);
    client.send(3, at, {"GET", "/a", {}, ""}, {.earlier = {1}});
    CHECK(run_until(io, [&] { return !second.got().empty(); }));
    // The new connection takes the place of the old one.
    CHECK(run_until(io, [&] { return peer.ended(); }));
    CHECK(replies.count(3) == 0);
    second.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes");
    wait_for(3);
    STRCMP_EQUAL("yes", replies.at(3).body.c_str());
    second.close();
}

TEST(client, a_repeat_uses_a_connection_that_never_carried_its_request)
{
    loop_peer second{io};
    exchange(1, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
    client.send(2, at, {"GET", "/a", {}, ""});
    second.accept(acceptor);
    CHECK(run_until(io, [&] { return !second.got().empty(); }));
    second.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    wait_for(1);
    wait_for(2);
    second.forget();
    client.send(3, at, {"GET", "/a", {}, ""}, {.earlier = {1}});
    CHECK(run_until(io, [&] { return !second.got().empty(); }));
    LONGS_EQUAL(2, client.opened());
    second.close();
}

// What a connection carried long ago is no longer known, and then not assumed.
TEST(client, a_connection_with_a_long_history_is_not_used_for_old_repeats)
{
    http::exchange_number n = 0;
    while (n < 100)
    {
        exchange(++n, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        wait_for(n);
    }
    loop_peer second{io};
    second.accept(acceptor);
    client.send(++n, at, {"GET", "/a", {}, ""}, {.earlier = {1}});
    CHECK(run_until(io, [&] { return second.accepted(); }));
    LONGS_EQUAL(2, client.opened());
    second.close();
}

TEST(client, an_interim_answer_is_passed_over)
{
    exchange(1, "HTTP/1.1 100 Continue\r\n\r\n"
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    wait_for(1);
    LONGS_EQUAL(200, replies.at(1).status);
}

TEST(client, an_answer_to_another_request_is_skipped)
{
    exchange(1, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno"
                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes");
    wait_for(1);
    STRCMP_EQUAL("yes", replies.at(1).body.c_str());
    // Nothing more is trusted on that connection.
    CHECK(run_until(io, [&] { return peer.ended(); }));
}

TEST(client, bytes_after_an_answer_end_the_connection_not_the_answer)
{
    exchange(1, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 500");
    wait_for(1);
    STRCMP_EQUAL("ok", replies.at(1).body.c_str());
    CHECK(run_until(io, [&] { return peer.ended(); }));
}

TEST(client, bytes_on_an_idle_connection_end_it)
{
    exchange(1, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    wait_for(1);
    peer.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
    CHECK(run_until(io, [&] { return peer.ended(); }));
    CHECK(failures.empty());
}

TEST(client, a_cut_answer_is_malformed_and_a_reset_is_a_loss)
{
    exchange(1, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\npart");
    peer.close();
    wait_for(1);
    CHECK(failures.at(1) == exchange_failure::malformed);
}

// Guards against a server that stops in the middle of its answer's head and
// closes: callers got 200 with an empty or short body, framed as whole.
TEST(client, an_answer_that_ends_within_its_head_is_never_a_success)
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    const std::string status = "HTTP/1.1 200 OK\r\nId: 1\r\n";
    http::exchange_number number = 0;
    for (const auto& before : {std::string(), interim})
        for (const auto* rest : {"Content-Length: 2\r\n\r\n",
                                 "Transfer-Encoding: chunked\r\n\r\n", "\r\n"})
        {
            const auto head = status + rest;
            for (std::size_t n = 0; n < head.size(); ++n)
            {
                loop_peer one{io};
                one.accept(acceptor);
                client.send(++number, at, {"GET", "/a", {}, ""});
                CHECK(run_until(io, [&] { return !one.got().empty(); }));
                one.send(before + head.substr(0, n));
                one.close();
                wait_for(number);
                CHECK_EQUAL(1, failures.count(number));
                CHECK_EQUAL(0, replies.count(number));
            }
        }
    // The next exchange has a connection and an answer of its own.
    exchange(++number, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    wait_for(number);
    STRCMP_EQUAL("ok", replies.at(number).body.c_str());
}

TEST(client, a_reset_before_the_answer_is_a_loss)
{
    peer.accept(acceptor);
    client.send(1, at, {"GET", "/a", {}, ""});
    CHECK(run_until(io, [&] { return !peer.got().empty(); }));
    peer.close(true);
    wait_for(1);
    CHECK(failures.at(1) == exchange_failure::lost);
}

TEST(client, an_answer_without_a_length_ends_with_its_connection)
{
    exchange(1, "HTTP/1.1 200 OK\r\n\r\nall of it");
    io.restart();
    io.run_for(base::milliseconds(20));
    CHECK(replies.empty());
    peer.close();
    wait_for(1);
    STRCMP_EQUAL("all of it", replies.at(1).body.c_str());
}

TEST(client, an_answer_without_a_length_that_is_reset_is_not_whole)
{
    exchange(1, "HTTP/1.1 200 OK\r\n\r\npart");
    io.restart();
    io.run_for(base::milliseconds(20));
    peer.close(true);
    wait_for(1);
    CHECK(failures.at(1) == exchange_failure::lost);
}

TEST(client, nonsense_is_malformed)
{
    exchange(1, "\x01\x02 nonsense\r\n\r\n");
    wait_for(1);
    CHECK(failures.at(1) == exchange_failure::malformed);
}

TEST(client, without_a_listener_nothing_was_sent)
{
    const auto nobody = free_endpoint(io);
    client.send(1, nobody, {"GET", "/a", {}, ""});
    wait_for(1);
    CHECK(failures.at(1) == exchange_failure::not_sent);
}

TEST(client, a_dropped_exchange_ends_its_connection_in_silence)
{
    peer.accept(acceptor);
    client.send(1, at, {"GET", "/a", {}, ""});
    CHECK(run_until(io, [&] { return !peer.got().empty(); }));
    client.drop(1);
    CHECK(run_until(io, [&] { return peer.ended(); }));
    CHECK(replies.empty());
    CHECK(failures.empty());
}

TEST(client, idle_connections_end_before_the_peers_time)
{
    exchange(1, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=3\r\n"
                "Content-Length: 2\r\n\r\nok");
    wait_for(1);
    const auto now = std::chrono::steady_clock::now();
    client.sweep(now + base::milliseconds(2'000));
    io.restart();
    io.run_for(base::milliseconds(10));
    CHECK_FALSE(peer.ended());
    client.sweep(now + base::milliseconds(2'600));
    CHECK(run_until(io, [&] { return peer.ended(); }));
}

// Guards against one caller's request that is written into the rest of another
// one's body: a server may answer before it has read a long body.
TEST(client, an_answer_before_the_request_is_written_ends_the_connection)
{
    loop_peer second{io};
    peer.accept(acceptor);
    client.send(1, at, {"POST", "/a", {}, std::string(64 << 20, 'x')});
    // The peer reads nothing that would make room for the whole request.
    CHECK(run_until(io, [&] { return peer.accepted(); }));
    peer.stop_reading();
    peer.send("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
    wait_for(1);
    LONGS_EQUAL(503, replies.at(1).status);
    second.accept(acceptor);
    client.send(2, at, {"GET", "/b", {}, ""});
    CHECK(run_until(io, [&] { return !second.got().empty(); }));
    LONGS_EQUAL(2, client.opened());
    second.close();
}

TEST(client, an_announced_close_is_believed)
{
    exchange(1, "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                "Content-Length: 2\r\n\r\nok");
    wait_for(1);
    CHECK(run_until(io, [&] { return peer.ended(); }));
}

// Guards against bytes that are no answer and come without end: each must end
// its exchange and its connection after a bounded number of bytes.
TEST(client, bytes_without_end_end_the_exchange)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string other =
        "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno";
    const auto repeated = [](const std::string& text)
    {
        std::string out;
        while (out.size() < 16'000)
            out += text;
        return out;
    };
    http::exchange_number n = 0;
    for (const std::string& start : {std::string("HTTP/1.1 200 OK\r\nHead: "),
                                     std::string("HTTP/1.1 200 OK\r\n\r\n"),
                                     std::string("no http "), interim, other})
    {
        const auto piece = start == interim || start == other
                               ? repeated(start)
                               : std::string(16'000, 'x');
        loop_peer endless{io};
        endless.accept(acceptor);
        client.send(++n, at, {"GET", "/a", {{"Host", "h"}}, ""});
        CHECK(run_until(io, [&] { return !endless.got().empty(); }));
        endless.send(start);
        std::size_t sent = 0;
        for (; !failures.contains(n) && sent < 10'000'000; sent += piece.size())
        {
            endless.send(piece);
            io.restart();
            while (io.poll() > 0)
                ;
        }
        CHECK(failures.contains(n));
        CHECK(failures.at(n) == exchange_failure::malformed);
        CHECK(run_until(io, [&] { return endless.ended(); }));
        endless.close();
    }
}

// Guards against memory and time that an answer takes which its request has no
// use for: it is refused by its announced length, or once it exceeds the limit.
TEST(client, an_answer_beyond_the_limit_of_its_request_is_not_read)
{
    for (const auto* head : {"Content-Length: 5000000\r\n\r\n",
                             "Transfer-Encoding: chunked\r\n\r\n4c4b40\r\n"})
    {
        const http::exchange_number n = failures.size() + 1;
        loop_peer server{io};
        server.accept(acceptor);
        client.send(n, at, {"GET", "/a", {{"Host", "h"}}, ""},
                    {.answer_bytes = 1'000'000});
        CHECK(run_until(io, [&] { return !server.got().empty(); }));
        server.send(std::string("HTTP/1.1 200 OK\r\n") + head);
        const auto before = client.moved().received;
        std::size_t sent = 0;
        for (; !failures.contains(n) && sent < 5'000'000; sent += 16'000)
        {
            server.send(std::string(16'000, 'x'));
            io.restart();
            while (io.poll() > 0)
                ;
        }
        CHECK(failures.at(n) == exchange_failure::too_large);
        CHECK(client.moved().received - before <= 1'100'000);
        server.close();
    }
}

// The size of a chunk without end is given up long before a body would be.
TEST(client, a_chunk_size_without_end_is_given_up_early)
{
    exchange(1, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;");
    std::size_t sent = 0;
    for (; !failures.contains(1) && sent < 10'000'000; sent += 16'000)
    {
        peer.send(std::string(16'000, 'x'));
        io.restart();
        while (io.poll() > 0)
            ;
    }
    CHECK(failures.at(1) == exchange_failure::malformed);
    CHECK(sent < 500'000);
}

// Guards against a VM that ends by itself: the length that a server announces
// was reserved if bytes of the body came with the head, whatever the limit.
TEST(client, a_body_announced_beyond_the_limit_is_refused)
{
    http::exchange_number n = 0;
    for (const auto* length :
         {"8388609", "99999999999", "18446744073709551615"})
    {
        loop_peer peer{io};
        peer.accept(acceptor);
        client.send(++n, at, {"GET", "/a", {{"Host", "h"}}, ""});
        CHECK(run_until(io, [&] { return !peer.got().empty(); }));
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::string(length) +
                  "\r\n\r\nbody");
        CHECK(run_until(io, [&] { return failures.contains(n); }));
        CHECK(failures.at(n) == exchange_failure::malformed);
        CHECK(run_until(io, [&] { return peer.ended(); }));
        peer.close();
    }
}

// Guards against the memory of a VM running out while many servers send bytes
// without end at once.
TEST(client, the_bytes_of_all_exchanges_that_go_on_are_bounded)
{
    http::client_options options;
    options.unfinished_bytes = 100'000;
    std::map<http::exchange_number, exchange_failure> ended;
    http::client bounded{
        io,
        {.on_reply = [](auto, http::response&&) {},
         .on_failure = [&ended](auto n, auto why) { ended[n] = why; }},
        options};
    loop_peer first{io};
    loop_peer second{io};
    http::exchange_number n = 0;
    for (auto* it : {&first, &second})
    {
        it->accept(acceptor);
        bounded.send(++n, at, {"GET", "/a", {{"Host", "h"}}, ""});
        CHECK(run_until(io, [&] { return !it->got().empty(); }));
        it->send("HTTP/1.1 200 OK\r\n\r\n");
    }
    for (int pieces = 0; pieces < 20 && ended.empty(); ++pieces)
    {
        first.send(std::string(16'000, 'x'));
        second.send(std::string(4'000, 'x'));
        io.restart();
        io.run_for(base::milliseconds(5));
    }
    LONGS_EQUAL(1, ended.size());
    CHECK(ended.at(1) == exchange_failure::malformed);
    first.close();
    second.close();
}

// Guards against late bytes that are taken for an answer, and against requests
// that are lost on a connection which the server has just closed.
TEST(client, a_kept_connection_on_which_something_came_is_not_used)
{
    http::exchange_number n = 0;
    for (const bool is_closed : {false, true})
    {
        loop_peer old{io};
        old.accept(acceptor);
        client.send(++n, at, {"GET", "/a", {}, ""});
        CHECK(run_until(io, [&] { return !old.got().empty(); }));
        old.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        wait_for(n);
        if (is_closed)
            old.close();
        else
            old.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold");
        loop_peer next{io};
        next.accept(acceptor);
        client.send(++n, at, {"GET", "/a", {}, ""});
        CHECK(run_until(io, [&] { return !next.got().empty(); }));
        next.send("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                  "Content-Length: 3\r\n\r\nnew");
        wait_for(n);
        STRCMP_EQUAL("new", replies.at(n).body.c_str());
        old.close();
    }
}

// Guards against a status such as 000, which a server in trouble sent: it is no
// interim answer, and what follows it is no answer to the request.
TEST(client, a_status_that_is_none_ends_the_exchange_at_once)
{
    http::exchange_number n = 0;
    for (const std::string status : {"000", "001", "099", "101", "600", "999"})
    {
        loop_peer other{io};
        other.accept(acceptor);
        client.send(++n, at, {"GET", "/a", {{"Host", "h"}}, ""});
        CHECK(run_until(io, [&] { return !other.got().empty(); }));
        other.send("HTTP/1.1 " + status +
                   " Odd\r\nContent-Length: 0\r\n\r\n"
                   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        wait_for(n);
        CHECK(failures.contains(n));
        CHECK(failures.at(n) == exchange_failure::malformed);
        other.close();
    }
}

// A time beyond all sense must not overflow.
TEST(client, an_endless_keep_alive_time_is_bounded)
{
    for (const std::string time :
         {"99999999999999999", "9223372036854775807", "18446744073709551615"})
    {
        http::client other{
            io,
            {.on_reply = [this](auto n, http::response&& reply)
             { replies[n] = std::move(reply); },
             .on_failure = [this](auto n, auto why) { failures[n] = why; }}};
        loop_peer server{io};
        server.accept(acceptor);
        replies.clear();
        for (http::exchange_number n = 1; n <= 2; ++n)
        {
            server.forget();
            other.send(n, at, {"GET", "/a", {}, ""});
            CHECK(run_until(io, [&] { return !server.got().empty(); }));
            server.send("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=" + time +
                        "\r\nContent-Length: 2\r\n\r\nok");
            wait_for(n);
        }
        LONGS_EQUAL(1, other.opened());
        server.close();
    }
}

TEST(client, a_shared_body_is_sent_whole_on_each_connection)
{
    const auto body = std::make_shared<const std::string>(1 << 20, 'x');
    http::client::send_options options;
    options.body = body;
    std::vector<std::unique_ptr<loop_peer>> others;
    for (http::exchange_number n = 1; n <= 3; ++n)
    {
        others.push_back(std::make_unique<loop_peer>(io));
        others.back()->accept(acceptor);
        client.send(n, at, {"POST", "/a", {}, ""}, options);
        CHECK(run_until(
            io, [&] { return others.back()->got().size() > body->size(); }));
        const auto& got = others.back()->got();
        CHECK(got.find("Content-Length: 1048576\r\n") != std::string::npos);
        CHECK(got.ends_with(*body));
    }
    options.body = nullptr;
    // Nothing is kept of it once it is written.
    LONGS_EQUAL(1, body.use_count());
    for (const auto& it : others)
        it->close();
}

TEST(client, connections_beyond_the_limit_take_the_place_of_idle_ones)
{
    http::client limited{
        io,
        {.on_reply = [this](auto n, http::response&& reply)
         { replies[n] = std::move(reply); },
         .on_failure = [this](auto n, auto why) { failures[n] = why; }},
        {.connections = 1}};
    tcp::acceptor second_server{io, any_port};
    loop_peer first{io};
    loop_peer second{io};
    first.accept(acceptor);
    limited.send(1, at, {"GET", "/a", {}, ""});
    CHECK(run_until(io, [&] { return !first.got().empty(); }));
    // All are in use.
    limited.send(2, second_server.local_endpoint(), {"GET", "/a", {}, ""});
    wait_for(2);
    CHECK(failures.at(2) == exchange_failure::not_sent);
    first.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    wait_for(1);
    second.accept(second_server);
    limited.send(3, second_server.local_endpoint(), {"GET", "/a", {}, ""});
    CHECK(run_until(io, [&] { return !second.got().empty(); }));
    CHECK(run_until(io, [&] { return first.ended(); }));
    second.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    wait_for(3);
    LONGS_EQUAL(2, limited.opened());
    first.close();
    second.close();
}

// Guards against a cut copy of an old answer that comes late, at the point
// where the next answer is expected: read as one head with it, an old "not run"
// or an old 200 was taken for what the server says of the new request.
TEST(client, a_cut_copy_of_an_old_answer_is_never_part_of_the_next_one)
{
    const std::string date = "Date: Mon, 07 Dec 2026 06:00:00 GMT\r\n";
    const std::string length = "Content-Length: 4\r\n\r\n";
    const std::vector<std::string> all = {
        "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" + date +
            "Id: other\r\n" + length + "full",
        "HTTP/1.1 421 Misdirected Request\r\n" + date + "Id: other\r\n" +
            length + "away",
        "HTTP/1.1 200 OK\r\n" + date + "Id: other\r\n" + length + "good",
        "HTTP/1.1 500 Internal Server Error\r\n" + date + "Id: other\r\n" +
            length + "fail"};
    http::exchange_number n = 0;
    for (const auto& old : all)
        for (const auto& next : all)
            for (std::size_t cut = 1; cut < old.size(); ++cut)
            {
                auto proper = next;
                proper.replace(next.find("Id: other"), 9, "Id: mine");
                loop_peer other{io};
                other.accept(acceptor);
                client.send(++n, at, {"GET", "/a", {{"Host", "h"}}, ""});
                CHECK(run_until(io, [&] { return !other.got().empty(); }));
                other.send(old.substr(0, cut) + proper);
                other.close();
                wait_for(n);
                if (failures.contains(n))
                    continue;
                const auto& reply = replies.at(n);
                const auto text = old.substr(0, cut) + "|" + proper;
                CHECK_TEXT(proper.find(" " + std::to_string(reply.status) +
                                       " ") != std::string::npos,
                           text.c_str());
                CHECK_TEXT(proper.ends_with(reply.body), text.c_str());
                CHECK_TEXT(
                    http::find(reply.headers, "not-executed").has_value() ==
                        (proper.find("Not-Executed") != std::string::npos),
                    text.c_str());
            }
}
