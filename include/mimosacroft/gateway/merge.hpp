// The merge of shards' records: fixed-size records, the greatest first.
#ifndef MIMOSACROFT_GATEWAY_MERGE_HPP
#define MIMOSACROFT_GATEWAY_MERGE_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace mimosacroft::gateway
{

inline constexpr std::size_t record_bytes = 16;

/// The greatest `most` records of all parts, compared byte by byte, greatest
/// first. Equal records all count; a shorter remainder of a part is left out.
std::string merge_records(const std::vector<std::string_view>& parts,
                          std::size_t most);

} // namespace mimosacroft::gateway

#endif
