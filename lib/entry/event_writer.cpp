// Writes events as JSON lines.
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
    const auto at = std::chrono::system_clock::now().time_since_epoch();
    return base::format_log_time(
        std::chrono::duration_cast<base::milliseconds>(at));
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

std::string event_writer::to_line(const core::log_event& event) const
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
    const bool plain = core::describe(event.id).level == core::severity::info;
    const auto most = plain ? options_.most_plain_bytes : options_.most_bytes;
    if (buf_.size() >= most)
    {
        ++left_out_;
        return;
    }
    buf_ += to_line(event);
}

void event_writer::report_left_out()
{
    if (left_out_ == reported_ || buf_.size() >= options_.most_bytes)
        return;
    buf_ += to_line({core::event_id::lines_left_out,
                     {{"lines", std::to_string(left_out_ - reported_)}}});
    reported_ = left_out_;
}

void event_writer::flush()
{
    if (buf_.empty())
        return;
    const auto n = ::write(descriptor_, buf_.data(), buf_.size());
    if (n > 0)
        buf_.erase(0, static_cast<std::size_t>(n));
    if (buf_.size() < options_.most_plain_bytes)
        report_left_out();
}

} // namespace mimosacroft::entry
