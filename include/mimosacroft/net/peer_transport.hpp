// Links between the VMs: framed messages over TCP. A VM sends on the links that
// it opened and receives on the links that others opened to it, so each pair of
// VMs has at most one link in each direction. Runs on the thread of its loop.
#ifndef MIMOSACROFT_NET_PEER_TRANSPORT_HPP
#define MIMOSACROFT_NET_PEER_TRANSPORT_HPP

#include "mimosacroft/net/loop.hpp"
#include "mimosacroft/wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace mimosacroft::net
{

struct peer_transport_options
{
    std::string listen_address = "127.0.0.1";
    std::uint16_t listen_port = 0;
    std::string vm;                ///< own id
    std::uint64_t incarnation = 0; ///< of this process
    std::string secret;            ///< shared by the fleet
    std::size_t max_frame_bytes = 4 << 20;
    std::size_t max_queue_bytes = 16 << 20; ///< unsent, for each link
    base::milliseconds connect_timeout{1000};
    /// Links that others opened and on which they have not proved yet that they
    /// are of the fleet. Beyond that, the oldest of them is closed.
    std::size_t max_strange_links = 256;
    /// After a link that never came up, the next one is tried no sooner; the
    /// pause doubles with each failure in a row.
    base::milliseconds least_retry_pause{50};
    base::milliseconds most_retry_pause{1000};
};

/// What the transport reports, all on the loop's thread.
struct peer_handlers
{
    /// A message of an authenticated peer.
    std::function<void(const std::string& vm, std::uint64_t incarnation,
                       wire::message msg)>
        on_message;
    /// The link to a peer broke or never came up. What was sent on it may or
    /// may not have arrived; if `was_up` is false nothing was.
    std::function<void(const std::string& vm, bool was_up)> on_link_down;
    /// A foreign or broken link was refused.
    std::function<void(const base::error& reason)> on_refused;
};

/// Counters since the start.
struct peer_counters
{
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t frames_sent = 0;
    std::uint64_t frames_received = 0;
    std::uint64_t links_refused = 0;
    std::uint64_t links_tried = 0;      ///< connects of this VM
    std::uint64_t strangers_closed = 0; ///< in favour of others that connect
};

class peer_transport
{
public:
    /// Starts to listen; throws std::runtime_error when the port is taken.
    peer_transport(loop& owner, peer_transport_options options,
                   peer_handlers handlers);
    ~peer_transport();
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;

    /// Sends to a peer, opening the link if there is none. Failure shows later
    /// through on_link_down, also when it is too soon to open one again.
    void send(const std::string& vm, const std::string& address,
              const wire::message& msg);

    /// Whether every message that was sent has been handed to the network.
    bool flushed() const;

    const peer_counters& counters() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mimosacroft::net

#endif
