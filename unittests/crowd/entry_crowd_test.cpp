// An entry VM among callers that do not behave: it lives, stays within its
// memory and descriptors, and answers an ordinary caller while they are there.
// The crowds and the limits belong together: without a bound over all
// connections each of these crowds exceeds a limit.
#include "entry_under_test.hpp"

#include "mimosacroft/base/clock.hpp"
#include "mimosacroft/entry/relay_codec.hpp"
#include "mimosacroft/entry/spread_codec.hpp"
#include "platform/store.hpp"

#include <CppUTest/TestHarness.h>
#include <memory>
#include <optional>

using namespace mimosacroft;
using namespace mimosacroft::tests;
using base::milliseconds;

namespace
{

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;
constexpr std::size_t crowd_size = 150;
/// Far longer than a configuration takes to be in force.
constexpr base::seconds configuration_patience{60};
/// Where each caller can hold less.
constexpr std::size_t large_crowd_size = 400;

std::string repeat(const std::string& text, std::size_t times)
{
    std::string out;
    for (std::size_t n = 0; n < times; ++n)
        out += text;
    return out;
}

std::string with_length(const std::string& path, std::size_t length)
{
    return entry_under_test::head("POST", path) +
           "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::string chunked(const std::string& path)
{
    return entry_under_test::head("POST", path) +
           "Transfer-Encoding: chunked\r\n\r\n";
}

} // namespace

TEST_GROUP(entry_crowd)
{
    std::unique_ptr<entry_under_test> vm;
    std::optional<process_usage> usage;
    std::vector<std::unique_ptr<crowd>> crowds;

    void start(entry_limits limits = {})
    {
        vm = std::make_unique<entry_under_test>(limits);
        CHECK(vm->serves());
        usage.emplace(vm->process_id(), entry_under_test::ports());
    }

    void press(crowd_plan plan)
    {
        crowds.push_back(std::make_unique<crowd>(std::move(plan)));
        crowds.back()->press([this] { usage->sample(); });
    }

    /// While the crowds are there.
    void check_holds()
    {
        usage->sample();
        CHECK_FALSE(vm->has_ended());
        check_memory();
        const auto sockets = vm->limits().descriptors - file_descriptors;
        CHECK(usage->peak_sockets() <= sockets);
        const auto get = entry_under_test::head("GET", "/record/1") + "\r\n";
        LONGS_EQUAL(200, ask(vm->callers(), get).value_or(0));
        LONGS_EQUAL(200, ask(vm->readiness(), get).value_or(0));
        CHECK_FALSE(vm->has_ended());
    }

    void check_memory() const
    {
        std::printf("peak: %zu kB, %zu sockets\n",
                    usage->peak_bytes() / kilobyte, usage->peak_sockets());
// The sanitizer's own memory is several times that of the program.
#ifndef __SANITIZE_ADDRESS__
        CHECK(usage->peak_bytes() <= vm->limits().memory_mb * megabyte);
#endif
    }

    /// Of bodies that stop just short of their end.
    void check_bodies(const loopback_address& to)
    {
        press({.to = to,
               .callers = crowd_size,
               .first = with_length("/silent/1", megabyte),
               .repeated = std::string(64 * kilobyte, 'x'),
               .repeated_bytes = megabyte - 1});
        check_holds();
    }

    /// Of connections on which nothing is sent.
    void check_idle(const loopback_address& to)
    {
        press({.to = to, .callers = 300});
        check_holds();
    }

    /// Of heads with this many fields, whose body never comes.
    void check_fields(const loopback_address& to, std::size_t callers,
                      std::size_t fields)
    {
        press({.to = to,
               .callers = callers,
               .first = entry_under_test::head("POST", "/silent/1") +
                        repeat("a:\r\n", fields) +
                        "Content-Length: 1000\r\n\r\n"});
        check_holds();
    }

    void check_heads(const loopback_address& to)
    {
        press({.to = to,
               .callers = large_crowd_size,
               .first = entry_under_test::head("POST", "/silent/1"),
               .repeated = repeat("a:\r\n", 16 * kilobyte),
               .repeated_bytes = 250 * kilobyte});
        check_holds();
    }
};

// Guards against LOST by memory (issue 43): a process that had stood still, or
// was slow, read all configurations since in one answer, and all of them at
// once.
TEST(entry_crowd, configurations_that_come_while_the_process_stands_still)
{
    constexpr std::size_t searches = 1'916;
    constexpr std::size_t storm = 60;
    start();
    vm->stand_still();
    vm->configure(searches, storm);
    vm->go_on();
    const auto end = base::now() + configuration_patience;
    while (!vm->is_configured() && base::now() < end)
        usage->sample();
    CHECK(vm->is_configured());
    check_holds();
}

TEST(entry_crowd, bodies_with_a_length)
{
    start();
    check_bodies(vm->callers());
}

TEST(entry_crowd, bodies_in_large_chunks)
{
    start();
    press({.to = vm->callers(),
           .callers = crowd_size,
           .first = chunked("/silent/1"),
           .repeated = "10000\r\n" + std::string(64 * kilobyte, 'x') + "\r\n",
           .repeated_bytes = std::size_t{15} * 65'545});
    check_holds();
}

TEST(entry_crowd, bodies_in_tiny_chunks)
{
    start();
    press({.to = vm->callers(),
           .callers = crowd_size,
           .first = chunked("/silent/1"),
           .repeated = repeat("4\r\nxxxx\r\n", 8 * kilobyte),
           .repeated_bytes = std::size_t{9} * 200 * kilobyte});
    check_holds();
}

TEST(entry_crowd, one_chunk_of_an_endless_size)
{
    start();
    press({.to = vm->callers(),
           .callers = large_crowd_size,
           .first = chunked("/silent/1"),
           .repeated = std::string(64 * kilobyte, '0'),
           .repeated_bytes = 4 * megabyte});
    check_holds();
}

TEST(entry_crowd, heads_of_many_fields_without_an_end)
{
    start({.header_bytes = 256 * kilobyte});
    check_heads(vm->callers());
}

TEST(entry_crowd, heads_of_many_fields_without_a_body)
{
    start({.header_bytes = 64 * kilobyte});
    check_fields(vm->callers(), crowd_size, 15 * kilobyte);
}

TEST(entry_crowd, trailers_without_an_end)
{
    start();
    press({.to = vm->callers(),
           .callers = large_crowd_size,
           .first = chunked("/silent/1") + "0\r\n",
           .repeated = repeat("a:b\r\n", 12 * kilobyte),
           .repeated_bytes = 4 * megabyte});
    check_holds();
}

TEST(entry_crowd, requests_behind_one_that_runs)
{
    start();
    const auto next = entry_under_test::head("GET", "/record/1") + "\r\n";
    press({.to = vm->callers(),
           .callers = large_crowd_size,
           .first = entry_under_test::head("GET", "/silent/1") + "\r\n",
           .repeated = repeat(next, 500),
           .repeated_bytes = 4 * megabyte});
    check_holds();
}

TEST(entry_crowd, requests_that_wait_for_a_server)
{
    start();
    press({.to = vm->callers(),
           .callers = crowd_size,
           .first = with_length("/silent/1", megabyte),
           .repeated = std::string(64 * kilobyte, 'x'),
           .repeated_bytes = megabyte});
    check_holds();
}

TEST(entry_crowd, requests_that_wait_for_all_shards)
{
    start();
    press({.to = vm->callers(),
           .callers = 10,
           .first = with_length("/survey/1", megabyte),
           .repeated = std::string(64 * kilobyte, 'x'),
           .repeated_bytes = megabyte});
    check_holds();
}

// The servers' answers don't all come at once, so they are asked again.
TEST(entry_crowd, answers_that_nobody_reads)
{
    start();
    const auto get = entry_under_test::head("GET", "/large/1") + "\r\n";
    press({.to = vm->callers(),
           .callers = crowd_size,
           .first = get,
           .repeated = get,
           .repeated_bytes = 40 * get.size()});
    check_holds();
}

TEST(entry_crowd, connections_beyond_the_descriptors)
{
    start({.descriptors = 400});
    check_idle(vm->callers());
}

// Requests that run make connections to servers as well.
TEST(entry_crowd, requests_that_use_up_the_descriptors)
{
    start({.descriptors = 400});
    press({.to = vm->callers(),
           .callers = 60,
           .first = entry_under_test::head("GET", "/survey/1") + "\r\n"});
    check_holds();
}

TEST(entry_crowd, heads_that_come_byte_by_byte)
{
    start(
        {.header_time = milliseconds(1'000), .idle_time = milliseconds(1'000)});
    crowds.push_back(std::make_unique<crowd>(
        crowd_plan{.to = vm->callers(),
                   .callers = 20,
                   .first = entry_under_test::head("GET", "/silent/1"),
                   .repeated = "a: b\r\n",
                   .repeated_bytes = 10 * kilobyte,
                   .returns = 0}));
    LONGS_EQUAL(0, crowds.back()->drip(milliseconds(50), milliseconds(20'000)));
    check_holds();
}

TEST(entry_crowd, bodies_that_come_byte_by_byte)
{
    start(
        {.header_time = milliseconds(1'000), .idle_time = milliseconds(1'000)});
    const auto head = with_length("/silent/1", megabyte);
    crowds.push_back(
        std::make_unique<crowd>(crowd_plan{.to = vm->callers(),
                                           .callers = 20,
                                           .first = head,
                                           .repeated = "x",
                                           .repeated_bytes = megabyte - 1,
                                           .returns = 0}));
    crowds.back()->press([this] { usage->sample(); });
    LONGS_EQUAL(0, crowds.back()->drip(milliseconds(50), milliseconds(20'000)));
    check_holds();
}

TEST(entry_crowd, answers_that_are_read_byte_by_byte)
{
    start(
        {.header_time = milliseconds(1'000), .idle_time = milliseconds(1'000)});
    crowds.push_back(std::make_unique<crowd>(
        crowd_plan{.to = vm->callers(),
                   .callers = 20,
                   .first = entry_under_test::head("GET", "/large/1") + "\r\n",
                   .reads = true,
                   .returns = 0}));
    LONGS_EQUAL(0, crowds.back()->drip(milliseconds(10), milliseconds(20'000)));
    check_holds();
}

TEST(entry_crowd, bodies_at_the_port_for_vms)
{
    start();
    check_bodies(vm->peers());
}

TEST(entry_crowd, heads_at_the_port_for_vms)
{
    start();
    check_fields(vm->peers(), large_crowd_size, 4 * kilobyte - 100);
}

TEST(entry_crowd, connections_at_the_port_for_vms)
{
    start({.descriptors = 400});
    check_idle(vm->peers());
}

// A message of a VM that names a shard again and again.
TEST(entry_crowd, relayed_requests_that_name_too_many_shards)
{
    start();
    gateway::relay_effect effect;
    effect.shards.resize(200'000, 0);
    effect.servers.resize(effect.shards.size());
    effect.version = 1;
    effect.address = "vm";
    effect.answer_within = milliseconds(30'000);
    effect.time_left = milliseconds(30'000);
    auto request = std::make_shared<gateway::caller_request>();
    request->id = "crowd";
    request->host = "search.example";
    request->message.method = "GET";
    request->message.target = "/survey/1";
    effect.request = request;
    press({.to = vm->peers(),
           .callers = 5,
           .first = http::serialize(entry::encode_relay(effect))});
    check_holds();
}

TEST(entry_crowd, answers_that_no_vm_reads)
{
    start();
    const entry::spread_request list{std::string(platform::servers_kind), {}};
    const auto one = http::serialize(entry::encode_spread_request(list, "vm"));
    press({.to = vm->peers(),
           .callers = large_crowd_size,
           .first = one,
           .repeated = repeat(one, 300),
           .repeated_bytes = 4 * megabyte});
    check_holds();
}

TEST(entry_crowd, bodies_at_the_readiness_port)
{
    start();
    check_bodies(vm->readiness());
}

TEST(entry_crowd, connections_at_the_readiness_port)
{
    start({.descriptors = 400});
    check_idle(vm->readiness());
}

TEST(entry_crowd, bodies_at_the_metrics_port)
{
    start();
    check_bodies(vm->metrics());
}

TEST(entry_crowd, connections_at_the_metrics_port)
{
    start({.descriptors = 400});
    check_idle(vm->metrics());
}

// A single request inside the limits is served in calm.
TEST(entry_crowd, the_largest_body_is_served_in_calm)
{
    start();
    const std::string body(megabyte, 'x');
    LONGS_EQUAL(200,
                ask(vm->callers(), with_length("/record/1", megabyte) + body)
                    .value_or(0));
    LONGS_EQUAL(200, ask(vm->callers(), chunked("/record/1") + "100000\r\n" +
                                            body + "\r\n0\r\n\r\n")
                         .value_or(0));
}
