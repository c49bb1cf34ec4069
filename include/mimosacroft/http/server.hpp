// An HTTP/1.1 server on one event loop. It answers requests of a connection in
// order, notices callers that leave, and never closes a connection whose
// request it has handed out without an answer.
#ifndef MIMOSACROFT_HTTP_SERVER_HPP
#define MIMOSACROFT_HTTP_SERVER_HPP

#include "mimosacroft/http/asio.hpp"
#include "mimosacroft/http/message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace mimosacroft::http
{

/// What callers may send, and for how long they may take.
struct server_limits
{
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{1024} * 1024;
    base::milliseconds header_time{10'000}; ///< from first to last header byte
    base::milliseconds idle_time{60'000};   ///< a kept connection without use
};

/// Names one request of one server.
using request_number = std::uint64_t;

class server
{
public:
    struct handlers
    {
        /// A whole request is in. It is answered by answer(), at once or later.
        std::function<void(request_number, request&&)> on_request;
        /// The caller of an unanswered request closed its connection.
        std::function<void(request_number)> on_leave;
        /// What came was no readable request, or came too slowly; it was
        /// answered with this status.
        std::function<void(unsigned status)> on_refused = [](unsigned) {};
    };

    /// Listens at once; throws boost::system::system_error if it can't.
    server(asio::io_context& io, const tcp::endpoint& at, handlers h,
           server_limits limits = {});
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Answers a request. Does nothing if its caller has left.
    void answer(request_number number, const response& reply);

    void set_limits(const server_limits& limits);

    /// From now on each answer announces the end of its connection.
    void announce_close();

    /// Takes no new connections, and ends those without a request.
    void close_idle();

    /// Ends connections that have been idle or slow for too long. To be called
    /// about once a second.
    void sweep(base::instant now);

    /// Requests handed out and not answered, or whose answer is still written.
    std::size_t in_flight() const;
    std::size_t connections() const;
    traffic moved() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mimosacroft::http

#endif
