// Boost.Asio as this project uses it.
#include "mimosacroft/http/asio.hpp"

#include "mimosacroft/base/text.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>

namespace mimosacroft::http
{

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
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    const auto ms = static_cast<unsigned>(unconfirmed.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms,
                 sizeof(ms));
}

} // namespace mimosacroft::http
