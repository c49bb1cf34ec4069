// A server for the soak: it checks that a request is meant for it, works, and
// signs what it answers, or misbehaves as told.
#ifndef MIMOSACROFT_UNITTESTS_SOAK_STANDIN_SERVER_HPP
#define MIMOSACROFT_UNITTESTS_SOAK_STANDIN_SERVER_HPP

#include "ledger.hpp"
#include "proxy.hpp"

#include "mimosacroft/http/server.hpp"

#include <string>

namespace mimosacroft::tests
{

enum class server_mode
{
    works,
    is_slow,
    is_dark, ///< runs requests and never answers
    fails,   ///< runs requests and answers 500
    refuses, ///< runs nothing, says so, and wants nothing for soak_pause
    sheds    ///< runs every other request, and says so of the others
};

class standin_server
{
public:
    /// `link` is where the VMs reach it, through a proxy.
    standin_server(http::asio::io_context& io, ledger& seen,
                   gateway::server_entry entry, const http::tcp::endpoint& at,
                   const http::tcp::endpoint& link);

    /// As the store lists it.
    const gateway::server_entry& entry() const { return entry_; }
    proxy& link() { return link_; }
    void set_mode(server_mode mode) { mode_ = mode; }
    /// While it leaves, its answers say so as well.
    void set_leaving(bool leaving);
    /// The requests per second that its answers state as its limit; none: 0.
    void set_limit(double per_second) { limit_ = per_second; }
    /// Another server takes its address; gives the id that it had.
    std::string replace();

private:
    void on_request(http::request_number number, const http::request& message);
    void answer(http::request_number number, http::response reply);
    void finish(http::request_number number, const received_request& question);
    /// Whether the next request is rejected.
    bool rejects_next();

    http::asio::io_context& io_;
    ledger& seen_;
    gateway::server_entry entry_;
    server_mode mode_ = server_mode::works;
    int replaced_ = 0;
    double limit_ = 0;
    std::size_t shed_requests_ = 0; ///< taken and rejected ones while it sheds
    http::server server_;
    proxy link_;
};

} // namespace mimosacroft::tests

#endif
