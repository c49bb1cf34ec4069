// Mutual authentication of a peer link by a shared secret. Each side sends a
// hello with a fresh challenge, then a proof: the HMAC over the other side's
// challenge, its own hello and its side of the link.
#ifndef MIMOSACROFT_WIRE_HANDSHAKE_HPP
#define MIMOSACROFT_WIRE_HANDSHAKE_HPP

#include "mimosacroft/wire/messages.hpp"

#include <optional>

namespace mimosacroft::wire
{

enum class link_side
{
    connecting,
    accepting
};

class handshake
{
public:
    /// `own.nonce` must be fresh random bytes.
    handshake(link_side side, hello own, std::string secret);

    const hello& own() const { return own_; }

    /// Takes the next message of the other side. Gives the message to send in
    /// return, if any, or the reason to close the link.
    base::result<std::optional<message>> receive(const message& msg);

    /// Both sides have proved that they know the secret.
    bool done() const { return done_; }

    /// The other side's hello. Only trusted once done() is true.
    const hello& peer() const { return peer_; }

private:
    std::string mac(link_side by, const hello& from,
                    const std::string& challenge) const;

    link_side side_;
    hello own_;
    std::string secret_;
    hello peer_;
    bool greeted_ = false; ///< peer_ has been received
    bool done_ = false;    ///< implies greeted_
};

} // namespace mimosacroft::wire

#endif
