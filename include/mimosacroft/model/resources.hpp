// The resources that operators declare, and the enumerations that callers see.
#ifndef MIMOSACROFT_MODEL_RESOURCES_HPP
#define MIMOSACROFT_MODEL_RESOURCES_HPP

#include "mimosacroft/base/names.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace mimosacroft::model
{

/// The kinds that operators write. The platform keeps other kinds too (claims,
/// status); those are not declared.
enum class resource_kind
{
    search,
    upstream,
    index,
    rule
};

/// Urgent requests are served before ordinary ones.
enum class priority
{
    urgent,
    ordinary
};

/// Which shards a request of a search goes to.
enum class scope
{
    all, ///< every shard of the epoch
    one  ///< the shard that the request's routing key selects
};

/// How a caller's request ended.
enum class outcome
{
    answered, ///< every shard is included
    partial,  ///< some shards are lacking
    not_run,  ///< provably nothing ran
    unknown,  ///< something may have run, and there is no answer
    rejected  ///< the request is wrong or not allowed; nothing ran
};

/// Why a shard is lacking in an answer.
enum class lack_reason
{
    none,             ///< not lacking
    timeout,          ///< no answer before the deadline
    no_server,        ///< no server of the shard takes work
    unreachable,      ///< no connection to a server
    refused,          ///< the servers refused before they started
    failed,           ///< the servers answered with an error
    wrong_epoch,      ///< the servers hold another epoch
    no_epoch,         ///< the answer stated no epoch
    bad_answer,       ///< the answer could not be read
    leaf_lost,        ///< the VM that asked for the shard went away
    data_centre_lost, ///< the shard's data centre cannot be reached
    overload,         ///< refused early, the queue could not meet the deadline
    canceled          ///< the root gave the shard up
};

struct server
{
    std::string name;    ///< unique in the fleet
    std::string address; ///< ip:port
    bool leaving = false;
};

/// A set of servers in one data centre that hold the same shards.
struct upstream
{
    std::string name;
    std::string data_centre;
    std::vector<server> servers;
    std::uint32_t slots = 2;        ///< requests at once, for each server
    std::uint32_t connections = 25; ///< for each server, from the whole fleet
    std::uint32_t connect_ms = 6;   ///< typical time to open a connection
};

struct shard
{
    std::string name;
    std::vector<std::string> upstreams; ///< in order of preference
};

/// One epoch of an index: the shard map that is valid for it. A change of the
/// data or of the map is a new epoch.
struct index
{
    std::string name;
    std::uint64_t epoch = 0;
    std::vector<shard> shards;
};

struct search
{
    std::string name;
    std::string index;
    model::scope scope = scope::all;
    bool repeatable = true;
    std::uint32_t default_deadline_ms = 300;
    std::uint32_t max_deadline_ms = 2000;
    double least_coverage = 0; ///< share of shards, 0 to 1
};

/// Allows the bearer of a token to call searches.
struct rule
{
    std::string name;
    std::string token_sha256;          ///< 64 lower-case hexadecimal digits
    std::vector<std::string> searches; ///< names, or "*" for all
    model::priority priority = priority::ordinary;
};

using resource = std::variant<search, upstream, index, rule>;

} // namespace mimosacroft::model

namespace mimosacroft::base
{

template <>
struct enum_names<model::resource_kind>
{
    static constexpr std::array<std::string_view, 4> table = {
        "search", "upstream", "index", "rule"};
};

template <>
struct enum_names<model::priority>
{
    static constexpr std::array<std::string_view, 2> table = {"urgent",
                                                              "ordinary"};
};

template <>
struct enum_names<model::scope>
{
    static constexpr std::array<std::string_view, 2> table = {"all", "one"};
};

template <>
struct enum_names<model::outcome>
{
    static constexpr std::array<std::string_view, 5> table = {
        "answered", "partial", "not_run", "unknown", "rejected"};
};

template <>
struct enum_names<model::lack_reason>
{
    static constexpr std::array<std::string_view, 13> table = {
        "none",       "timeout",   "no_server",        "unreachable",
        "refused",    "failed",    "wrong_epoch",      "no_epoch",
        "bad_answer", "leaf_lost", "data_centre_lost", "overload",
        "canceled"};
};

} // namespace mimosacroft::base

#endif
