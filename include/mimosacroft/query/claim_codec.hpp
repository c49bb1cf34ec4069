// The JSON of a claim, as the platform keeps it.
#ifndef MIMOSACROFT_QUERY_CLAIM_CODEC_HPP
#define MIMOSACROFT_QUERY_CLAIM_CODEC_HPP

#include "mimosacroft/base/error.hpp"
#include "mimosacroft/query/search.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace mimosacroft::query
{

/// What the platform keeps for one idempotency key.
struct claim_record
{
    std::string vm;
    std::uint64_t incarnation = 0; ///< of the claimant's process
    std::string nonce;             ///< drawn by the claimant for this request
    std::string fingerprint;       ///< of what was asked with the key
    std::int64_t created_s = 0;    ///< wall clock of the claimant
    bool done = false;             ///< the request has ended
    std::optional<search_answer> answer; ///< absent when too large to keep
};

struct stored_claim
{
    std::uint64_t version = 0;
    claim_record record;
};

std::string encode_claim(const claim_record& record);

/// Reads an object of the platform: a reply to GET, or the `object` member of
/// the reply to a conditional write that lost.
base::result<stored_claim> decode_claim(const std::string& object);
base::result<stored_claim> decode_conflict(const std::string& reply);

/// Reads the version from the reply to a write.
base::result<std::uint64_t> decode_version(const std::string& reply);

} // namespace mimosacroft::query

#endif
