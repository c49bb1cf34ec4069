// The messages between the processes of the system, packed with msgpack as
// arrays. A frame on the wire holds one message: [type, fields...].
#ifndef MIMOSACROFT_WIRE_MESSAGES_HPP
#define MIMOSACROFT_WIRE_MESSAGES_HPP

#include "mimosacroft/base/error.hpp"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace mimosacroft::wire
{

/// Peers with another version refuse each other at the handshake.
inline constexpr std::uint32_t protocol_version = 2;

/// First message on a link, both ways.
struct hello
{
    std::uint32_t version = protocol_version;
    std::string vm;                ///< id of the sender
    std::uint64_t incarnation = 0; ///< of the sender's process
    std::string nonce;             ///< challenge for the other side
    MSGPACK_DEFINE_ARRAY(version, vm, incarnation, nonce)
};

/// Second message on a link, both ways: the HMAC over the challenge.
struct proof
{
    std::string mac;
    MSGPACK_DEFINE_ARRAY(mac)
};

/// One hop of a query, for its trace. Times in microseconds; `start_us` counts
/// from the moment the reporting VM took the work.
struct span
{
    std::uint64_t id = 0;
    std::uint64_t parent = 0;
    std::string name;
    std::string vm;
    std::string peer;
    std::int64_t start_us = 0;
    std::int64_t length_us = 0;
    std::string note;
    MSGPACK_DEFINE_ARRAY(id, parent, name, vm, peer, start_us, length_us, note)
};

/// Identifies a query in the fleet: the root's process and its own counter.
struct query_ref
{
    std::uint64_t root_incarnation = 0;
    std::uint64_t query = 0;
    MSGPACK_DEFINE_ARRAY(root_incarnation, query)
    friend bool operator==(const query_ref& a, const query_ref& b)
    {
        return a.root_incarnation == b.root_incarnation && a.query == b.query;
    }
    friend bool operator<(const query_ref& a, const query_ref& b)
    {
        return std::tie(a.root_incarnation, a.query) <
               std::tie(b.root_incarnation, b.query);
    }
};

/// One shard of a query: its position in the epoch's list, its name, and the
/// upstream that shall answer for it.
struct shard_task
{
    std::uint32_t shard = 0;
    std::string name;
    std::string upstream;
    MSGPACK_DEFINE_ARRAY(shard, name, upstream)
};

/// Work for one VM: the shards of a query that it shall ask for. A VM that owns
/// an upstream asks its servers; otherwise it forwards once more to an owner in
/// its data centre and merges the answers.
struct forward
{
    query_ref query;
    std::uint32_t attempt = 0; ///< unique for its sender's process
    std::string search;
    std::uint64_t epoch = 0;     ///< pinned at admission
    std::uint32_t budget_ms = 0; ///< time left for the receiver to answer
    std::uint8_t priority = 0;   ///< model::priority
    bool repeatable = true;
    std::uint8_t hops_left = 0;
    std::string trace; ///< W3C trace id, 32 hexadecimal digits
    std::uint64_t parent_span = 0;
    std::string body; ///< the caller's request, opaque
    std::vector<shard_task> shards;
    MSGPACK_DEFINE_ARRAY(query, attempt, search, epoch, budget_ms, priority,
                         repeatable, hops_left, trace, parent_span, body,
                         shards)
};

/// The answer for one shard. `lack` is model::lack_reason when not included.
struct shard_report
{
    std::uint32_t shard = 0;
    bool included = false;
    std::uint8_t lack = 0;
    bool maybe_run = false; ///< false only if the shard provably did not run
    std::uint32_t extra_attempts = 0; ///< hedges and retries spent on it
    std::string payload;
    std::uint32_t queue_us = 0; ///< wait at the leaf before the first attempt
    MSGPACK_DEFINE_ARRAY(shard, included, lack, maybe_run, extra_attempts,
                         payload, queue_us)
};

/// Answers a forward for some of its shards. A forward is closed once each of
/// its shards has been reported, in one message or in several.
struct forward_answer
{
    query_ref query;
    std::uint32_t attempt = 0;
    std::uint64_t epoch = 0;
    std::vector<shard_report> shards;
    std::vector<span> spans;
    MSGPACK_DEFINE_ARRAY(query, attempt, epoch, shards, spans)
};

/// The root no longer needs the answer to a forward.
struct cancel
{
    query_ref query;
    std::uint32_t attempt = 0;
    MSGPACK_DEFINE_ARRAY(query, attempt)
};

/// One object of the configuration with the platform's version. A deleted
/// object stays as a tombstone: no body, `deleted` set.
struct config_entry
{
    std::string kind;
    std::string name;
    std::uint64_t version = 0;
    bool deleted = false;
    std::string body; ///< JSON
    MSGPACK_DEFINE_ARRAY(kind, name, version, deleted, body)
};

/// Objects that the receiver may lack: all that changed after `from` and up to
/// `through`. A receiver that does not hold everything up to `from` takes the
/// objects but still lacks what lies before them.
struct config_push
{
    std::uint64_t from = 0;
    std::uint64_t through = 0;
    std::vector<config_entry> entries;
    MSGPACK_DEFINE_ARRAY(from, through, entries)
};

/// A server that takes no new work. Bars only this incarnation of it.
struct leaving_mark
{
    std::string server;
    std::string incarnation;
    std::uint32_t age_s = 0; ///< since it was first marked
    MSGPACK_DEFINE_ARRAY(server, incarnation, age_s)
};

/// Servers that take no new work, sent as soon as a VM learns of them.
struct leaving_push
{
    std::vector<leaving_mark> marks;
    MSGPACK_DEFINE_ARRAY(marks)
};

/// What a VM knows about one member, for gossip.
struct member_row
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;      ///< grows while the process lives
    std::uint64_t config_version = 0; ///< in force at this VM
    std::uint32_t age_s = 0;          ///< since the member said so itself
    MSGPACK_DEFINE_ARRAY(vm, incarnation, heartbeat, config_version, age_s)
};

