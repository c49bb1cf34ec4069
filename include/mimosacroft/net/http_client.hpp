// An asynchronous HTTP client with a pool of connections for each address.
// Runs on the thread of its loop.
#ifndef MIMOSACROFT_NET_HTTP_CLIENT_HPP
#define MIMOSACROFT_NET_HTTP_CLIENT_HPP

#include "mimosacroft/base/error.hpp"
#include "mimosacroft/base/time.hpp"
#include "mimosacroft/net/loop.hpp"
#include "mimosacroft/wire/http.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace mimosacroft::net
{

struct call_options
{
    base::instant deadline;
    /// Opens a connection for this call alone. The server may close a kept
    /// connection while a request is on its way; whether that has run is then
    /// unknown, so a request that may not be repeated needs a fresh one.
    bool fresh_connection = false;
};

class http_client
{
public:
    using on_reply = std::function<void(base::result<wire::http_reply>)>;

    /// Largest number of bytes that calls which go on may have received
    /// together.
    static constexpr std::size_t default_max_unfinished_bytes = 48 << 20;

    explicit http_client(loop& owner, std::size_t max_unfinished_bytes =
                                          default_max_unfinished_bytes);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request to `address` ("ip:port") and calls `fn` once, from the
    /// loop: with the reply, or with an error whose code is `unreachable` when
    /// the connection never came up, `broken` when it failed later, `timeout`
    /// at the deadline, `too_large` when more comes than a reply may have, or
    /// when it has received most while all calls together exceed their bound.
    /// No request is sent twice. A connection whose exchange failed, timed out
    /// or was abandoned is closed and never used again.
    std::uint64_t call(const std::string& address,
                       const wire::http_request& request, call_options options,
                       on_reply fn);

    /// Gives up a call: its connection is closed and `fn` is never called.
    void abandon(std::uint64_t call);

    /// Open connections to an address, idle ones included.
    std::size_t connections(const std::string& address) const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mimosacroft::net

#endif
