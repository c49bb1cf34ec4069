// An HTTP/1.1 client on one event loop: one exchange at a time on a connection,
// connections kept for each address. It never sends anything again by itself,
// and tells whether a request that failed may have arrived.
#ifndef MIMOSACROFT_HTTP_CLIENT_HPP
#define MIMOSACROFT_HTTP_CLIENT_HPP

#include "mimosacroft/base/names.hpp"
#include "mimosacroft/http/asio.hpp"
#include "mimosacroft/http/message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace mimosacroft::http
{

/// Names one exchange; chosen by the user of the client, never 0.
using exchange_number = std::uint64_t;

enum class exchange_failure
{
    not_sent,  ///< no connection was made: no byte of the request left
    lost,      ///< the connection ended after the request was written
    malformed, ///< what came back is no whole answer of this request
    too_large, ///< the answer exceeds the limit that the request set for it
};

/// How a response that arrived on a connection relates to its exchange.
enum class reply_match
{
    belongs,  ///< it answers the request
    stray,    ///< it answers another one: skip it, and keep waiting
    unusable, ///< nothing on this connection can be trusted any more
};

struct client_options
{
    std::size_t body_bytes = std::size_t{8} << 20; ///< largest answer
    /// Of all bytes that came for exchanges that go on. Beyond that, the
    /// exchange with the most of them fails as malformed.
    std::size_t unfinished_bytes = std::size_t{48} << 20;
    base::milliseconds idle_time{20'000}; ///< where the peer states none
    base::milliseconds connect_time{1'000};
    base::milliseconds unconfirmed_time{3'000}; ///< sent bytes without an ack
    /// At once. Beyond that the one that has been idle for longest is ended; if
    /// none is, an exchange fails as not sent.
    std::size_t connections = 65'536;
};

class client
{
public:
    struct handlers
    {
        /// A connection was made and the request is written to it.
        std::function<void(exchange_number)> on_sent = [](auto) {};
        std::function<reply_match(exchange_number, const response&)> match =
            [](auto, const auto&) { return reply_match::belongs; };
        std::function<void(exchange_number, response&&)> on_reply;
        std::function<void(exchange_number, exchange_failure)> on_failure;
    };

    client(asio::io_context& io, handlers h, client_options options = {});
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    struct send_options
    {
        /// Only a connection that was in use until less than this ago, else a
        /// new one: an old one may be gone already, without a sign of it.
        base::milliseconds max_idle = base::milliseconds::max();
        /// Exchanges in which the same request was sent before. Their answers
        /// bear its id as well, and a second copy of one may still come. So no
        /// connection is used that carried, or may have carried, one of them.
        std::vector<exchange_number> earlier = {};
        /// The request's body, if other requests share it; its own is not sent
        /// then.
        shared_body body = nullptr;
        /// Largest body of the answer, in bytes. One that is announced larger
        /// is not read. Without it, that of the client holds, and a larger
        /// answer is malformed.
        std::optional<std::size_t> answer_bytes = std::nullopt;
    };

    /// Sends a request on a kept connection or a new one. Nothing is called
    /// back before this returns. Numbers of exchanges increase from call to
    /// call.
    void send(exchange_number number, const tcp::endpoint& to,
              const request& message, const send_options& options);
    void send(exchange_number number, const tcp::endpoint& to,
              const request& message)
    {
        send(number, to, message, send_options{});
    }

    /// Ends an exchange and its connection; nothing more is called back for it.
    void drop(exchange_number number);

    /// Ends connections that are idle for too long, and attempts to connect
    /// that take too long. To be called a few times a second.
    void sweep(base::instant now);

    /// Connections opened since the start.
    std::uint64_t opened() const;
    traffic moved() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mimosacroft::http

template <>
struct mimosacroft::base::enum_names<mimosacroft::http::exchange_failure>
{
    static constexpr std::array<std::string_view, 4> table = {
        "not_sent", "lost", "malformed", "too_large"};
};

#endif
