// Small readings of text that several parts share.
#include "mimosacroft/base/text.hpp"

#include <arpa/inet.h>
#include <charconv>
#include <netinet/in.h>
#include <string>

namespace mimosacroft::base
{

namespace
{

constexpr std::size_t max_port_digits = 5;
constexpr unsigned max_port = 65535;

} // namespace

std::vector<std::string> split(std::string_view text, char by)
{
    std::vector<std::string> out;
    while (!text.empty())
    {
        const auto end = text.find(by);
        const auto part = text.substr(0, end);
        if (!part.empty())
            out.emplace_back(part);
        if (end == std::string_view::npos)
            break;
        text.remove_prefix(end + 1);
    }
    return out;
}

std::optional<std::uint64_t> to_number(std::string_view text)
{
    std::uint64_t out = 0;
    const char* const begin = text.data();
    const char* const end = begin + text.size();
    const auto done = std::from_chars(begin, end, out);
    if (done.ec != std::errc() || done.ptr != end)
        return std::nullopt;
    return out;
}

bool is_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return false;
    const auto port = text.substr(colon + 1);
    const auto n = to_number(port);
    return port.size() <= max_port_digits && n && *n >= 1 && *n <= max_port;
}

bool is_ipv4_address(std::string_view text)
{
    if (!is_address(text))
        return false;
    const std::string host(text.substr(0, text.rfind(':')));
    in_addr buf{};
    return inet_pton(AF_INET, host.c_str(), &buf) == 1;
}

} // namespace mimosacroft::base
