// Encodes and decodes the calls with which entry VMs read the store's objects
// from each other: HTTP with msgpack bodies.
#ifndef MIMOSACROFT_ENTRY_SPREAD_CODEC_HPP
#define MIMOSACROFT_ENTRY_SPREAD_CODEC_HPP

#include "mimosacroft/base/error.hpp"
#include "mimosacroft/gateway/object_follower.hpp"
#include "mimosacroft/http/message.hpp"

#include <optional>
#include <string>

namespace mimosacroft::entry
{

/// A list or watch call from one VM to another.
struct spread_request
{
    std::string kind; ///< of the objects
    gateway::follow_call call;
};

/// The objects or changes that answer a call, and how old they may be.
struct spread_answer
{
    gateway::object_batch batch;
    /// Time since the sender was up to date with the store.
    base::milliseconds age{0};
};

http::request encode_spread_request(const spread_request& request,
                                    const std::string& address);
/// Nothing if the request has another target or a malformed body.
std::optional<spread_request>
decode_spread_request(const http::request& message);

http::response encode_spread_answer(const spread_answer& answer);
/// This VM no longer has the changes since the requested revision.
http::response encode_spread_history_gone();
/// This VM doesn't follow the kind, or its own data is incomplete or too old.
http::response encode_spread_unavailable();
/// Errors: not_found, the sender no longer has the changes since the requested
/// revision; unavailable, it can't serve the kind; invalid, the body is
/// malformed.
base::result<spread_answer> decode_spread_answer(const http::response& message);

} // namespace mimosacroft::entry

#endif
