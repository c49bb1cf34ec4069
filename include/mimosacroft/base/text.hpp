// Small readings of text that several parts share.
#ifndef MIMOSACROFT_BASE_TEXT_HPP
#define MIMOSACROFT_BASE_TEXT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosacroft::base
{

/// Letters beyond ASCII stay as they are.
constexpr char to_lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/// The parts of a text between separators, without empty ones.
std::vector<std::string> split(std::string_view text, char by);

/// A whole number in decimal digits and nothing else.
std::optional<std::uint64_t> to_number(std::string_view text);

/// Whether a text is "ip:port" with a port from 1 to 65535. The part before the
/// port is not looked at.
bool is_address(std::string_view text);

/// Whether a text is an IPv4 address and a port from 1 to 65535.
bool is_ipv4_address(std::string_view text);

} // namespace mimosacroft::base

#endif
