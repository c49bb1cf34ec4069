// An HTTP server whose handler may block: each request runs on a thread of its
// own. The connections are those of http::server, with its limits.
#ifndef MIMOSACROFT_HTTP_BLOCKING_SERVER_HPP
#define MIMOSACROFT_HTTP_BLOCKING_SERVER_HPP

#include "mimosacroft/http/message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mimosacroft::http
{

struct blocking_server_options
{
    std::string address; ///< ip:port
    unsigned max_threads = 200;
    std::size_t max_body_bytes = std::size_t{1} << 20;
    std::size_t max_connections = 4'096;
    std::size_t budget_bytes = std::size_t{256} << 20; ///< of server_budget
};

class blocking_server
{
public:
    /// What a handler answers.
    struct reply
    {
        response message;
        bool ends_connection = false;
    };

    struct handlers
    {
        /// Runs on a worker thread.
        std::function<reply(request&&)> on_request;
        /// Makes the answer with which the server itself refuses a request.
        std::function<response(unsigned status)> make_refusal;
        /// Callers were turned away since the last call, which is a second ago
        /// or more. Runs on the server's own thread.
        std::function<void(std::string_view reason, std::uint64_t count)>
            on_turned_away;
    };

    /// Starts to listen. Throws std::runtime_error if the address is invalid or
    /// taken.
    blocking_server(const blocking_server_options& options, handlers h);

    /// Stops to listen and waits for the requests that are running, and for a
    /// while until their answers are written.
    ~blocking_server();
    blocking_server(const blocking_server&) = delete;
    blocking_server& operator=(const blocking_server&) = delete;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mimosacroft::http

#endif
