// A caller's request and its answer, as the core sees them.
#ifndef MIMOSACROFT_QUERY_SEARCH_HPP
#define MIMOSACROFT_QUERY_SEARCH_HPP

#include "mimosacroft/base/time.hpp"
#include "mimosacroft/model/resources.hpp"
#include "mimosacroft/wire/messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mimosacroft::query
{

struct search_request
{
    std::uint64_t ticket = 0; ///< given back with the answer
    std::string search;
    std::string body; ///< opaque, passed to the upstreams
    std::optional<base::milliseconds>
        deadline; ///< the search's default if none
    model::priority priority = model::priority::ordinary; ///< from the rule
    std::optional<double> least_coverage; ///< the search's if none
    std::string idempotency_key;          ///< empty if none
    std::string routing_key;              ///< selects the shard in scope one
    std::string trace;                    ///< W3C trace id
    std::string caller;                   ///< name of the caller's rule
    std::int64_t received_s = 0;          ///< wall clock, since 1970
};

struct included_shard
{
    std::string name;
    std::string payload;
};

struct lacking_shard
{
    std::string name;
    model::lack_reason reason = model::lack_reason::timeout;
    bool maybe_run = false; ///< false only if it provably did not run
};

/// `included` and `lacking` are disjoint and together the shards that the
/// request went to, at `epoch`.
struct search_answer
{
    std::uint64_t ticket = 0;
    model::outcome outcome = model::outcome::rejected;
    std::string error; ///< why there is no whole answer; empty when answered
    std::string search;
    std::uint64_t epoch = 0;
    std::vector<included_shard> included;
    std::vector<lacking_shard> lacking;
    double least_coverage = 0; ///< what was demanded
    std::uint32_t extra_attempts = 0;
    bool replayed = false; ///< recorded result of an earlier request
    std::string trace;
    std::vector<wire::span> spans;
    base::duration took{};
};

/// An answer to a request with nothing in it yet.
search_answer blank_answer(const search_request& request);

/// Share of the shards that is included; 1 when there are none.
double coverage_of(const search_answer& answer);

/// How a request ended, from its shards.
model::outcome decide_outcome(const search_answer& answer);

} // namespace mimosacroft::query

#endif
