// A TCP proxy on loopback that harms the connections through it.
#ifndef MIMOSACROFT_UNITTESTS_SOAK_PROXY_HPP
#define MIMOSACROFT_UNITTESTS_SOAK_PROXY_HPP

#include "mimosacroft/http/asio.hpp"

#include <functional>
#include <memory>

namespace mimosacroft::tests
{

enum class link_mode
{
    passes,
    delays,     ///< each chunk comes 150 ms late, either way
    resets,     ///< ends all connections, and each new one
    is_silent,  ///< takes everything and passes nothing, either way
    loses_back, ///< passes what is sent, and nothing that comes back
    corrupts,   ///< cuts what comes back in the middle and ends there
    repeats     ///< what comes back comes a second time, a little later
};

class proxy
{
public:
    proxy(http::asio::io_context& io, const http::tcp::endpoint& at,
          const http::tcp::endpoint& target);
    ~proxy();
    proxy(const proxy&) = delete;
    proxy& operator=(const proxy&) = delete;

    void set_mode(link_mode mode);

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mimosacroft::tests

#endif
