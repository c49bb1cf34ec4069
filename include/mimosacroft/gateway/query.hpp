// A caller's request under way, and the messages between the decisions and the
// connections.
#ifndef MIMOSACROFT_GATEWAY_QUERY_HPP
#define MIMOSACROFT_GATEWAY_QUERY_HPP

#include "mimosacroft/base/names.hpp"
#include "mimosacroft/core/log_event.hpp"
#include "mimosacroft/gateway/catalog.hpp"
#include "mimosacroft/gateway/server_pool.hpp"
#include "mimosacroft/http/message.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mimosacroft::gateway
{

/// Names one request of a caller at this VM.
using query_number = std::uint64_t;
/// Names one send of a request to a server.
using exchange_number = std::uint64_t;

/// A caller's request, decoded.
struct caller_request
{
    std::string id; ///< of this attempt of the caller
    std::string host;
    std::optional<base::milliseconds> deadline; ///< from its arrival
    http::request message; ///< as it is passed on, without the fields above
};

using caller_request_ptr = std::shared_ptr<const caller_request>;

/// A server's answer, decoded.
struct server_reply
{
    bool executed = true;     ///< false: the server says that it did no work
    bool misdirected = false; ///< another server answers at the address
    std::string signature;    ///< empty: the server did not sign it
    std::optional<stated_load> load;
    http::response message;

    bool is_success() const
    {
        return message.status >= 200 && message.status < 300;
    }
};

enum class send_failure
{
    not_sent,  ///< no byte of the request left this VM
    lost,      ///< the server may have run it
    malformed, ///< the server may have run it, and answered nonsense
};

/// Why this VM gives a final answer of its own.
enum class refusal
{
    no_configuration, ///< not run; come back
    no_such_search,
    no_server,  ///< not run; come back
    no_time,    ///< not run; the deadline is too short
    overloaded, ///< not run; come back
    failed,     ///< servers failed; it may have run
    timed_out,  ///< no answer in time; it may have run
};

/// A final answer that this VM gives by itself.
struct refused
{
    refusal why = refusal::failed;
    std::optional<base::milliseconds> retry_after;
};

/// One answer for all shards, or for those that a relay was asked for.
struct merged
{
    std::vector<std::string> signatures; ///< of the parts that are in
    /// Between VMs: places of these parts in the search's list of shards.
    std::vector<std::uint32_t> shards;
    std::size_t missing = 0; ///< shards that are left out
    std::string records;
};

/// A VM that was asked to answer in place of another one does not: nothing was
/// run for it.
struct declined
{
};

using answer = std::variant<refused, merged, server_reply, declined>;

/// Shards of a request that another VM took, to be asked by this one.
struct relayed_request
{
    std::vector<std::uint32_t> shards; ///< places in the search's list
    caller_request request;            ///< its deadline is what is left here
    std::uint64_t version = 0;         ///< of the configuration to be used
    base::milliseconds answer_within{0};
};

/// Asks another VM for some shards of a request.
struct relay_effect
{
    std::vector<std::uint32_t> shards;
    exchange_number number = 0;
    std::string address; ///< of the VM, ip:port
    std::string vm;
    std::uint64_t version = 0;
    base::milliseconds answer_within{0};
    base::milliseconds time_left{0};
    caller_request_ptr request;
};

struct send_effect
{
    exchange_number number = 0;
    std::string address; ///< ip:port
    std::string server_id;
    base::milliseconds time_left{0};
    bool may_repeat = false;
    caller_request_ptr request;
};

struct answer_effect
{
    query_number number = 0;
    answer reply;
    search_ptr search;      ///< null if the request belongs to none
    base::duration took{0}; ///< since the request came
};

/// What is to be done after a call.
struct effects
{
    std::vector<send_effect> sends;
    std::vector<relay_effect> relays;
    std::vector<exchange_number> drops; ///< end these and their connections
    std::vector<answer_effect> answers;
    std::vector<core::log_event> events;
};

/// Whether `in` of `all` shards are at least the share `least` of them.
bool covers(std::size_t in, std::size_t all, double least);

enum class part_state
{
    waiting, ///< no exchange under way; in the queue of its service
    open,    ///< one exchange or more under way
    relayed, ///< another VM was asked for it
    done,
    failed ///< nothing more is tried
};

/// What came of one send, for the log.
struct send_record
{
    exchange_number number = 0;
    std::string server_id;
    base::milliseconds sent{0}; ///< after the query's start
    std::string outcome;        ///< empty while under way
    base::milliseconds ended{0};
};

/// One service's part of a request. A request that is not scattered has one.
struct part
{
    std::string service;
    std::uint32_t shard = 0; ///< place in the search's list of shards
    part_state state = part_state::waiting;
    /// Data centre of the VM that was asked for it; empty if none was. Then
    /// that VM and the one that took the request keep to the same servers.
    std::string relay_data_centre;
    std::vector<server_number> tried; ///< servers that it was sent to
    std::size_t arrivals = 0;         ///< sends that reached a server, or may
    std::vector<exchange_number> under_way;
    base::instant hedge_at = base::never;
    bool may_have_run = false;
    server_reply reply; ///< the part's answer, or the last failure
    bool has_reply = false;
    std::vector<send_record> sends;
};

struct query
{
    query_number number = 0;
    caller_request_ptr request;
    search_ptr search;
    base::instant started{};
    base::instant give_up{};   ///< a final answer is due
    base::instant answer_by{}; ///< an answer after this is late
    std::vector<part> parts;
    std::size_t done = 0;
    std::size_t failed = 0;
    bool ever_sent = false;
    bool is_relayed = false;   ///< another VM took it
    exchange_number relay = 0; ///< with a VM that was asked; 0: none
    std::string relay_records; ///< merged records that it gave
    std::string relay_outcome; ///< for the log; empty if none was asked
    base::instant relay_until =
        base::never;                 ///< then its shards are asked from here
    std::uint64_t version = 0;       ///< of the configuration
    base::instant due = base::never; ///< as it stands in the timer list

    /// The share of its shards that an answer needs.
    double least_coverage() const;
    /// Whether enough shards are in for an answer.
    bool has_least() const;
    /// Whether enough shards can still come in.
    bool can_reach_least() const;
};

} // namespace mimosacroft::gateway

template <>
struct mimosacroft::base::enum_names<mimosacroft::gateway::refusal>
{
    static constexpr std::array<std::string_view, 7> table = {
        "no_configuration", "no_such_search", "no_server", "no_time",
        "overloaded",       "failed",         "timed_out"};
};

template <>
struct mimosacroft::base::enum_names<mimosacroft::gateway::send_failure>
{
    static constexpr std::array<std::string_view, 3> table = {
        "not_sent", "lost", "malformed"};
};

#endif
