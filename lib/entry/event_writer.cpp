// Writes log events as JSON lines to a non-blocking descriptor.
#include "mimosacroft/entry/event_writer.hpp"

#include "mimosacroft/base/utc_time.hpp"

#include <chrono>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace mimosacroft::entry
{

namespace
{

std::string utc_now()
{
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return base::format_log_time(
        std::chrono::duration_cast<base::milliseconds>(since_epoch));
}

} // namespace

event_writer::event_writer(int descriptor, std::string vm,
                           event_writer_options options)
    : descriptor_(descriptor), vm_(std::move(vm)), options_(options)
{
    const int flags = ::fcntl(descriptor_, F_GETFL);
    if (flags >= 0)
        ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

event_writer::~event_writer()
{
    flush();
}

std::string event_writer::format_line(const core::log_event& event) const
{
    const auto& description = core::describe(event.id);
    nlohmann::ordered_json line = {{"time", utc_now()},
                                   {"level", core::name_of(description.level)},
                                   {"event", static_cast<int>(event.id)},
                                   {"name", description.name},
                                   {"vm", vm_}};
    for (const auto& [key, value] : event.fields)
        line[key] = value;
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
           "\n";
}

void event_writer::write(const core::log_event& event)
{
    ++counts_[event.id];
    const bool is_info = core::describe(event.id).level == core::severity::info;
    const auto max_bytes = is_info ? options_.max_buffered_info_bytes
                                   : options_.max_buffered_bytes;
    if (buffer_.size() >= max_bytes)
    {
        ++dropped_lines_;
        return;
    }
    buffer_ += format_line(event);
}

void event_writer::report_dropped_lines()
{
    if (dropped_lines_ == reported_dropped_lines_ ||
        buffer_.size() >= options_.max_buffered_bytes)
        return;
    buffer_ +=
        format_line({core::event_id::lines_left_out,
                     {{"lines", std::to_string(dropped_lines_ -
                                               reported_dropped_lines_)}}});
    reported_dropped_lines_ = dropped_lines_;
}

void event_writer::flush()
{
    if (buffer_.empty())
        return;
    const auto n = ::write(descriptor_, buffer_.data(), buffer_.size());
    if (n > 0)
        buffer_.erase(0, static_cast<std::size_t>(n));
    if (buffer_.size() < options_.max_buffered_info_bytes)
        report_dropped_lines();
}

} // namespace mimosacroft::entry
