// A peer of the code under test that sends and reads raw bytes on loopback,
// on the same event loop.
#ifndef UNITTESTS_HTTP_LOOP_PEER_HPP
#define UNITTESTS_HTTP_LOOP_PEER_HPP

#include "../support/loopback.hpp"

#include "mimosacroft/http/asio.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <string>
#include <tuple>

namespace http_test
{

using namespace mimosacroft;
using http::tcp;
using http::asio::io_context;

using tests::any_port;
using tests::free_endpoint;
using tests::run_until;

class loop_peer
{
public:
    explicit loop_peer(io_context& io) : socket_(io) {}

    void connect(const tcp::endpoint& to)
    {
        socket_.connect(to);
        start();
    }

    void accept(tcp::acceptor& from)
    {
        from.async_accept(socket_,
                          [this](const http::error_code& ec)
                          {
                              if (ec == http::asio::error::operation_aborted)
                                  return;
                              accepted_ = !ec;
                              if (accepted_)
                                  start();
                          });
    }

    void send(const std::string& bytes)
    {
        http::asio::write(socket_, http::asio::buffer(bytes));
    }

    /// Ends the connection, with a reset if wanted.
    void close(bool reset = false)
    {
        // A peer that is gone already can't be closed again.
        http::error_code ignored;
        if (reset)
            std::ignore = socket_.set_option(
                http::asio::socket_base::linger(true, 0), ignored);
        std::ignore = socket_.close(ignored);
    }

    /// Leaves what comes next in the network.
    void stop_reading() { reading_ = false; }

    bool accepted() const { return accepted_; }
    bool ended() const { return ended_; }
    const std::string& got() const { return got_; }
    void forget() { got_.clear(); }

private:
    // A handler that runs after the peer is gone must not touch it.
    void start()
    {
        socket_.async_read_some(
            http::asio::buffer(buf_),
            [this](const http::error_code& ec, std::size_t n)
            {
                if (ec == http::asio::error::operation_aborted)
                    return;
                got_.append(buf_.data(), n);
                ended_ = static_cast<bool>(ec);
                if (!ended_ && reading_)
                    start();
            });
    }

    tcp::socket socket_;
    std::array<char, 4096> buf_{};
    std::string got_;
    bool accepted_ = false;
    bool reading_ = true;
    bool ended_ = false;
};

} // namespace http_test

#endif
