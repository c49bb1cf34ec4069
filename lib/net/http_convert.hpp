// Conversions between the HTTP library's messages and ours, for the adapters in
// this folder.
#ifndef MIMOSACROFT_LIB_NET_HTTP_CONVERT_HPP
#define MIMOSACROFT_LIB_NET_HTTP_CONVERT_HPP

#include "mimosacroft/base/error.hpp"
#include "mimosacroft/wire/http.hpp"

#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <string>

namespace mimosacroft::net
{

struct host_port
{
    std::string host;
    unsigned short port = 0;
};

base::result<host_port> split_address(const std::string& address);

std::string lower_case(std::string text);

wire::http_reply from_library(const cxxtools::http::Reply& reply);

void to_library(const wire::http_request& request,
                cxxtools::http::Request& out);

} // namespace mimosacroft::net

#endif
