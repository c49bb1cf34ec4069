// What this VM is doing: in plain sentences for anybody, and as JSON. Only on
// the loop's thread.
#ifndef MIMOSACROFT_DAEMON_STATUS_PAGE_HPP
#define MIMOSACROFT_DAEMON_STATUS_PAGE_HPP

#include "mimosacroft/daemon/runtime.hpp"

#include <nlohmann/json.hpp>
#include <string>

namespace mimosacroft::daemon
{

std::string status_text(const runtime& rt);
nlohmann::json status_json(const runtime& rt);

} // namespace mimosacroft::daemon

#endif