/// Periodic exchange between peers.
struct digest
{
    std::uint64_t sequence = 0; ///< answered by an ack with the same number
    bool ack = false;
    std::string address; ///< of the sender, while it may be in no list
    std::uint64_t heartbeat = 0;
    std::uint64_t config_version = 0;
    std::uint64_t fingerprint = 0; ///< of the objects up to config_version
    std::uint64_t view_version = 0;
    std::vector<member_row> members;
    std::vector<std::string> doubts; ///< members the sender cannot reach
    std::uint64_t marks = 0;         ///< fingerprint of all leaving marks
    std::vector<leaving_mark> leaving;
    MSGPACK_DEFINE_ARRAY(sequence, ack, address, heartbeat, config_version,
                         fingerprint, view_version, members, doubts, marks,
                         leaving)
};

/// One VM of the platform's list.
struct view_entry
{
    std::string vm;
    std::string data_centre;
    std::string peer_address; ///< ip:port
    bool leaving = false;
    MSGPACK_DEFINE_ARRAY(vm, data_centre, peer_address, leaving)
    friend bool operator==(const view_entry& a, const view_entry& b)
    {
        return std::tie(a.vm, a.data_centre, a.peer_address, a.leaving) ==
               std::tie(b.vm, b.data_centre, b.peer_address, b.leaving);
    }
};

/// The platform's list of entry VMs at a version, passed on between peers:
/// whole, or as what changed since the version `base`.
struct view_push
{
    std::uint64_t version = 0;
    std::vector<view_entry> entries; ///< all, or new and changed ones
    std::uint64_t base = 0;          ///< 0 for a whole list
    std::vector<std::string> removed;
    /// Of the whole list. Two lists may have one version when the platform's
    /// list came back older; changes to one make no sense for the other.
    std::uint64_t fingerprint = 0;
    MSGPACK_DEFINE_ARRAY(version, entries, base, removed, fingerprint)
};

/// The sender's process stops: it finishes what it has and takes no new
/// forward. Bars only this incarnation of it.
struct drain_notice
{
    std::uint64_t incarnation = 0;
    MSGPACK_DEFINE_ARRAY(incarnation)
};

/// Asks a VM of the same data centre whether the sender's view is the newest.
struct view_ask
{
    std::uint64_t sequence = 0; ///< repeated in the answer
    std::uint64_t view_version = 0;
    bool hold = false; ///< answer once there is a newer confirmation
    MSGPACK_DEFINE_ARRAY(sequence, view_version, hold)
};

struct view_answer
{
    std::uint64_t sequence = 0;
    std::uint64_t view_version = 0;
    bool counts = false;    ///< the sender may be counted in a quorum
    bool confirmed = false; ///< the next two fields hold
    /// When the view was known to be the newest, after the ask came (negative:
    /// before).
    std::int64_t offset_us = 0;
    bool settled = false; ///< no older view can be in use in the data centre
    MSGPACK_DEFINE_ARRAY(sequence, view_version, counts, confirmed, offset_us,
                         settled)
};

using message = std::variant<hello, proof, forward, forward_answer, cancel,
                             config_push, digest, view_push, leaving_push,
                             view_ask, view_answer, drain_notice>;

/// Packs a message without its frame header.
std::string pack(const message& msg);

/// Unpacks what pack() made. Anything else gives an error, never an exception.
base::result<message> unpack(std::string_view bytes);

} // namespace mimosacroft::wire

#endif
