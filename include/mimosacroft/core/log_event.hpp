// An event for the log, as the core states it.
#ifndef MIMOSACROFT_CORE_LOG_EVENT_HPP
#define MIMOSACROFT_CORE_LOG_EVENT_HPP

#include "mimosacroft/core/events.hpp"

#include <string>
#include <utility>
#include <vector>

namespace mimosacroft::core
{

/// A numbered event for the log.
struct log_event
{
    event_id id;
    std::vector<std::pair<std::string, std::string>> fields;
};

} // namespace mimosacroft::core

#endif
