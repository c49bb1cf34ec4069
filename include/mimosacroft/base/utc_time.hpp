// The time of day as text: in headers of HTTP and in lines of logs.
#ifndef MIMOSACROFT_BASE_UTC_TIME_HPP
#define MIMOSACROFT_BASE_UTC_TIME_HPP

#include "mimosacroft/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace mimosacroft::base
{

/// Reads "Sun, 06 Nov 1994 08:49:37 GMT"; nothing for any other form.
std::optional<std::int64_t> parse_http_date(const std::string& text);

std::string format_http_date(std::int64_t since_1970_s);

/// Reads "1994-11-06T08:49:37.120Z"; nothing for any other form.
std::optional<milliseconds> parse_log_time(const std::string& text);

std::string format_log_time(milliseconds since_1970);

} // namespace mimosacroft::base

#endif
