// The searches that the operators have configured: which requests belong to a
// search, which services answer it, and its limits on retries, time and result
// size. A catalog holds one version of the configuration and is immutable once
// it is in use.
#ifndef MIMOSACROFT_GATEWAY_CATALOG_HPP
#define MIMOSACROFT_GATEWAY_CATALOG_HPP

#include "mimosacroft/base/names.hpp"
#include "mimosacroft/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace mimosacroft::gateway
{

/// Whether a request may be executed more than once.
enum class execution_semantics
{
    idempotent,
    at_most_once
};

/// A service and its share of a search's requests. Weights are relative to the
/// other services of the search.
struct weighted_service
{
    std::string service;
    double weight = 1;
};

/// A search. Its requests are either routed to one of `services` by weight, or
/// scattered to all `shards`; the other list is empty.
struct search
{
    std::string name;
    std::string host;        ///< lower case, without a port
    std::string path_prefix; ///< begins and ends with a slash
    execution_semantics semantics = execution_semantics::at_most_once;
    /// Maximum number of servers that one request may be sent to, per shard.
    std::size_t max_attempts = 1;
    base::milliseconds timeout{30'000};        ///< maximum time a caller waits
    base::milliseconds latency_objective{500}; ///< target latency
    int priority = 0;                          ///< 0 is the most urgent
    std::vector<weighted_service> services;
    std::vector<std::string> shards;
    std::size_t max_records = 0; ///< in a merged answer
    double min_coverage = 0;     ///< required share of shards, 0 to 1

    bool is_scattered() const { return !shards.empty(); }
    bool is_idempotent() const
    {
        return semantics == execution_semantics::idempotent;
    }
};

using search_ptr = std::shared_ptr<const search>;

struct service_settings
{
    std::string name;
    std::size_t max_connections = 0; ///< per server, for all VMs together
};

/// Limits on callers' connections: request sizes and timeouts.
struct caller_limits
{
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{1024} * 1024;
    base::milliseconds header_timeout{10'000};
    base::milliseconds idle_timeout{60'000};
};

/// One version of the configuration.
class catalog
{
public:
    catalog() = default;
    catalog(std::uint64_t version, std::vector<search> searches,
            std::vector<service_settings> services, caller_limits limits);

    std::uint64_t version() const { return version_; }
    const caller_limits& limits() const { return limits_; }
    std::size_t size() const { return searches_.size(); }

    /// Returns the search of this host with the longest path prefix that
    /// matches `path`, or null if none matches. `host` may include a port.
    search_ptr match(std::string_view host, std::string_view path) const;

    /// Returns null if the service has no settings.
    const service_settings* find_service(const std::string& name) const;

    /// Whether a search has this name.
    bool has_search(const std::string& name) const
    {
        return names_.contains(name);
    }

private:
    std::uint64_t version_ = 0;
    std::unordered_map<std::string, search_ptr> searches_; ///< by host + prefix
    std::unordered_map<std::string, service_settings> services_;
    std::unordered_set<std::string> names_; ///< of searches_
    caller_limits limits_;
};

using catalog_ptr = std::shared_ptr<const catalog>;

/// Distributes the requests of each search over its services by weight, using
/// smooth weighted round robin, so that the shares are close to the weights at
/// any moment.
class traffic_splitter
{
public:
    /// Returns the service for the next request; null if the search has none.
    const std::string* choose(const search& it);

private:
    /// Current credit of each service, by search name and service name.
    std::unordered_map<std::string, std::map<std::string, double>> credits_;
};

} // namespace mimosacroft::gateway

#endif
