// Sends searches over HTTP to a running fleet.
#ifndef MIMOSACROFT_LOAD_HTTP_LOAD_HPP
#define MIMOSACROFT_LOAD_HTTP_LOAD_HPP

#include "mimosacroft/daemon/settings.hpp"

namespace mimosacroft::load
{

/// The settings of a run.
const daemon::program& load_program();

/// Sends the searches and prints the report. Gives the exit code: failure if
/// any answer is wrong.
int run_load(const daemon::settings& s);

} // namespace mimosacroft::load

#endif
