// The frame of a small HTTP program.
#include "mimosacroft/daemon/serve.hpp"

#include <cstdio>
#include <cstdlib>
#include <exception>

namespace mimosacroft::daemon
{

std::uint16_t port_of(const std::string& address)
{
    return static_cast<std::uint16_t>(
        std::atoi(address.c_str() + address.rfind(':') + 1));
}

std::string host_of(const std::string& address)
{
    return address.substr(0, address.rfind(':'));
}

sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int wait_for_signal(const sigset_t& signals)
{
    int number = 0;
    sigwait(&signals, &number);
    return number;
}

int serve_until_signal(const std::string& program, const std::string& address,
                       const sigset_t& signals,
                       net::http_server::handler on_request,
                       const std::function<void()>& on_stop)
{
    try
    {
        net::http_server_options options;
        options.address = host_of(address);
        options.port = port_of(address);
        const net::http_server server(options, std::move(on_request));
        wait_for_signal(signals);
        on_stop();
    }
    catch (const std::exception& ex)
    {
        std::fprintf(stderr, "%s: %s\n", program.c_str(), ex.what());
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}

} // namespace mimosacroft::daemon
