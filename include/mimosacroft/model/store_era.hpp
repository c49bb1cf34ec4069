// Versions of the platform's store across its eras. When the store comes back
// from a copy, a new era begins, and it gives out again the versions since the
// copy was made.
#ifndef MIMOSACROFT_MODEL_STORE_ERA_HPP
#define MIMOSACROFT_MODEL_STORE_ERA_HPP

#include <cstdint>

namespace mimosacroft::model
{

/// The era that the store states in its replies. A store that states none is
/// in its first one.
struct store_era
{
    std::uint64_t number = 0; ///< how often the store came back from a copy
    std::uint64_t since = 0;  ///< version of the latest copy
};

/// More versions than a store gives out in one era.
inline constexpr std::uint64_t era_span = 1'000'000'000'000;

/// The store's own version as one that is higher than all that the store gave
/// out before. What the copy holds keeps its version, so that it is older than
/// what replaced it before the copy was used.
constexpr std::uint64_t ordered_version(std::uint64_t version,
                                        const store_era& era)
{
    return version > era.since ? era.number * era_span + version : version;
}

/// The store's own version of an ordered one.
constexpr std::uint64_t store_version(std::uint64_t ordered)
{
    return ordered % era_span;
}

/// The number of the era in which an ordered version was given out.
constexpr std::uint64_t era_number(std::uint64_t ordered)
{
    return ordered / era_span;
}

} // namespace mimosacroft::model

#endif
