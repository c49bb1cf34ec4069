// The platform's messages from the other side: what callers, servers and the
// store send, in the platform's names.
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

/// A request as a caller sends it.
http::request caller_message(const std::string& id, const std::string& host,
                             const std::string& path,
                             base::milliseconds deadline);

/// An answer as a caller reads it.
struct caller_answer
{
    unsigned status = 0;
    std::vector<std::string> signatures; ///< of the parts, or of the one server
    std::size_t missing = 0;             ///< shards that are left out
    std::string body;

    /// Whether it says that the request has not run and never will.
    bool promises_not_run() const;
};
caller_answer read_answer(const http::response& message);

/// A request as a server reads it.
struct server_question
{
    std::string id;
    std::string expected_server;
};
server_question read_question(const http::request& message);

http::response server_success(const server_question& to,
                              const std::string& signature, std::string body);
/// A failure of a request that ran.
http::response server_failure(const server_question& to);
/// `status` 503 or 421: not run.
http::response server_refusal(const server_question& to, unsigned status);

/// The object of the store that holds the configuration.
inline constexpr auto configuration_name = "main";

/// Objects of the store, as their writers put them.
nlohmann::json server_object(const gateway::server_entry& it);
nlohmann::json
configuration_object(std::uint64_t version,
                     const std::vector<gateway::search>& searches,
                     const std::vector<gateway::service_settings>& services);

/// The settings file of an entry VM.
std::string settings_text(const entry::settings& it);

} // namespace mimosacroft::tests

#endif
