// What entry VMs on the platform say to each other: msgpack in the bodies of
// HTTP requests.
#ifndef MIMOSACROFT_ENTRY_RELAY_CODEC_HPP
#define MIMOSACROFT_ENTRY_RELAY_CODEC_HPP

#include "mimosacroft/base/error.hpp"
#include "mimosacroft/gateway/query.hpp"

#include <string>

namespace mimosacroft::entry
{

/// Path of the call that asks a VM to answer a scattered request.
inline constexpr auto relay_path = "/v1/relay";

http::request encode_relay(const gateway::relay_effect& it);
/// Errors: invalid.
base::result<gateway::relayed_request> decode_relay(const http::request& it);

http::response encode_relay_answer(const gateway::answer& it);
/// Errors: invalid.
base::result<gateway::answer> decode_relay_answer(const http::response& it);

} // namespace mimosacroft::entry

#endif
