// What the core asks of the world. The core takes inputs with the time of their
// arrival and appends effects; sockets and timers stand outside and carry them
// out. A test reads the effects in place of a network.
#ifndef MIMOSACROFT_CORE_EFFECTS_HPP
#define MIMOSACROFT_CORE_EFFECTS_HPP

#include "mimosacroft/base/time.hpp"
#include "mimosacroft/core/log_event.hpp"
#include "mimosacroft/wire/http.hpp"
#include "mimosacroft/wire/messages.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace mimosacroft::core
{

/// Sends a message to another VM. A link that cannot be opened or breaks is
/// reported as a lost peer.
struct send_peer
{
    std::string vm;
    std::string address; ///< ip:port
    wire::message msg;
};

/// The part of the core that made an HTTP call and gets its reply.
enum class call_owner
{
    leaf,   ///< a call to an upstream
    fleet,  ///< configuration and membership, to the platform
    claims, ///< idempotency claims, to the platform
    sweeper ///< removal of old claims, to the platform
};

/// An HTTP call to an upstream or the platform. Gets exactly one reply, or
/// none once it is abandoned.
struct http_call
{
    call_owner owner = call_owner::leaf;
    std::uint64_t id = 0; ///< unique for its owner
    std::string address;  ///< ip:port
    wire::http_request request;
    base::instant deadline;
    bool fresh_connection = false; ///< for requests that may not be repeated
};

/// Gives up a call: its connection is closed.
struct abandon_call
{
    call_owner owner = call_owner::leaf;
    std::uint64_t id = 0;
};

using effect = std::variant<send_peer, http_call, abandon_call, log_event>;
using effects = std::vector<effect>;

} // namespace mimosacroft::core

#endif
