// The log lines about callers' requests: one for each request, which names what
// was decided for it when the outcome is not a plain success.
#ifndef MIMOSACROFT_GATEWAY_QUERY_EVENTS_HPP
#define MIMOSACROFT_GATEWAY_QUERY_EVENTS_HPP

#include "mimosacroft/core/log_event.hpp"
#include "mimosacroft/gateway/query.hpp"

namespace mimosacroft::gateway
{

/// A request that was refused before it was taken.
core::log_event refusal_event(const caller_request& request,
                              const refused& reply);
core::log_event refusal_event(const query& q, const refused& reply,
                              base::instant now);
core::log_event answer_event(const query& q, const merged& reply,
                             base::instant now);
core::log_event answer_event(const query& q, const server_reply& reply,
                             base::instant now);
core::log_event leave_event(const query& q, base::instant now);

} // namespace mimosacroft::gateway

#endif
