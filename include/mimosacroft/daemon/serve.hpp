// The frame of a small HTTP program: listen, serve, end on SIGTERM or SIGINT.
#ifndef MIMOSACROFT_DAEMON_SERVE_HPP
#define MIMOSACROFT_DAEMON_SERVE_HPP

#include "mimosacroft/net/http_server.hpp"

#include <csignal>
#include <cstdint>
#include <functional>
#include <string>

namespace mimosacroft::daemon
{

/// Parts of a checked "ip:port".
std::uint16_t port_of(const std::string& address);
std::string host_of(const std::string& address);

/// Blocks SIGTERM and SIGINT in this thread and all that it starts from now on.
sigset_t block_stop_signals();

/// Waits for one of the blocked signals and returns its number.
int wait_for_signal(const sigset_t& signals);

/// Serves on `address` until a signal comes; `on_stop` runs before the wait for
/// the running requests. Returns the exit code.
int serve_until_signal(const std::string& program, const std::string& address,
                       const sigset_t& signals,
                       net::http_server::handler on_request,
                       const std::function<void()>& on_stop);

} // namespace mimosacroft::daemon

#endif
