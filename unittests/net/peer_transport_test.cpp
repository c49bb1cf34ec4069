// Tests of the links between VMs on real sockets.
#include "mimosacroft/net/peer_transport.hpp"
#include "mimosacroft/wire/frame.hpp"
#include "raw_server.hpp"

#include <CppUTest/TestHarness.h>
#include <cstdlib>
#include <functional>
#include <memory>

using namespace mimosacroft;
using namespace mimosacroft::tests;

namespace
{

int first_port()
{
    const char* text = std::getenv("MIMOSA_TEST_PORT");
    return (text ? std::atoi(text) : 21000) + 1900;
}

// One end of links, on a loop of its own or of the test.
struct endpoint
{
    net::loop& loop;
    int received = 0;
    int lost_up = 0;
    int lost_down = 0;
    std::vector<base::error> refused;
    std::unique_ptr<net::peer_transport> links;

    endpoint(net::loop& owner, const std::string& vm, int port,
             const std::string& secret = "secret",
             std::size_t max_queue = 16 << 20)
        : loop(owner)
    {
        net::peer_transport_options options;
        options.listen_port = static_cast<std::uint16_t>(port);
        options.vm = vm;
        options.incarnation = 1;
        options.secret = secret;
        options.max_queue_bytes = max_queue;
        links = std::make_unique<net::peer_transport>(
            loop, options,
            net::peer_handlers{
                [this](const std::string&, std::uint64_t, const wire::message&)
                { ++received; }, [this](const std::string&, bool was_up)
                { ++(was_up ? lost_up : lost_down); },
                [this](const base::error& it) { refused.push_back(it); }});
    }
};

} // namespace

TEST_GROUP(peer_transport)
{
    net::loop loop;

    // Runs the loop until `fn` is true; false after ten seconds.
    bool run_until(const std::function<bool()>& fn)
    {
        const auto due = std::chrono::steady_clock::now() + base::seconds(10);
        bool ok = false;
        std::function<void()> check = [&]
        {
            ok = fn();
            const auto now = std::chrono::steady_clock::now();
            if (ok || now > due)
                loop.stop();
            else
                loop.at(now + base::milliseconds(5), check);
        };
        loop.post(check);
        loop.run();
        return ok;
    }

    static std::string address(int port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }
};

TEST(peer_transport, a_large_message_comes_whole)
{
    endpoint a(loop, "a", first_port());
    endpoint b(loop, "b", first_port() + 1);
    wire::forward big;
    big.body = std::string(3 << 20, 'x');
    loop.post([&] { a.links->send("b", address(first_port() + 1), big); });
    CHECK(run_until([&] { return b.received == 1; }));
    CHECK(a.links->flushed());
}

TEST(peer_transport, a_strangers_secret_is_refused_and_counted)
{
    endpoint a(loop, "a", first_port() + 2, "another");
    endpoint b(loop, "b", first_port() + 3);
    loop.post(
        [&] { a.links->send("b", address(first_port() + 3), wire::cancel{}); });
    CHECK(run_until([&] { return a.lost_down == 1 && !b.refused.empty(); }));
    LONGS_EQUAL(0, b.received);
    LONGS_EQUAL(1, b.links->counters().links_refused);
}

TEST(peer_transport, frames_of_strangers_are_refused)
{
    endpoint b(loop, "b", first_port() + 4);
    const std::vector<std::string> bad = {
        std::string("\xff\xff\xff\xff", 4), // a frame beyond the limit
        wire::make_frame("not msgpack"),
        wire::make_frame(wire::pack(wire::cancel{})), // before the handshake
        std::string("\x00\x0f\x00\x00", 4) + std::string(8192, 'x')};
    std::thread stranger(
        [&]
        {
            for (const auto& it : bad)
                send_raw(first_port() + 4, {it});
        });
    CHECK(run_until([&] { return b.refused.size() == bad.size(); }));
    stranger.join();
    LONGS_EQUAL(0, b.received);
    LONGS_EQUAL(bad.size(), b.links->counters().links_refused);
}

TEST(peer_transport, another_protocol_version_is_refused)
{
    endpoint b(loop, "b", first_port() + 5);
    wire::hello old;
    old.version = wire::protocol_version + 1;
    old.vm = "a";
    old.nonce = std::string(16, 'n');
    std::thread stranger(
        [&]
        { send_raw(first_port() + 5, {wire::make_frame(wire::pack(old))}); });
    CHECK(run_until([&] { return b.refused.size() == 1; }));
    stranger.join();
}

TEST(peer_transport, a_dead_peer_is_not_tried_for_each_message)
{
    endpoint a(loop, "a", first_port() + 6);
    int sent = 0;
    CHECK(run_until(
        [&]
        {
            a.links->send("b", address(first_port() + 7), wire::cancel{});
            return ++sent == 100;
        }));
    CHECK(a.lost_down > 0);
    CHECK(a.links->counters().links_tried < 20);
}

TEST(peer_transport, a_peer_that_comes_back_is_reached)
{
    endpoint a(loop, "a", first_port() + 8);
    int ticks = 0;
    std::unique_ptr<endpoint> b;
    CHECK(run_until(
        [&]
        {
            if (++ticks == 20)
                b = std::make_unique<endpoint>(loop, "b", first_port() + 9);
            a.links->send("b", address(first_port() + 9), wire::cancel{});
            return b && b->received > 0;
        }));
}

TEST(peer_transport, a_peer_that_never_reads_is_given_up)
{
    endpoint a(loop, "a", first_port() + 10, "secret", 1 << 20);
    net::loop paused;
    endpoint b(paused, "b", first_port() + 11);
    std::thread peer([&paused] { paused.run(); });
    wire::forward big;
    big.body = std::string(256 << 10, 'x');
    bool stopped = false;
    CHECK(run_until(
        [&]
        {
            a.links->send("b", address(first_port() + 11), big);
            if (!stopped && a.links->counters().frames_received >= 2)
            {
                paused.stop();
                stopped = true;
            }
            return a.lost_up > 0;
        }));
    paused.stop();
    peer.join();
}
