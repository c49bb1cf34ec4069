// Tests of the HTTP client against servers that misbehave, on real sockets.
#include "mimosacroft/net/http_client.hpp"
#include "raw_server.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <utility>

using namespace mimosacroft;
using namespace mimosacroft::tests;

namespace
{

using reply_result = base::result<wire::http_reply>;

base::instant in_ms(int n)
{
    return std::chrono::steady_clock::now() + base::milliseconds(n);
}

// The largest reply, and what fits into the buffers of both sockets.
constexpr std::size_t max_endless_bytes = 32 << 20;

// A server that repeats a piece after the start of its reply until the client
// closes or reads nothing for a while, up to 64 MB.
class endless_server
{
public:
    endless_server(const std::string& start, const std::string& piece)
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        auto at = raw_server::loopback(0);
        auto* address = reinterpret_cast<sockaddr*>(&at);
        socklen_t size = sizeof at;
        if (::bind(listener_, address, size) != 0)
            throw std::runtime_error("cannot bind a loopback port");
        ::getsockname(listener_, address, &size);
        ::listen(listener_, 1);
        address_ = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
        thread_ = std::thread([this, start, piece] { run(start, piece); });
    }

    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    /// Bytes that were sent.
    std::size_t wait_for_close()
    {
        if (thread_.joinable())
            thread_.join();
        return sent_;
    }

    ~endless_server()
    {
        wait_for_close();
        ::close(listener_);
    }

    const std::string& address() const { return address_; }

private:
    void run(const std::string& start, const std::string& piece)
    {
        const int link = ::accept(listener_, nullptr, nullptr);
        const timeval limit{2, 0};
        ::setsockopt(link, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        char buf[4096];
        (void)!::recv(link, buf, sizeof buf, 0);
        std::string out = start;
        while (out.size() < 16'000)
            out += piece;
        for (ssize_t n = 0; n >= 0 && sent_ < 64'000'000;)
        {
            n = ::send(link, out.data(), out.size(), MSG_NOSIGNAL);
            sent_ += static_cast<std::size_t>(std::max<ssize_t>(n, 0));
            if (n != static_cast<ssize_t>(out.size()))
                break;
            out.clear();
            while (out.size() < 16'000)
                out += piece;
        }
        ::close(link);
    }

    int listener_ = -1;
    std::string address_;
    std::size_t sent_ = 0;
    std::thread thread_;
};

} // namespace

TEST_GROUP(http_client)
{
    net::loop loop;
    net::http_client client{loop};

    // Runs the loop until one call has ended.
    reply_result call(const std::string& address, int deadline_ms = 5000,
                      bool fresh = false)
    {
        std::optional<reply_result> out;
        const auto done = [&](reply_result it)
        {
            out = std::move(it);
            loop.post([this] { loop.stop(); });
        };
        loop.post(
            [&]
            {
                client.call(address, {"GET", "/", "", {}, ""},
                            {in_ms(deadline_ms), fresh}, done);
                // The reply never comes before call() has returned.
                CHECK_FALSE(out.has_value());
            });
        loop.run();
        return std::move(*out);
    }

    // Checks that a reply that goes on without end is given up before the
    // deadline.
    void must_end(const std::string& start, const std::string& piece)
    {
        endless_server server(start, piece);
        const auto result = call(server.address(), 10'000);
        const auto text = start + piece;
        CHECK_FALSE_TEXT(result.has_value(), text.c_str());
        CHECK_TEXT(result.error().code != base::error_code::timeout,
                   text.c_str());
        LONGS_EQUAL(0, client.connections(server.address()));
        CHECK_TEXT(server.wait_for_close() < max_endless_bytes, text.c_str());
    }

    // An error's code; fails on a reply.
    base::error_code code(const reply_result& it)
    {
        CHECK_FALSE(it.has_value());
        return it ? base::error_code::invalid : it.error().code;
    }
};

TEST(http_client, nothing_listens)
{
    std::string address;
    {
        const raw_server gone("", after_reply::close);
        address = gone.address();
    }
    CHECK(code(call(address)) == base::error_code::unreachable);
    LONGS_EQUAL(0, client.connections(address));
    LONGS_EQUAL(0, loop.timers());
}

TEST(http_client, an_address_without_port_is_an_error_of_the_call)
{
    CHECK(code(call("nowhere")) == base::error_code::invalid);
    LONGS_EQUAL(0, loop.timers());
}

TEST(http_client, a_reply_leaves_no_timer_and_a_kept_connection)
{
    const raw_server server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                            after_reply::keep);
    const auto it = call(server.address());
    CHECK(it.has_value());
    STRCMP_EQUAL("ok", it->body.c_str());
    LONGS_EQUAL(1, client.connections(server.address()));
    LONGS_EQUAL(0, loop.timers());
}

TEST(http_client, a_fresh_connection_takes_the_place_of_an_idle_one)
{
    const raw_server server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                            after_reply::keep);
    CHECK(call(server.address()).has_value());
    CHECK(call(server.address(), 5000, true).has_value());
    CHECK(call(server.address(), 5000, true).has_value());
    LONGS_EQUAL(1, client.connections(server.address()));
    LONGS_EQUAL(0, loop.timers());
}

TEST(http_client, rubbish_in_place_of_a_reply)
{
    const raw_server server("\x01\x02 not http \xff\r\n\r\n",
                            after_reply::close);
    CHECK(code(call(server.address())) == base::error_code::broken);
    LONGS_EQUAL(0, client.connections(server.address()));
}

TEST(http_client, half_a_reply)
{
    const raw_server server("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhal",
                            after_reply::close);
    CHECK(code(call(server.address())) == base::error_code::broken);
    LONGS_EQUAL(0, client.connections(server.address()));
}

TEST(http_client, bytes_after_a_reply_are_not_the_next_one)
{
    const raw_server server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
                            after_reply::keep);
    const auto it = call(server.address());
    CHECK(it.has_value());
    STRCMP_EQUAL("ok", it->body.c_str());
    // The connection with the bytes that came unasked is not used again.
    LONGS_EQUAL(0, client.connections(server.address()));
    const auto next = call(server.address());
    CHECK(next.has_value());
    STRCMP_EQUAL("ok", next->body.c_str());
    LONGS_EQUAL(2, server.accepted());
}

