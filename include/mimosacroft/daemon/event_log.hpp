// Writes numbered events to the standard error stream, one line each:
// time, severity, number, name and fields as key=value.
#ifndef MIMOSACROFT_DAEMON_EVENT_LOG_HPP
#define MIMOSACROFT_DAEMON_EVENT_LOG_HPP

#include "mimosacroft/core/effects.hpp"

#include <string>

namespace mimosacroft::daemon
{

/// Sets up the logging library; call once at the start of a program.
void start_log();

void write(const core::log_event& event);

/// The text of an event without its time; values with spaces are quoted.
std::string format(const core::log_event& event);

} // namespace mimosacroft::daemon

#endif
