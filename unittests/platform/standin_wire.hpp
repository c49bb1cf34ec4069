// The peers' side of the platform's formats, for tests: encodes what callers,
// servers and the writers of store objects send to an entry VM, and decodes
// what the VM sends to callers and servers.
#ifndef MIMOSACROFT_UNITTESTS_PLATFORM_STANDIN_WIRE_HPP
#define MIMOSACROFT_UNITTESTS_PLATFORM_STANDIN_WIRE_HPP

#include "mimosacroft/entry/settings.hpp"
#include "mimosacroft/gateway/catalog.hpp"
#include "mimosacroft/gateway/server_pool.hpp"
#include "mimosacroft/http/message.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace mimosacroft::tests
{

/// Encodes a request as a caller sends it.
http::request make_caller_request(const std::string& id,
                                  const std::string& host,
                                  const std::string& path,
                                  base::milliseconds deadline);

/// A response of an entry VM, as a caller decodes it.
struct caller_answer
{
    unsigned status = 0;
    /// Of the shards in a merged response, or of the one server.
    std::vector<std::string> signatures;
    std::size_t missing = 0; ///< shards that the response lacks
    std::string body;

    /// Whether the status guarantees that the request has not run and never
    /// will.
    bool guarantees_not_executed() const;
};
caller_answer decode_caller_answer(const http::response& message);

/// A request of an entry VM, as a server decodes it.
struct received_request
{
    std::string id;
    std::string expected_server;
};
received_request decode_received_request(const http::request& message);

/// Encodes the success, with status 200, of a request that ran.
http::response make_success_reply(const received_request& to,
                                  const std::string& signature,
                                  std::string body);
/// Adds the limit of requests per second that a server states.
void state_limit(http::response& reply, double per_second);
/// Adds that the server leaves.
void state_leaving(http::response& reply);
/// Adds to a refusal that the server wants no request for so long.
void state_pause(http::response& reply, base::seconds pause);
/// Encodes the failure, with status 500, of a request that ran.
http::response make_failure_reply(const received_request& to);
/// Encodes the refusal of a request that has not run and never will. `status`
/// is 503 (unavailable) or 421 (misdirected).
http::response make_not_executed_reply(const received_request& to,
                                       unsigned status);

/// Name of the store object that holds the configuration.
inline constexpr auto configuration_object_name = "main";

/// Contents of store objects, as their writers encode them.
nlohmann::json server_spec(const gateway::server_entry& entry);
nlohmann::json
configuration_spec(std::uint64_t version,
                   const std::vector<gateway::search>& searches,
                   const std::vector<gateway::service_settings>& services);

/// Text of the settings file of an entry VM.
std::string settings_file_text(const entry::settings& settings);

} // namespace mimosacroft::tests

#endif
