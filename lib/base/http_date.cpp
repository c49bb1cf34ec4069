// Dates of HTTP headers, by the C library.
#include "mimosacroft/base/http_date.hpp"

#include <array>
#include <ctime>

namespace mimosacroft::base
{

namespace
{

constexpr auto date_format = "%a, %d %b %Y %H:%M:%S GMT";

} // namespace

std::optional<std::int64_t> parse_http_date(const std::string& text)
{
    std::tm parts{};
    const char* end = ::strptime(text.c_str(), date_format, &parts);
    if (!end || *end != '\0')
        return std::nullopt;
    return ::timegm(&parts);
}

std::string format_http_date(std::int64_t since_1970_s)
{
    const std::time_t when = since_1970_s;
    std::tm parts{};
    ::gmtime_r(&when, &parts);
    std::array<char, 64> buf{};
    const auto n = std::strftime(buf.data(), buf.size(), date_format, &parts);
    return {buf.data(), n};
}

} // namespace mimosacroft::base
