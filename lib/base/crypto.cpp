// Hashes and message authentication, from OpenSSL.
#include "mimosacroft/base/crypto.hpp"

#include <array>
#include <cstring>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <stdexcept>

namespace mimosacroft::base
{

namespace
{

const unsigned char* bytes_of(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

std::string to_hex(std::string_view bytes)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string out;
    out.reserve(bytes.size() * 2);
    for (const char c : bytes)
    {
        const auto b = static_cast<unsigned char>(c);
        out += digits[b >> 4];
        out += digits[b & 15];
    }
    return out;
}

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> buf{};
    SHA256(bytes_of(text), text.size(), buf.data());
    return to_hex({reinterpret_cast<const char*>(buf.data()), buf.size()});
}

std::string hmac_sha256(std::string_view key, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
    unsigned int n = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes_of(text),
         text.size(), buf.data(), &n);
    return {reinterpret_cast<const char*>(buf.data()), n};
}

bool equal_constant_time(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string random_bytes(std::size_t n)
{
    std::string out(n, '\0');
    auto* buf = reinterpret_cast<unsigned char*>(out.data());
    if (RAND_bytes(buf, static_cast<int>(n)) != 1)
        throw std::runtime_error("no random bytes from the system");
    return out;
}

std::uint64_t random_u64()
{
    std::uint64_t out = 0;
    const std::string buf = random_bytes(sizeof out);
    std::memcpy(&out, buf.data(), sizeof out);
    return out;
}

} // namespace mimosacroft::base
