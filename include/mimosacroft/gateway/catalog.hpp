// The searches that the operators offer: which requests belong to which search,
// which services answer it, and what may be done for it. One catalog is one
// version of the configuration; it never changes once it is in use.
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
#include <vector>

namespace mimosacroft::gateway
{

/// Whether a request may run more than once.
enum class repeatability
{
    idempotent,
    at_most_once
};

/// A service and its part of a search's requests; weights are relative.
struct weighted_service
{
    std::string service;
    double weight = 1;
};

/// A search. Either `services` or `shards` is filled: the request goes to one
/// of the services by weight, or to all shards.
struct search
{
    std::string name;
    std::string host;        ///< lower case, without a port
    std::string path_prefix; ///< begins and ends with a slash
    repeatability repeats = repeatability::at_most_once;
    /// Most servers that one request may be sent to, for each shard.
    std::size_t attempts = 1;
    base::milliseconds timeout{30'000}; ///< a caller waits no longer
    base::milliseconds objective{500};  ///< wanted latency
    int rank = 0;                       ///< 0 is the most urgent
    std::vector<weighted_service> services;
    std::vector<std::string> shards;
    std::size_t most_records = 0; ///< records of a merged answer
    double least_coverage = 0;    ///< share of shards that an answer needs

    bool is_scattered() const { return !shards.empty(); }
    bool may_repeat() const { return repeats == repeatability::idempotent; }
};

using search_ptr = std::shared_ptr<const search>;

struct service_settings
{
    std::string name;
    std::size_t most_connections = 0; ///< of each server, for all VMs together
};

/// What callers may send and for how long.
struct caller_limits
{
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{1024} * 1024;
    base::milliseconds header_time{10'000};
    base::milliseconds idle_time{60'000};
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

    /// The search with the longest prefix that begins the path, among those of
    /// the host; null if there is none. `host` may have a port.
    search_ptr match(std::string_view host, std::string_view path) const;

    /// Null if the service has no settings.
    const service_settings* find_service(const std::string& name) const;

private:
    std::uint64_t version_ = 0;
    std::unordered_map<std::string, search_ptr> searches_; ///< by host + prefix
    std::unordered_map<std::string, service_settings> services_;
    caller_limits limits_;
};

using catalog_ptr = std::shared_ptr<const catalog>;

/// Distributes the requests of searches over their services by weight, with
/// the least deviation at any moment.
class splitter
{
public:
    /// The service for the next request; null if the search names none.
    const std::string* choose(const search& it);

private:
    /// Smooth weighted round robin: what each service is owed.
    std::unordered_map<std::string, std::map<std::string, double>> owed_;
};

} // namespace mimosacroft::gateway

#endif
