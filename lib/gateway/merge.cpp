// Merges the records of several shards.
#include "mimosacroft/gateway/merge.hpp"

#include <algorithm>
#include <functional>

namespace mimosacroft::gateway
{

namespace
{

std::vector<std::string_view>
split_records(const std::vector<std::string_view>& parts)
{
    std::vector<std::string_view> out;
    for (const auto part : parts)
        for (std::size_t at = 0; at + record_bytes <= part.size();
             at += record_bytes)
            out.push_back(part.substr(at, record_bytes));
    return out;
}

} // namespace

std::string merge_records(const std::vector<std::string_view>& parts,
                          std::size_t max_records)
{
    // std::string_view compares bytes as unsigned values.
    auto records = split_records(parts);
    const auto n = std::min(max_records, records.size());
    std::ranges::partial_sort(records,
                              records.begin() + static_cast<std::ptrdiff_t>(n),
                              std::ranges::greater{});
    std::string out;
    out.reserve(n * record_bytes);
    for (std::size_t it = 0; it < n; ++it)
        out += records[it];
    return out;
}

} // namespace mimosacroft::gateway
