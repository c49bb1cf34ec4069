// Log events of callers' requests: one for each request. Unless the request was
// answered in full and in time, the event lists the sends to servers and their
// outcomes.
#ifndef MIMOSACROFT_GATEWAY_QUERY_EVENTS_HPP
#define MIMOSACROFT_GATEWAY_QUERY_EVENTS_HPP

#include "mimosacroft/core/log_event.hpp"
#include "mimosacroft/gateway/query.hpp"

namespace mimosacroft::gateway
{

/// For a request that was refused before a query was started for it.
core::log_event refusal_event(const caller_request& request,
                              const refused& reply);
/// For a query that was refused after its start.
core::log_event refusal_event(const query& q, const refused& reply,
                              base::instant now);
/// For a scattered query.
core::log_event answer_event(const query& q, const merged& reply,
                             base::instant now);
/// For a query that a single server answered.
core::log_event answer_event(const query& q, const server_reply& reply,
                             base::instant now);
/// For a query whose caller closed its connection before the answer.
core::log_event caller_left_event(const query& q, base::instant now);

} // namespace mimosacroft::gateway

#endif
