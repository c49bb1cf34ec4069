// The operators' API: resources, fleet status and traces. docs/api.md describes
// it.
#ifndef MIMOSACROFT_DAEMON_OPERATOR_API_HPP
#define MIMOSACROFT_DAEMON_OPERATOR_API_HPP

#include "mimosacroft/daemon/runtime.hpp"
#include "mimosacroft/wire/http.hpp"

#include <string>

namespace mimosacroft::daemon
{

struct operator_options
{
    std::string token_sha256;     ///< of the operators' token
    std::string platform_address; ///< ip:port
};

/// Handles /v1/resources, /v1/resources/KIND and /v1/resources/KIND/NAME.
wire::http_reply handle_resources(runtime& rt, const operator_options& options,
                                  const wire::http_request& request);

/// Handles GET /v1/status: the fleet as this VM sees it. With ?version=N and
/// the operators' token, VMs not known to hold that version are asked for
/// theirs; what they answer shows in the next status.
wire::http_reply handle_status(runtime& rt, const operator_options& options,
                               const wire::http_request& request);

/// Handles GET /v1/traces/ID.
wire::http_reply handle_trace(runtime& rt, const operator_options& options,
                              const wire::http_request& request);

} // namespace mimosacroft::daemon

#endif
