// The HTTP and JSON of the upstreams' published protocol (docs/upstream.md).
#ifndef MIMOSACROFT_QUERY_UPSTREAM_CODEC_HPP
#define MIMOSACROFT_QUERY_UPSTREAM_CODEC_HPP

#include "mimosacroft/base/error.hpp"
#include "mimosacroft/wire/http.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mimosacroft::query
{

/// One subquery of a batch.
struct upstream_subquery
{
    std::string id; ///< unique for the fleet and attempt
    std::string search;
    std::uint64_t epoch = 0;
    std::string shard;
    std::uint32_t deadline_ms = 0; ///< time left
    std::string body;
};

enum class upstream_status
{
    ok,
    not_yet,   ///< the server does not hold the epoch yet
    no_longer, ///< the server has dropped the epoch
    refused,   ///< refused before it started
    error      ///< failed after it started
};

struct upstream_result
{
    std::string id;
    std::string shard;
    std::optional<std::uint64_t> epoch; ///< as stated by the server
    upstream_status status = upstream_status::error;
    std::string payload; ///< JSON
};

struct upstream_reply
{
    std::string incarnation; ///< of the server's process, empty if not stated
    bool leaving = false;
    std::optional<double> load; ///< as reported, 0 to 1; a hint only
    std::vector<upstream_result> results;
};

wire::http_request encode_subqueries(const std::vector<upstream_subquery>& in);

/// Reads the body of a reply with status 200.
base::result<upstream_reply> decode_reply(const std::string& body);

/// The server's word that it refused a whole batch before it started.
struct upstream_refusal
{
    std::string reason;
    std::string incarnation;
    bool leaving = false;
};

/// Reads the refusal of a whole batch; nothing if the reply is none.
std::optional<upstream_refusal> decode_refusal(const wire::http_reply& reply);

/// Asks a server to give up subqueries. Status 200 confirms that they no longer
/// use a slot.
wire::http_request encode_cancel(const std::vector<std::string>& ids);

/// What a server says of itself at its health endpoint.
struct upstream_health
{
    std::string incarnation;
    bool leaving = false;
    std::optional<double> load;
};

wire::http_request encode_health();

/// Reads a reply of the health endpoint; nothing if it cannot be read.
std::optional<upstream_health> decode_health(const wire::http_reply& reply);

} // namespace mimosacroft::query

namespace mimosacroft::base
{

template <>
struct enum_names<query::upstream_status>
{
    static constexpr std::array<std::string_view, 5> table = {
        "ok", "not_yet", "no_longer", "refused", "error"};
};

} // namespace mimosacroft::base

#endif
