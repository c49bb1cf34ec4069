// Idempotency keys that state their own time, and how long they and their
// claims live.
#ifndef MIMOSACROFT_QUERY_CLAIM_KEY_HPP
#define MIMOSACROFT_QUERY_CLAIM_KEY_HPP

#include "mimosacroft/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace mimosacroft::query
{

/// The retention that may be set: a key of that age still gets its result.
inline constexpr base::seconds least_retention{3600};
inline constexpr base::seconds longest_retention{3 * 24 * 3600};

/// The age of a key at which its claim may be removed. It does not follow the
/// setting, so that it is safe while VMs have different ones; what it exceeds
/// the longest retention by allows for clocks that are wrong.
inline constexpr base::seconds claim_lifetime =
    longest_retention + base::seconds(24 * 3600);

/// Kinds of objects in the platform. Only claims of dated keys are removed:
/// a key without a time can't be told from a new one afterwards.
inline constexpr std::string_view undated_claim_kind = "claim";
inline constexpr std::string_view dated_claim_kind = "dated-claim";

/// The time that a key states, in seconds since 1970: "t", ten digits and "-"
/// at its start. The name of its claim starts in the same way.
std::optional<std::int64_t> time_of_key(std::string_view key);

/// The start of the key's claim in the platform: in the order of time.
std::string_view dated_prefix(std::string_view key);

} // namespace mimosacroft::query

#endif
