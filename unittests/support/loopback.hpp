// Addresses of loopback and an event loop that runs until something holds, for
// tests on sockets.
#ifndef MIMOSACROFT_UNITTESTS_SUPPORT_LOOPBACK_HPP
#define MIMOSACROFT_UNITTESTS_SUPPORT_LOOPBACK_HPP

#include "mimosacroft/base/clock.hpp"
#include "mimosacroft/http/asio.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <unistd.h>

namespace mimosacroft::tests
{

/// Far longer than anything in a test takes; one that reaches it has failed.
inline constexpr base::seconds patience{10};

inline const http::tcp::endpoint any_port{
    http::asio::ip::address_v4::loopback(), 0};

/// A free port of loopback.
inline http::tcp::endpoint free_endpoint(http::asio::io_context& io)
{
    return http::tcp::acceptor(io, any_port).local_endpoint();
}

/// Endpoints on an address of loopback that only this process and this number
/// use: no port there is taken by the near end of somebody's connection.
class private_endpoints
{
public:
    explicit private_endpoints(std::uint16_t number)
    {
        constexpr unsigned groups = 250;
        const auto process = static_cast<unsigned>(::getpid());
        address_ = http::asio::ip::address_v4(
            {127, static_cast<unsigned char>(1 + process % groups),
             static_cast<unsigned char>(number >> 8U),
             static_cast<unsigned char>(number & 255U)});
    }

    http::tcp::endpoint next() { return {address_, ++last_port_}; }

private:
    http::asio::ip::address_v4 address_;
    std::uint16_t last_port_ = 10'000;
};

inline std::string text_of(const http::tcp::endpoint& it)
{
    return it.address().to_string() + ":" + std::to_string(it.port());
}

/// Runs the loop until something holds; false if it never does. `step` is done
/// before each turn.
inline bool run_until(
    http::asio::io_context& io, const std::function<bool()>& holds,
    const std::function<void(base::instant)>& step = [](base::instant) {})
{
    const auto due = base::now() + patience;
    while (!holds() && base::now() < due)
    {
        step(base::now());
        io.restart();
        io.run_for(base::milliseconds(2));
    }
    return holds();
}

} // namespace mimosacroft::tests

#endif
