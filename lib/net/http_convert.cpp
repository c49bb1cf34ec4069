// Conversions between the HTTP library's messages and ours.
#include "http_convert.hpp"

#include "mimosacroft/base/text.hpp"

#include <algorithm>
#include <cstdlib>

namespace mimosacroft::net
{

base::result<host_port> split_address(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return base::fail(base::error_code::invalid, base::step::connect,
                          address, "address has no port");
    const int port = std::atoi(address.c_str() + colon + 1);
    if (port <= 0 || port > 65535)
        return base::fail(base::error_code::invalid, base::step::connect,
                          address, "port is outside 1 to 65535");
    return host_port{address.substr(0, colon),
                     static_cast<unsigned short>(port)};
}

std::string lower_case(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), base::to_lower);
    return text;
}

wire::http_reply from_library(const cxxtools::http::Reply& reply)
{
    wire::http_reply out;
    out.status = reply.httpReturnCode();
    out.body = reply.body();
    for (auto it = reply.header().begin(); it != reply.header().end(); ++it)
        out.headers[lower_case(it->first)] = it->second;
    return out;
}

void to_library(const wire::http_request& request, cxxtools::http::Request& out)
{
    out.clear();
    out.method(request.method);
    out.url(request.path);
    out.qparams(request.query);
    for (const auto& [name, value] : request.headers)
        out.setHeader(name.c_str(), value.c_str());
    out.body() << request.body;
}

} // namespace mimosacroft::net
