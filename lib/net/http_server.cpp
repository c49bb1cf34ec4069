// The HTTP server, on the one of mimosa_http.
#include "mimosacroft/net/http_server.hpp"

#include "mimosacroft/http/blocking_server.hpp"

#include "http_convert.hpp"

#include <cxxtools/query_params.h>
#include <exception>
#include <utility>

namespace mimosacroft::net
{

using wire::http_reply;
using wire::http_request;

std::string query_parameter(const std::string& query, const std::string& name)
{
    const cxxtools::QueryParams params(query);
    return params.has(name) ? params.param(name) : std::string();
}

namespace
{

http_request from_message(http::request&& message)
{
    http_request out;
    const auto question_mark = message.target.find('?');
    out.method = std::move(message.method);
    out.path = message.target.substr(0, question_mark);
    if (question_mark != std::string::npos)
        out.query = message.target.substr(question_mark + 1);
    for (auto& it : message.headers)
        out.headers[lower_case(it.name)] = std::move(it.value);
    out.body = std::move(message.body);
    return out;
}

// The end of a connection is announced by the server.
http::blocking_server::reply to_reply(http_reply&& reply)
{
    http::blocking_server::reply out;
    out.message.status = reply.status;
    for (auto& [name, value] : reply.headers)
        if (name == "connection")
            out.ends_connection = value == "close";
        else
            out.message.headers.push_back({name, std::move(value)});
    out.message.body = std::move(reply.body);
    return out;
}

http::blocking_server::reply answer(const http_server::handler& on_request,
                                    http::request&& message)
{
    try
    {
        return to_reply(on_request(from_message(std::move(message))));
    }
    catch (const std::exception& ex)
    {
        return to_reply({wire::status_bad_request,
                         {{"content-type", "text/plain"}},
                         ex.what()});
    }
}

std::string refusal_text(unsigned status, std::size_t max_body_bytes)
{
    switch (status)
    {
    case wire::status_too_large:
        return "body is larger than " + std::to_string(max_body_bytes) +
               " bytes";
    case wire::status_unavailable:
        return "callers hold too much memory; the request did not run";
    case wire::status_request_timeout:
        return "the request took too long to arrive; it did not run";
    default:
        return "the request is malformed";
    }
}

http::response refusal(unsigned status, std::size_t max_body_bytes)
{
    return {status,
            {{"content-type", "application/json"}},
            R"({"outcome":"rejected","error":")" +
                refusal_text(status, max_body_bytes) + R"("})"};
}

http::blocking_server_options to_options(const http_server_options& in)
{
    http::blocking_server_options out;
    out.address = in.address + ":" + std::to_string(in.port);
    out.max_threads = in.max_threads;
    out.max_body_bytes = in.max_body_bytes;
    out.max_connections = in.max_connections;
    out.budget_bytes = in.budget_bytes;
    return out;
}

} // namespace

struct http_server::impl
{
    http::blocking_server server;
};

http_server::http_server(const http_server_options& options, handler on_request)
    : impl_(new impl{
          {to_options(options),
           {[fn = std::move(on_request)](http::request&& message)
            { return answer(fn, std::move(message)); },
            [max = options.max_body_bytes](unsigned status)
            { return refusal(status, max); }, options.on_turned_away}}})
{
}

http_server::~http_server() = default;

} // namespace mimosacroft::net
