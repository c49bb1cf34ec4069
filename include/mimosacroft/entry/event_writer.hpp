// Writes events as JSON lines to a descriptor without ever waiting for its
// reader. What the reader is too slow for is left out, and counted; lines about
// trouble are kept longer than plain ones.
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
    std::size_t most_bytes =
        std::size_t{256} * 1024; ///< that wait for the reader
    /// Plain lines take no more than this of it.
    std::size_t most_plain_bytes = std::size_t{128} * 1024;
};

class event_writer
{
public:
    /// Makes the descriptor non-blocking.
    explicit event_writer(int descriptor, std::string vm,
                          event_writer_options options = {});
    ~event_writer();
    event_writer(const event_writer&) = delete;
    event_writer& operator=(const event_writer&) = delete;

    void write(const core::log_event& event);
    /// Hands what waits to the reader, as far as it takes it.
    void flush();

    std::uint64_t left_out() const { return left_out_; }
    /// Events since the start, also those that were left out.
    const std::map<core::event_id, std::uint64_t>& counts() const
    {
        return counts_;
    }
    std::size_t waiting_bytes() const { return buf_.size(); }

private:
    std::string to_line(const core::log_event& event) const;
    void report_left_out();

    int descriptor_;
    std::string vm_;
    event_writer_options options_;
    std::string buf_;
    std::map<core::event_id, std::uint64_t> counts_;
    std::uint64_t left_out_ = 0;
    std::uint64_t reported_ = 0; ///< of left_out_
};

} // namespace mimosacroft::entry

#endif
