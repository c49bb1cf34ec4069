// Hashes and message authentication, from OpenSSL.
#ifndef MIMOSACROFT_BASE_CRYPTO_HPP
#define MIMOSACROFT_BASE_CRYPTO_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mimosacroft::base
{

/// SHA-256 as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view text);

/// HMAC-SHA-256 as 32 raw bytes.
std::string hmac_sha256(std::string_view key, std::string_view text);

/// Compares in a time that does not depend on where the texts differ.
bool equal_constant_time(std::string_view a, std::string_view b);

/// Random bytes for nonces and incarnations; not for the core, whose
/// randomness is passed in.
std::string random_bytes(std::size_t n);
std::uint64_t random_u64();

/// A seed for a generator that may not start at zero.
inline std::uint32_t random_seed()
{
    return static_cast<std::uint32_t>(random_u64() | 1U);
}

/// Lower-case hexadecimal digits of raw bytes.
std::string to_hex(std::string_view bytes);

} // namespace mimosacroft::base

#endif
