// Idempotency keys that state their own time.
#include "mimosacroft/query/claim_key.hpp"

#include "mimosacroft/base/text.hpp"

#include <algorithm>

namespace mimosacroft::query
{

namespace
{

constexpr std::size_t time_digits = 10;
constexpr std::size_t prefix_length = time_digits + 2;

} // namespace

std::optional<std::int64_t> time_of_key(std::string_view key)
{
    const auto digits =
        key.substr(std::min<std::size_t>(1, key.size()), time_digits);
    const bool dated = key.size() >= prefix_length && key.front() == 't' &&
                       key[prefix_length - 1] == '-';
    const auto seconds = base::to_number(digits);
    if (!dated || !seconds)
        return std::nullopt;
    return static_cast<std::int64_t>(*seconds);
}

std::string_view dated_prefix(std::string_view key)
{
    return key.substr(0, prefix_length);
}

} // namespace mimosacroft::query
