// One HTTP exchange that blocks the calling thread, for tools and tests.
#ifndef MIMOSACROFT_NET_BLOCKING_HTTP_HPP
#define MIMOSACROFT_NET_BLOCKING_HTTP_HPP

#include "mimosacroft/base/error.hpp"
#include "mimosacroft/base/time.hpp"
#include "mimosacroft/wire/http.hpp"

#include <memory>
#include <string>

namespace mimosacroft::net
{

/// Sends a request to `address` ("ip:port") on a connection of its own.
base::result<wire::http_reply> exchange(const std::string& address,
                                        const wire::http_request& request,
                                        base::milliseconds timeout);

/// Whether something accepts connections at `address`.
bool accepts_connections(const std::string& address,
                         base::milliseconds timeout);

/// A connection that is kept between exchanges. Not for requests that may not
/// be repeated: the library sends one again when the server closed meanwhile.
class kept_connection
{
public:
    explicit kept_connection(std::string address);
    ~kept_connection();
    kept_connection(kept_connection&&) noexcept;

    base::result<wire::http_reply> exchange(const wire::http_request& request,
                                            base::milliseconds timeout);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mimosacroft::net

#endif
