// The callers' API: searches over HTTP with JSON. docs/api.md describes it.
#ifndef MIMOSACROFT_DAEMON_CALLER_API_HPP
#define MIMOSACROFT_DAEMON_CALLER_API_HPP

#include "mimosacroft/base/error.hpp"
#include "mimosacroft/daemon/runtime.hpp"
#include "mimosacroft/query/search.hpp"
#include "mimosacroft/wire/http.hpp"

#include <string>

namespace mimosacroft::daemon
{

/// Handles POST /v1/searches/NAME.
wire::http_reply handle_search(runtime& rt, const wire::http_request& request);

/// Reads the body of a search. The error's text names the field.
base::result<query::search_request>
parse_search_request(const std::string& body);

/// The JSON of an answer.
std::string to_json(const query::search_answer& answer);

/// The HTTP status of an answer.
unsigned status_of(const query::search_answer& answer);

/// The bearer token of a request; empty if there is none.
std::string bearer_token(const wire::http_request& request);

/// A refusal with an outcome of rejected and a reason.
wire::http_reply refusal(unsigned status, const std::string& why);

} // namespace mimosacroft::daemon

#endif
