// How entry VMs read the store's objects from each other: msgpack in the bodies
// of HTTP answers.
#ifndef MIMOSACROFT_ENTRY_SPREAD_CODEC_HPP
#define MIMOSACROFT_ENTRY_SPREAD_CODEC_HPP

#include "mimosacroft/base/error.hpp"
#include "mimosacroft/gateway/object_follower.hpp"
#include "mimosacroft/http/message.hpp"

#include <optional>
#include <string>

namespace mimosacroft::entry
{

/// What a VM asks another one for.
struct spread_request
{
    std::string kind;
    gateway::follow_call call;
};

/// What it gets, and how old that may be.
struct spread_answer
{
    gateway::object_batch batch;
    base::milliseconds age{0}; ///< since the giver knew all that the store has
};

http::request encode_spread_request(const spread_request& it,
                                    const std::string& address);
/// Nothing if the request is for something else.
std::optional<spread_request> decode_spread_request(const http::request& it);

http::response encode_spread_answer(const spread_answer& it);
/// The giver has not the history that was asked for.
http::response encode_spread_gone();
/// The giver does not know enough itself.
http::response encode_spread_unavailable();
/// Errors: not_found, the history is gone; unavailable; invalid.
base::result<spread_answer> decode_spread_answer(const http::response& it);

} // namespace mimosacroft::entry

#endif
