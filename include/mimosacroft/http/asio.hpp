// Boost.Asio as this project uses it: TCP on one thread.
#ifndef MIMOSACROFT_HTTP_ASIO_HPP
#define MIMOSACROFT_HTTP_ASIO_HPP

// Asio 1.74 uses std::exchange without including its header.
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mimosacroft/base/time.hpp"

#include <optional>
#include <string_view>

namespace mimosacroft::http
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// The endpoint of "ip:port"; nothing if the text is something else.
std::optional<tcp::endpoint> endpoint_of(std::string_view address);

/// Prepares a socket for this project's exchanges: no delay of small writes,
/// never blocking, and broken off when sent bytes stay unconfirmed for
/// `unconfirmed`, which is how a silent peer shows.
void prepare(tcp::socket& socket, base::milliseconds unconfirmed);

/// Bytes that the kernel takes for a connection that is not read from. It
/// counts about twice as much for its own needs.
inline constexpr int receive_buffer_bytes = 16 * 1024;

/// Listens at an address, with bounds on what the kernel receives for callers:
/// the connections that wait to be accepted, and receive_buffer_bytes on each.
/// Throws boost::system::system_error if the address can't be listened on.
void listen(tcp::acceptor& acceptor, const tcp::endpoint& at);

/// Ends a connection. One that is gone already needs no end.
void close(tcp::socket& socket);
/// Takes no more connections.
void close(tcp::acceptor& acceptor);
/// Ends the sending side only: what was written still arrives.
void close_sending_side(tcp::socket& socket);

} // namespace mimosacroft::http

#endif
