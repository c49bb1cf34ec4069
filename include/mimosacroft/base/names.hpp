// Tables of names for enumerations. An enumeration takes part by specialising
// enum_names with one name per enumerator, in order, starting at zero.
#ifndef MIMOSACROFT_BASE_NAMES_HPP
#define MIMOSACROFT_BASE_NAMES_HPP

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace mimosacroft::base
{

template <typename Enum>
struct enum_names;

/// The name of an enumerator; "invalid" for a value outside the table.
template <typename Enum>
constexpr std::string_view name_of(Enum value)
{
    const auto& table = enum_names<Enum>::table;
    const auto n = static_cast<std::size_t>(value);
    return n < table.size() ? table[n] : std::string_view("invalid");
}

/// The enumerator with this name, or nothing.
template <typename Enum>
constexpr std::optional<Enum> value_of(std::string_view name)
{
    const auto& table = enum_names<Enum>::table;
    for (std::size_t n = 0; n < table.size(); ++n)
        if (table[n] == name)
            return static_cast<Enum>(n);
    return std::nullopt;
}

/// The enumerator with this number, or nothing. For decoding foreign input.
template <typename Enum>
constexpr std::optional<Enum> value_at(std::size_t n)
{
    if (n >= enum_names<Enum>::table.size())
        return std::nullopt;
    return static_cast<Enum>(n);
}

} // namespace mimosacroft::base

#endif
