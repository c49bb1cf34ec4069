// Encodes and decodes relayed requests and their answers: one entry VM asks
// another one over HTTP, with msgpack bodies, to query some shards of a
// request.
#ifndef MIMOSACROFT_ENTRY_RELAY_CODEC_HPP
#define MIMOSACROFT_ENTRY_RELAY_CODEC_HPP

#include "mimosacroft/base/error.hpp"
#include "mimosacroft/gateway/query.hpp"

#include <optional>
#include <string>

namespace mimosacroft::entry
{

/// Target of the HTTP request that asks a VM to query some shards.
inline constexpr auto relay_path = "/v1/relay";

http::request encode_relay(const gateway::relay_effect& effect);
/// Errors: invalid, if the body is malformed.
base::result<gateway::relayed_request>
decode_relay(const http::request& message);

/// A `server_reply` is encoded as `declined`, since it has no form on the wire.
http::response encode_relay_answer(const gateway::relayed_answer& answer);
/// Errors: invalid, if the status isn't 200 or the body is malformed.
base::result<gateway::relayed_answer>
decode_relay_answer(const http::response& message);

/// What another VM tells this one, outside of a relayed request.
struct news_message
{
    gateway::fleet_news news;
    bool pass_on = false; ///< to the VMs of this data centre
};

http::request encode_news(const gateway::news_effect& effect);
/// Returns nothing if the message is not one of news.
std::optional<news_message> decode_news(const http::request& message);

} // namespace mimosacroft::entry

#endif
