// mimosad among callers that do not behave, as entry_crowd_test.cpp does it
// with an entry VM on the platform.
#include "../daemon/process_fleet.hpp"
#include "crowd.hpp"

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
constexpr std::size_t memory_mb = 96;
constexpr std::size_t descriptors = 400;
constexpr std::size_t file_descriptors = 200;

const std::string head = "POST /v1/searches/lookup HTTP/1.1\r\nHost: vm\r\n"
                         "Authorization: Bearer caller\r\n";

fleet_plan one_vm()
{
    // Read by the process that is started, as its settings.
    ::setenv("MIMOSA_MEMORY_MB", std::to_string(memory_mb).c_str(), 1);
    ::setenv("MIMOSA_MAX_DESCRIPTORS", std::to_string(descriptors).c_str(), 1);
    fleet_plan out;
    out.port = test_port(1'900);
    out.vms = 1;
    return out;
}

loopback_address address_of(const std::string& text)
{
    const auto colon = text.find(':');
    return {text.substr(0, colon),
            static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

} // namespace

TEST_GROUP(mimosad_crowd)
{
    process_fleet fleet{one_vm()};
    loopback_address callers = address_of(fleet.vm_http(0));
    loopback_address peers = address_of(fleet.vm_peer(0));
    process_usage usage{fleet.vm_process(0).id(), {callers.port, peers.port}};
    std::vector<std::unique_ptr<crowd>> crowds;

    TEST_SETUP()
    {
        CHECK(fleet.serving());
    }
    TEST_TEARDOWN()
    {
        ::unsetenv("MIMOSA_MEMORY_MB");
        ::unsetenv("MIMOSA_MAX_DESCRIPTORS");
    }

    void press(crowd_plan plan)
    {
        crowds.push_back(std::make_unique<crowd>(std::move(plan)));
        crowds.back()->press([this] { usage.sample(); });
    }

    void check_holds()
    {
        usage.sample();
        std::printf("peak: %zu kB, %zu sockets\n",
                    usage.peak_bytes() / kilobyte, usage.peak_sockets());
        CHECK_FALSE(fleet.vm_process(0).ended());
// The sanitizer's own memory is several times that of the program.
#ifndef __SANITIZE_ADDRESS__
        CHECK(usage.peak_bytes() <= memory_mb * megabyte);
#endif
        CHECK(usage.peak_sockets() <= descriptors - file_descriptors);
        const std::string body = R"({"query":"still"})";
        const auto request = head +
                             "Content-Length: " + std::to_string(body.size()) +
                             "\r\n\r\n" + body;
        LONGS_EQUAL(200, ask(callers, request).value_or(0));
        CHECK_FALSE(fleet.vm_process(0).ended());
    }

    std::size_t left_of_drips(crowd_plan plan)
    {
        crowds.push_back(std::make_unique<crowd>(std::move(plan)));
        return crowds.back()->drip(milliseconds(50), milliseconds(30'000));
    }
};

TEST(mimosad_crowd, mimosad_bodies_with_a_length)
{
    press({.to = callers,
           .callers = crowd_size,
           .first = head + "Content-Length: 1048576\r\n\r\n",
           .repeated = std::string(64 * kilobyte, 'x'),
           .repeated_bytes = megabyte - 1});
    check_holds();
}

TEST(mimosad_crowd, mimosad_bodies_in_chunks)
{
    press({.to = callers,
           .callers = crowd_size,
           .first = head + "Transfer-Encoding: chunked\r\n\r\n",
           .repeated = "10000\r\n" + std::string(64 * kilobyte, 'x') + "\r\n",
           .repeated_bytes = std::size_t{15} * 65'545});
    check_holds();
}

TEST(mimosad_crowd, mimosad_requests_behind_one_another)
{
    const auto next = "GET /metrics HTTP/1.1\r\nHost: vm\r\n\r\n";
    std::string many;
    for (int n = 0; n < 1'000; ++n)
        many += next;
    press({.to = callers,
           .callers = crowd_size,
           .repeated = many,
           .repeated_bytes = 2 * megabyte});
    check_holds();
}

TEST(mimosad_crowd, mimosad_idle_connections)
{
    press({.to = callers, .callers = 300});
    check_holds();
}

TEST(mimosad_crowd, mimosad_connections_at_the_port_for_vms)
{
    press({.to = peers, .callers = 300, .returns = 5});
    check_holds();
}

TEST(mimosad_crowd, mimosad_heads_that_come_byte_by_byte)
{
    LONGS_EQUAL(0, left_of_drips({.to = callers,
                                  .callers = 20,
                                  .first = head,
                                  .repeated = "a: b\r\n",
                                  .repeated_bytes = megabyte,
                                  .returns = 0}));
    check_holds();
}
