// Dates of HTTP headers, as seconds since 1970.
#ifndef MIMOSACROFT_BASE_HTTP_DATE_HPP
#define MIMOSACROFT_BASE_HTTP_DATE_HPP

#include <cstdint>
#include <optional>
#include <string>

namespace mimosacroft::base
{

/// Reads "Sun, 06 Nov 1994 08:49:37 GMT"; nothing for any other form.
std::optional<std::int64_t> parse_http_date(const std::string& text);

std::string format_http_date(std::int64_t since_1970_s);

} // namespace mimosacroft::base

#endif
