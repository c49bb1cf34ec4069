// Tests of event_writer: its lines parse as JSON, its buffer is bounded, and it
// never blocks on its reader.
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
    std::array<int, 2> pipe_ends{};
    TEST_SETUP()
    {
        LONGS_EQUAL(0, ::pipe2(pipe_ends.data(), O_NONBLOCK));
    }
    TEST_TEARDOWN()
    {
        ::close(pipe_ends[0]);
        ::close(pipe_ends[1]);
    }

    std::string read_available() const
    {
        std::string out(1 << 20, '\0');
        const auto n = ::read(pipe_ends[0], out.data(), out.size());
        out.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return out;
    }
};

TEST(event_writer, a_line_is_one_json_object)
{
    entry::event_writer log(pipe_ends[1], "vm-1");
    log.write({event_id::request_refused,
               {{"request", "r\"1\n"}, {"reason", "no_server"}}});
    log.flush();
    const auto line = nlohmann::json::parse(read_available());
    STRCMP_EQUAL("request_refused", line["name"].get<std::string>().c_str());
    STRCMP_EQUAL("r\"1\n", line["request"].get<std::string>().c_str());
    STRCMP_EQUAL("warning", line["level"].get<std::string>().c_str());
    STRCMP_EQUAL("vm-1", line["vm"].get<std::string>().c_str());
}

// Guards against unbounded growth of the buffer, and against blocking, when the
// reader of the log stalls: 10,000 events are written to a pipe that nobody
// reads.
TEST(event_writer, an_unread_pipe_uses_bounded_memory)
{
    entry::event_writer log(pipe_ends[1], "vm-1");
    for (int n = 0; n < 10'000; ++n)
    {
        log.write(
            {event_id::request_answered, {{"request", std::to_string(n)}}});
        log.flush();
    }
    CHECK(log.dropped_lines() > 0);
    CHECK(log.buffered_bytes() < std::size_t{300} * 1024);
    // A warning is still buffered after info lines have reached their limit.
    const auto before = log.dropped_lines();
    log.write({event_id::request_refused, {{"request", "x"}}});
    LONGS_EQUAL(before, log.dropped_lines());
}

// A reader that catches up learns from a lines_left_out event that lines are
// missing.
TEST(event_writer, dropped_lines_are_reported)
{
    entry::event_writer log(pipe_ends[1], "vm-1");
    for (int n = 0; n < 10'000; ++n)
        log.write({event_id::request_answered, {{"request", "r"}}});
    std::string all;
    for (int n = 0; n < 100; ++n)
    {
        log.flush();
        all += read_available();
    }
    CHECK(all.find("lines_left_out") != std::string::npos);
}
