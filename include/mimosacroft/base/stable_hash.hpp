// A hash that is the same in every process, which the standard library's is
// not: VMs compare its values and must compute the same order from it.
#ifndef MIMOSACROFT_BASE_STABLE_HASH_HPP
#define MIMOSACROFT_BASE_STABLE_HASH_HPP

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace mimosacroft::base
{

/// FNV-1a over a text; `hash` is the value so far.
inline std::uint64_t fnv1a(std::string_view text,
                           std::uint64_t hash = 14695981039346656037ULL)
{
    for (const char c : text)
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return hash;
}

/// FNV-1a over the parts and their boundaries, with a final mix.
inline std::uint64_t stable_hash(std::initializer_list<std::string_view> parts)
{
    constexpr std::string_view boundary("\0", 1);
    std::uint64_t hash = fnv1a({});
    bool first = true;
    for (const auto part : parts)
    {
        if (!first)
            hash = fnv1a(boundary, hash);
        first = false;
        hash = fnv1a(part, hash);
    }
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    return hash;
}

} // namespace mimosacroft::base

#endif
