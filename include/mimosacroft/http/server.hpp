// An HTTP/1.1 server on one event loop. It answers requests of a connection in
// order, notices callers that leave, and never closes a connection whose
// request it has handed out without an answer. What callers may make it hold is
// bounded over all connections, by a budget and a number of connections; the
// caller that holds most for longest is turned away first.
#ifndef MIMOSACROFT_HTTP_SERVER_HPP
#define MIMOSACROFT_HTTP_SERVER_HPP

#include "mimosacroft/http/asio.hpp"
#include "mimosacroft/http/message.hpp"
#include "mimosacroft/http/server_budget.hpp"

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
    /// From the first to the last byte of a head, and without a byte of a body.
    base::milliseconds header_time{10'000};
    base::milliseconds idle_time{60'000}; ///< a kept connection without use
    std::size_t connections = 4'096;      ///< at once

    /// For a whole request to arrive, and for its answer to be read.
    base::milliseconds transfer_time() const { return header_time + idle_time; }
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
        /// Too many callers wait. The request is to be answered with what there
        /// is, before this returns; else it waits on, and others are turned
        /// away.
        std::function<void(request_number)> on_give_up = [](auto) {};
        /// Makes the answer with which the server itself refuses a request.
        std::function<response(unsigned status)> make_refusal =
            [](unsigned status) { return response{status, {}, {}}; };
    };

    /// Listens at once; throws boost::system::system_error if it can't. The
    /// servers of a process share one budget; without one, this server has the
    /// default for itself.
    server(asio::io_context& io, const tcp::endpoint& at, handlers h,
           server_limits limits = {},
           std::shared_ptr<server_budget> budget = nullptr);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Answers a request. Does nothing if its caller has left.
    void answer(request_number number, const response& reply);
    /// Answers a request with the last answer of its connection.
    void answer_and_close(request_number number, const response& reply);

    /// Holds for requests whose first byte comes from now on.
    void set_limits(const server_limits& limits);
    const server_limits& limits() const;

    /// From now on each answer announces the end of its connection.
    void announce_close();

    /// Takes no new connections, and ends those without a request.
    void close_idle();

    /// Ends connections that have been idle or slow for too long. To be called
    /// a few times a second.
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
