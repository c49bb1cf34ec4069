// HTTP exchanges that block the calling thread, on cxxtools.
#include "mimosacroft/net/blocking_http.hpp"

#include "http_convert.hpp"

#include <cxxtools/http/client.h>
#include <cxxtools/ioerror.h>
#include <cxxtools/net/addrinfo.h>
#include <cxxtools/net/tcpsocket.h>
#include <utility>

namespace mimosacroft::net
{

namespace
{

base::result<wire::http_reply> run(cxxtools::http::Client& client,
                                   const std::string& address,
                                   const wire::http_request& request,
                                   base::milliseconds timeout)
{
    const cxxtools::Milliseconds limit(static_cast<double>(timeout.count()));
    try
    {
        client.connect();
    }
    catch (const std::exception& ex)
    {
        return base::fail(base::error_code::unreachable, base::step::connect,
                          address, ex.what());
    }
    try
    {
        cxxtools::http::Request out;
        to_library(request, out);
        client.execute(out, limit, limit);
        client.readBody();
        return from_library(client.reply());
    }
    catch (const cxxtools::IOTimeout&)
    {
        client.close();
        return base::fail(base::error_code::timeout, base::step::wait, address,
                          "no reply within " + std::to_string(timeout.count()) +
                              " ms");
    }
    catch (const std::exception& ex)
    {
        client.close();
        return base::fail(base::error_code::broken, base::step::receive,
                          address, ex.what());
    }
}

} // namespace

struct kept_connection::impl
{
    std::string address;
    cxxtools::http::Client client;
    bool prepared = false; ///< whether the client knows the address
};

kept_connection::kept_connection(std::string address)
    : impl_(std::make_unique<impl>())
{
    impl_->address = std::move(address);
}

kept_connection::~kept_connection() = default;
kept_connection::kept_connection(kept_connection&&) noexcept = default;

base::result<wire::http_reply>
kept_connection::exchange(const wire::http_request& request,
                          base::milliseconds timeout)
{
    const auto target = split_address(impl_->address);
    if (!target)
        return tl::unexpected<base::error>(target.error());
    // The library never frees an address that it replaces.
    if (!std::exchange(impl_->prepared, true))
        impl_->client.prepareConnect(target->host, target->port);
    return run(impl_->client, impl_->address, request, timeout);
}

base::result<wire::http_reply> exchange(const std::string& address,
                                        const wire::http_request& request,
                                        base::milliseconds timeout)
{
    return kept_connection(address).exchange(request, timeout);
}

bool accepts_connections(const std::string& address, base::milliseconds timeout)
{
    const auto target = split_address(address);
    if (!target)
        return false;
    try
    {
        cxxtools::net::TcpSocket socket;
        socket.setTimeout(
            cxxtools::Milliseconds(static_cast<double>(timeout.count())));
        socket.connect(target->host, target->port);
        return true;
    }
    catch (const std::exception&)
    {
        return false;
    }
}

} // namespace mimosacroft::net
