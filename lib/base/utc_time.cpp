// The time of day as text, by the C library.
#include "mimosacroft/base/utc_time.hpp"

#include "mimosacroft/base/text.hpp"

#include <array>
#include <ctime>
#include <string_view>

namespace mimosacroft::base
{

namespace
{

constexpr auto http_format = "%a, %d %b %Y %H:%M:%S GMT";
constexpr auto log_format = "%Y-%m-%dT%H:%M:%S";

std::string format(std::int64_t since_1970_s, const char* with)
{
    const std::time_t when = since_1970_s;
    std::tm parts{};
    ::gmtime_r(&when, &parts);
    std::array<char, 64> buf{};
    const auto n = std::strftime(buf.data(), buf.size(), with, &parts);
    return {buf.data(), n};
}

struct parsed_time
{
    std::int64_t since_1970_s = 0;
    std::string_view rest; ///< of the text
};

std::optional<parsed_time> parse(const std::string& text, const char* with)
{
    std::tm parts{};
    const char* end = ::strptime(text.c_str(), with, &parts);
    if (!end)
        return std::nullopt;
    return parsed_time{::timegm(&parts), end};
}

} // namespace

std::optional<std::int64_t> parse_http_date(const std::string& text)
{
    const auto out = parse(text, http_format);
    if (!out || !out->rest.empty())
        return std::nullopt;
    return out->since_1970_s;
}

std::string format_http_date(std::int64_t since_1970_s)
{
    return format(since_1970_s, http_format);
}

std::optional<milliseconds> parse_log_time(const std::string& text)
{
    const auto out = parse(text, log_format);
    // ".120Z"
    if (!out || out->rest.size() != 5 || out->rest.front() != '.' ||
        out->rest.back() != 'Z')
        return std::nullopt;
    const auto ms = to_number(out->rest.substr(1, 3));
    if (!ms)
        return std::nullopt;
    return seconds(out->since_1970_s) +
           milliseconds(static_cast<milliseconds::rep>(*ms));
}

std::string format_log_time(milliseconds since_1970)
{
    const auto whole = std::chrono::floor<seconds>(since_1970);
    auto fraction = std::to_string((since_1970 - whole).count());
    fraction.insert(0, 3 - fraction.size(), '0');
    return format(whole.count(), log_format) + "." + fraction + "Z";
}

} // namespace mimosacroft::base