TEST(http_client, a_server_that_never_answers)
{
    const raw_server server("", after_reply::keep);
    CHECK(code(call(server.address(), 50)) == base::error_code::timeout);
    LONGS_EQUAL(0, client.connections(server.address()));
    LONGS_EQUAL(0, loop.timers());
}

TEST(http_client, an_abandoned_call_is_closed_and_never_heard)
{
    const raw_server server("", after_reply::keep);
    bool heard = false;
    loop.post(
        [&]
        {
            const auto id = client.call(
                server.address(), {"GET", "/", "", {}, ""}, {in_ms(30), false},
                [&heard](auto&&) { heard = true; });
            loop.at(in_ms(10), [&, id] { client.abandon(id); });
            loop.at(in_ms(60), [&] { loop.stop(); });
        });
    loop.run();
    CHECK_FALSE(heard);
    LONGS_EQUAL(0, client.connections(server.address()));
    LONGS_EQUAL(0, loop.timers());
}

TEST(http_client, an_exception_in_a_handler_does_not_end_the_loop)
{
    std::string failure;
    loop.on_failure([&failure](const std::string& what) { failure = what; });
    loop.post([] { throw std::runtime_error("handler"); });
    loop.post([this] { loop.stop(); });
    loop.run();
    STRCMP_EQUAL("handler", failure.c_str());
}

// Guards against bytes without end from a server: in a head, a chunk's size or
// interim replies, they must end the call and the connection after a bounded
// number of bytes.
TEST(http_client, a_head_or_chunk_size_without_end_ends_the_call)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string x(100, 'x');
    must_end("", x);
    must_end(head, x);
    must_end(head + "Name: ", x);
    must_end(head, "Name: value\r\n");
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    must_end(chunked, "9");
    must_end(chunked + "2;", x);
    must_end("", "HTTP/1.1 100 Continue\r\n\r\n");
}

// Guards against bytes without end from a server, in a body.
TEST(http_client, a_body_without_end_ends_the_call)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string x(100, 'x');
    must_end(head + "\r\n", x);
    must_end(head + "Content-Length: 99999999999\r\n\r\n", x);
    must_end(chunked, "64\r\n" + x + "\r\n");
    must_end(chunked + "ffffffff\r\n", x);
}

// Guards against the memory of a VM running out while several servers send
// bytes without end at once: each call kept its own, up to 20 MB.
TEST(http_client, the_bytes_of_all_calls_that_go_on_are_bounded)
{
    net::http_client bounded(loop, 100'000);
    const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
    const raw_server small(head + std::string(40'000, 'x'), after_reply::keep);
    const raw_server large(head + std::string(90'000, 'x'), after_reply::keep);
    std::map<std::string, base::error_code> ended;
    const auto call_one = [&](const raw_server& to)
    {
        bounded.call(to.address(), {"GET", "/", "", {}, ""},
                     {in_ms(1'500), false},
                     [&, address = to.address()](const reply_result& it)
                     {
                         ended[address] = code(it);
                         if (ended.size() == 2)
                             loop.post([this] { loop.stop(); });
                     });
    };
    loop.post(
        [&]
        {
            call_one(small);
            call_one(large);
        });
    loop.run();
    CHECK(ended.at(large.address()) == base::error_code::too_large);
    CHECK(ended.at(small.address()) == base::error_code::timeout);
}

// A status such as 000 is no interim reply, and what follows it no reply.
TEST(http_client, a_status_that_is_none_ends_the_call_at_once)
{
    for (const std::string status : {"000", "099", "101", "600"})
    {
        const raw_server server("HTTP/1.1 " + status +
                                    " Odd\r\nContent-Length: 0\r\n\r\n"
                                    "HTTP/1.1 200 OK\r\n"
                                    "Content-Length: 2\r\n\r\nok",
                                after_reply::keep);
        CHECK(code(call(server.address())) == base::error_code::broken);
        LONGS_EQUAL(0, client.connections(server.address()));
    }
}

// A cut copy of an old reply, read as one head with the next one.
TEST(http_client, a_cut_copy_of_an_old_reply_is_no_part_of_the_next_one)
{
    const std::string old = "HTTP/1.1 503 Service Unavailable\r\n"
                            "Date: Mon, 07 Dec 2026 06:00:00 GMT\r\n"
                            "Content-Length: 0\r\n\r\n";
    const std::string proper = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (std::size_t cut = 1; cut + 4 < old.size(); ++cut)
    {
        const raw_server server(old.substr(0, cut) + proper,
                                after_reply::close);
        CHECK_FALSE_TEXT(call(server.address()).has_value(),
                         old.substr(0, cut).c_str());
    }
}
