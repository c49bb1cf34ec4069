// Merges the fixed-size records of several shards in descending order.
#ifndef MIMOSACROFT_GATEWAY_MERGE_HPP
#define MIMOSACROFT_GATEWAY_MERGE_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace mimosacroft::gateway
{

inline constexpr std::size_t record_bytes = 16;

/// Returns the greatest `max_records` records of all parts in descending order.
/// Records are compared as unsigned bytes. Duplicates are kept; a trailing
/// incomplete record of a part is ignored.
std::string merge_records(const std::vector<std::string_view>& parts,
                          std::size_t max_records);

} // namespace mimosacroft::gateway

#endif
