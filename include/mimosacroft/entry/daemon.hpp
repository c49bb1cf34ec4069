// An entry VM on the platform: joins callers, servers, the store and other VMs
// to the decisions of the gateway, on one event loop.
#ifndef MIMOSACROFT_ENTRY_DAEMON_HPP
#define MIMOSACROFT_ENTRY_DAEMON_HPP

#include "mimosacroft/base/error.hpp"
#include "mimosacroft/entry/settings.hpp"

#include <functional>

namespace mimosacroft::entry
{

/// Reads the settings anew. Those in use hold if they can't be read.
using settings_reader = std::function<base::result<settings>()>;

/// Serves until a signal to stop, then until nothing is in flight. Returns the
/// exit code of the process.
int run(const settings& start, const settings_reader& read_again);

} // namespace mimosacroft::entry

#endif
