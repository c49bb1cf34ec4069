// HTTP messages as plain values, without any header of the HTTP library.
#ifndef MIMOSACROFT_WIRE_HTTP_HPP
#define MIMOSACROFT_WIRE_HTTP_HPP

#include <map>
#include <string>

namespace mimosacroft::wire
{

/// Header names are kept in lower case.
using http_headers = std::map<std::string, std::string>;

/// Status codes of HTTP.
inline constexpr unsigned status_ok = 200;
inline constexpr unsigned status_bad_request = 400;
inline constexpr unsigned status_unauthorized = 401;
inline constexpr unsigned status_forbidden = 403;
inline constexpr unsigned status_not_found = 404;
inline constexpr unsigned status_method_not_allowed = 405;
inline constexpr unsigned status_request_timeout = 408;
inline constexpr unsigned status_conflict = 409;
inline constexpr unsigned status_too_large = 413;
inline constexpr unsigned status_internal_error = 500;
inline constexpr unsigned status_unavailable = 503;
inline constexpr unsigned status_gateway_timeout = 504;

struct http_request
{
    std::string method = "GET";
    std::string path;  ///< without the query string
    std::string query; ///< text after '?', not decoded
    http_headers headers;
    std::string body;
};

struct http_reply
{
    unsigned status = 200;
    http_headers headers;
    std::string body;
};

/// The value of a header, empty if absent. `name` in lower case.
inline std::string header_of(const http_headers& headers,
                             const std::string& name)
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

} // namespace mimosacroft::wire

#endif
