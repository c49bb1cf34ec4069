// Tests of the log: bounded, never blocking, and a line that reads back.
#include "mimosacroft/entry/event_writer.hpp"

#include <CppUTest/TestHarness.h>
#include <array>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <string>
#include <unistd.h>

using namespace mimosacroft;
using core::event_id;

TEST_GROUP(event_writer)
{
    std::array<int, 2> ends{};
    TEST_SETUP()
    {
        LONGS_EQUAL(0, ::pipe2(ends.data(), O_NONBLOCK));
    }
    TEST_TEARDOWN()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    std::string read_some() const
    {
        std::string out(1 << 20, '\0');
        const auto n = ::read(ends[0], out.data(), out.size());
        out.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return out;
    }
};

TEST(event_writer, a_line_is_one_json_object)
{
    entry::event_writer log(ends[1], "vm-1");
    log.write({event_id::request_refused,
               {{"request", "r\"1\n"}, {"reason", "no_server"}}});
    log.flush();
    const auto line = nlohmann::json::parse(read_some());
    STRCMP_EQUAL("request_refused", line["name"].get<std::string>().c_str());
    STRCMP_EQUAL("r\"1\n", line["request"].get<std::string>().c_str());
    STRCMP_EQUAL("warning", line["level"].get<std::string>().c_str());
    STRCMP_EQUAL("vm-1", line["vm"].get<std::string>().c_str());
}

// Pattern: ten thousand events and a reader that has stalled.
TEST(event_writer, a_pipe_that_nobody_reads_costs_bounded_memory)
{
    entry::event_writer log(ends[1], "vm-1");
    for (int n = 0; n < 10'000; ++n)
    {
        log.write(
            {event_id::request_answered, {{"request", std::to_string(n)}}});
        log.flush();
    }
    CHECK(log.left_out() > 0);
    CHECK(log.waiting_bytes() < std::size_t{300} * 1024);
    // Trouble still finds room.
    const auto before = log.left_out();
    log.write({event_id::request_refused, {{"request", "x"}}});
    LONGS_EQUAL(before, log.left_out());
}

TEST(event_writer, what_was_left_out_is_said)
{
    entry::event_writer log(ends[1], "vm-1");
    for (int n = 0; n < 10'000; ++n)
        log.write({event_id::request_answered, {{"request", "r"}}});
    std::string all;
    for (int n = 0; n < 100; ++n)
    {
        log.flush();
        all += read_some();
    }
    CHECK(all.find("lines_left_out") != std::string::npos);
}
