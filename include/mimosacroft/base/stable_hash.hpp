// A hash that is the same in every process, which the standard library's is
// not: VMs compare its values and must compute the same order from it.
#ifndef MIMOSACROFT_BASE_STABLE_HASH_HPP
#define MIMOSACROFT_BASE_STABLE_HASH_HPP

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace mimosacroft::base
{

/// FNV-1a over the parts and their boundaries, with a final mix.
inline std::uint64_t stable_hash(std::initializer_list<std::string_view> parts)
{
    std::uint64_t hash = 14695981039346656037ULL;
    const auto add = [&hash](char c)
    {
        hash ^= static_cast<unsigned char>(c);
        hash *= 1099511628211ULL;
    };
    bool first = true;
    for (const auto part : parts)
    {
        if (!first)
            add('\0');
        first = false;
        for (const char c : part)
            add(c);
    }
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
}

} // namespace mimosacroft::base

#endif
