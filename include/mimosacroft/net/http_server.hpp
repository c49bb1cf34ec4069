// An HTTP server. Each request runs the handler on a worker thread, which may
// block for as long as the request takes.
#ifndef MIMOSACROFT_NET_HTTP_SERVER_HPP
#define MIMOSACROFT_NET_HTTP_SERVER_HPP

#include "mimosacroft/wire/http.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mimosacroft::net
{

/// The value of one parameter of a query string, decoded; empty if absent.
std::string query_parameter(const std::string& query, const std::string& name);

struct http_server_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    unsigned max_threads = 200;
    std::size_t max_body_bytes = 1 << 20;
    std::size_t max_connections = 4'096;
    /// That all callers may make the server hold; see http::server_budget.
    std::size_t budget_bytes = std::size_t{256} << 20;
    /// Callers were turned away since the last call, a second ago or more.
    /// Called from a thread of the server.
    std::function<void(std::string_view reason, std::uint64_t count)>
        on_turned_away = [](std::string_view, std::uint64_t) {};
};

class http_server
{
public:
    using handler = std::function<wire::http_reply(const wire::http_request&)>;

    /// Starts to listen. Throws std::runtime_error naming the address when it
    /// is taken.
    http_server(const http_server_options& options, handler on_request);

    /// Stops to listen, waits for the requests that are running, and for a
    /// while until their answers are written.
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mimosacroft::net

#endif
