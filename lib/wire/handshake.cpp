// Mutual authentication of a peer link.
#include "mimosacroft/wire/handshake.hpp"

#include "mimosacroft/base/crypto.hpp"

namespace mimosacroft::wire
{

namespace
{

constexpr std::size_t min_nonce_bytes = 16;

tl::unexpected<base::error> refuse(const std::string& peer, std::string text)
{
    return base::fail(base::error_code::unauthorized, base::step::connect, peer,
                      std::move(text));
}

link_side other(link_side side)
{
    return side == link_side::connecting ? link_side::accepting
                                         : link_side::connecting;
}

} // namespace

handshake::handshake(link_side side, hello own, std::string secret)
    : side_(side), own_(std::move(own)), secret_(std::move(secret))
{
}

base::result<std::optional<message>> handshake::receive(const message& msg)
{
    if (const auto* greeting = std::get_if<hello>(&msg); greeting && !greeted_)
    {
        if (greeting->version != protocol_version)
            return refuse(greeting->vm, "peer speaks protocol version " +
                                            std::to_string(greeting->version));
        if (greeting->nonce.size() < min_nonce_bytes)
            return refuse(greeting->vm, "peer's challenge is too short");
        peer_ = *greeting;
        greeted_ = true;
        return message(proof{mac(side_, own_, peer_.nonce)});
    }
    if (const auto* shown = std::get_if<proof>(&msg); shown && greeted_)
    {
        if (!base::equal_constant_time(shown->mac,
                                       mac(other(side_), peer_, own_.nonce)))
            return refuse(peer_.vm, "peer does not know the fleet's secret");
        done_ = true;
        return std::nullopt;
    }
    return refuse(peer_.vm, "message before the handshake was done");
}

std::string handshake::mac(link_side by, const hello& from,
                           const std::string& challenge) const
{
    // The side is part of the text, so a proof cannot be reflected.
    std::string text =
        by == link_side::connecting ? "connecting|" : "accepting|";
    text += pack(from);
    text += challenge;
    return base::hmac_sha256(secret_, text);
}

} // namespace mimosacroft::wire
