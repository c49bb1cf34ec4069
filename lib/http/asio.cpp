// Boost.Asio as this project uses it.
#include "mimosacroft/http/asio.hpp"

#include "mimosacroft/base/text.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <tuple>

namespace mimosacroft::http
{

namespace
{

// A peer that is gone without a word shows within about three seconds also on a
// connection on which nothing is sent, such as a watch that waits.
constexpr int probe_after_s = 1;
constexpr int probe_every_s = 1;
constexpr int most_probes = 2;
// Connections that the kernel keeps until they are accepted, which is at once
// but while the process is busy.
constexpr int max_backlog = 256;

void set_tcp_option(tcp::socket& socket, int option, int value)
{
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value,
                 sizeof(value));
}

} // namespace

std::optional<tcp::endpoint> endpoint_of(std::string_view address)
{
    if (!base::is_address(address))
        return std::nullopt;
    const auto colon = address.rfind(':');
    error_code ec;
    const auto ip =
        asio::ip::make_address_v4(std::string(address.substr(0, colon)), ec);
    const auto port = base::to_number(address.substr(colon + 1));
    if (ec || !port)
        return std::nullopt;
    return tcp::endpoint(ip, static_cast<unsigned short>(*port));
}

void prepare(tcp::socket& socket, base::milliseconds unconfirmed)
{
    // A socket without these options works, only slower to notice a failure.
    error_code ignored;
    std::ignore = socket.set_option(tcp::no_delay(true), ignored);
    std::ignore = socket.non_blocking(true, ignored);
    std::ignore =
        socket.set_option(asio::socket_base::keep_alive(true), ignored);
    set_tcp_option(socket, TCP_KEEPIDLE, probe_after_s);
    set_tcp_option(socket, TCP_KEEPINTVL, probe_every_s);
    set_tcp_option(socket, TCP_KEEPCNT, most_probes);
    set_tcp_option(socket, TCP_USER_TIMEOUT,
                   static_cast<int>(unconfirmed.count()));
}

void listen(tcp::acceptor& acceptor, const tcp::endpoint& at)
{
    acceptor.open(at.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    // Accepted connections inherit the size. Without it the kernel's own bounds
    // hold, which are larger.
    error_code ignored;
    std::ignore = acceptor.set_option(
        asio::socket_base::receive_buffer_size(receive_buffer_bytes), ignored);
    acceptor.bind(at);
    acceptor.listen(max_backlog);
}

void close(tcp::socket& socket)
{
    error_code ignored;
    std::ignore = socket.close(ignored);
}

void close(tcp::acceptor& acceptor)
{
    error_code ignored;
    std::ignore = acceptor.close(ignored);
}

void close_sending_side(tcp::socket& socket)
{
    error_code ignored;
    std::ignore = socket.shutdown(tcp::socket::shutdown_send, ignored);
}

} // namespace mimosacroft::http
