// The daemon of an entry VM on the platform. It runs one event loop, which
// connects callers, upstream servers, the store and the other VMs to the
// gateway. The gateway makes the decisions and does no input or output itself.
#ifndef MIMOSACROFT_ENTRY_DAEMON_HPP
#define MIMOSACROFT_ENTRY_DAEMON_HPP

#include "mimosacroft/entry/settings.hpp"

#include <functional>
#include <string>

namespace mimosacroft::entry
{

/// Reads the settings again. Returns false, and leaves `out` unchanged, if they
/// can't be read.
using settings_reader = std::function<bool(settings& out)>;

/// Serves until SIGTERM or SIGINT, then drains the requests in flight for at
/// most the stop grace of the settings. Calls `read_settings` periodically and
/// on SIGHUP, and applies what can change at run time. Returns the exit code of
/// the process.
/// Throws std::runtime_error if an address to listen on is invalid, and
/// boost::system::system_error if the caller, readiness or peer address can't
/// be listened on.
int run(const settings& initial, const settings_reader& read_settings);

} // namespace mimosacroft::entry

#endif
