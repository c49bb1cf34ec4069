// Writes log events as JSON lines to a file descriptor without ever blocking on
// its reader. Lines that the reader is too slow for wait in a bounded buffer;
// once that is full, new lines are dropped and counted. Lines of level info are
// dropped first, so that warnings and errors still find room.
#ifndef MIMOSACROFT_ENTRY_EVENT_WRITER_HPP
#define MIMOSACROFT_ENTRY_EVENT_WRITER_HPP

#include "mimosacroft/core/log_event.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace mimosacroft::entry
{

struct event_writer_options
{
    /// At this buffer size, lines of any level are dropped.
    std::size_t max_buffered_bytes = std::size_t{256} * 1024;
    /// At this buffer size, lines of level info are dropped.
    std::size_t max_buffered_info_bytes = std::size_t{128} * 1024;
};

class event_writer
{
public:
    /// Makes the descriptor non-blocking. `vm` is written in each line.
    explicit event_writer(int descriptor, std::string vm,
                          event_writer_options options = {});
    /// Flushes once. Lines that the descriptor does not take are lost.
    ~event_writer();
    event_writer(const event_writer&) = delete;
    event_writer& operator=(const event_writer&) = delete;

    /// Appends an event to the buffer, or drops it if the buffer is full. Only
    /// flush() writes to the descriptor.
    void write(const core::log_event& event);
    /// Writes as much of the buffer as the descriptor takes without blocking,
    /// and reports dropped lines once there is room for a line about them.
    void flush();

    /// Lines dropped since the start.
    std::uint64_t dropped_lines() const { return dropped_lines_; }
    /// Events since the start by id, including dropped ones.
    const std::map<core::event_id, std::uint64_t>& counts() const
    {
        return counts_;
    }
    std::size_t buffered_bytes() const { return buffer_.size(); }

private:
    std::string format_line(const core::log_event& event) const;
    /// Appends a lines_left_out event for the lines dropped since the last one.
    void report_dropped_lines();

    int descriptor_;
    std::string vm_;
    event_writer_options options_;
    std::string buffer_;
    std::map<core::event_id, std::uint64_t> counts_;
    std::uint64_t dropped_lines_ = 0;
    /// The part of dropped_lines_ that the log already reports.
    std::uint64_t reported_dropped_lines_ = 0;
};

} // namespace mimosacroft::entry

#endif
