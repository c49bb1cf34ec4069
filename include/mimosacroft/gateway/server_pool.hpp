// The servers that this VM knows, its observations of each, and the latency
// estimate by which the servers of a service are compared.
#ifndef MIMOSACROFT_GATEWAY_SERVER_POOL_HPP
#define MIMOSACROFT_GATEWAY_SERVER_POOL_HPP

#include "mimosacroft/base/names.hpp"
#include "mimosacroft/base/time.hpp"
#include "mimosacroft/gateway/permit_bucket.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mimosacroft::gateway
{

/// The entry of a server in the store, as the server wrote it.
struct server_entry
{
    std::string id;
    std::string service;
    std::string address; ///< ip:port
    std::string data_centre;
    std::size_t slots = 1; ///< requests that it processes concurrently
    bool leaving = false;
    base::milliseconds warmup_left{0}; ///< remaining time until it is warm
    /// Start time of this incarnation, as reported by the server. Tells
    /// incarnations with the same id apart.
    std::int64_t started_at = 0;
};

/// Load that a server reported with an answer, in requests.
struct reported_load
{
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 0;
};

/// The limit that a server in need states in its answers.
struct stated_limit
{
    double per_second = 0;   ///< requests that it takes from all VMs together
    base::instant since{};   ///< arrival of the first answer with a limit
    base::instant last_at{}; ///< arrival of the last answer with a limit
    std::uint64_t sends = 0; ///< of this VM since then
    permit_bucket permits;   ///< for the sends of this VM
};

/// Identifies one incarnation of a server; never reused.
using server_number = std::uint64_t;

/// How far a server is from this VM.
enum class distance
{
    same_data_centre,
    same_region,
    other_region
};

/// One incarnation of a server and the observations of it.
struct server
{
    server_number number = 0;
    server_entry entry;
    distance network_distance = distance::other_region;
    bool listed = true; ///< false if its entry was recently removed
    base::instant forget_at = base::never; ///< set while it is not listed
    base::instant warmup_until{};

    /// Start times of the exchanges in flight, oldest first. Includes exchanges
    /// whose result is no longer needed.
    std::vector<base::instant> in_flight;
    base::instant last_reply{};
    double latency_ratio = 1; ///< moving average of observed to expected
    base::instant latency_ratio_at{};
    std::optional<reported_load> load;
    base::instant load_at{};
    std::optional<stated_limit> limit; ///< empty if it states none
    /// An answer said that this incarnation leaves. Unlike `entry.leaving`,
    /// this is never taken back, since answers are newer than the store's list.
    bool said_leaving = false;
    base::instant paused_until{};   ///< the server wants no request before
    bool has_invalid_pause = false; ///< logged already
    unsigned failures = 0;          ///< consecutive
    base::instant avoid_until{};

    /// Time for which the server has had exchanges in flight without replying
    /// to any of them; zero if none is in flight.
    base::duration silence(base::instant now) const;
    /// Whether the server gets no new requests because it leaves.
    bool is_leaving() const { return entry.leaving || said_leaving; }
};

/// One incarnation of a server, as VMs name it to each other.
struct server_incarnation
{
    std::string id;
    std::int64_t started_at = 0;

    auto operator<=>(const server_incarnation&) const = default;
};

/// The VMs that share the limits which servers state, including this one.
struct fleet_counts
{
    std::map<std::string, std::size_t> by_data_centre;
    /// VMs that are assumed to exist, in unknown data centres.
    std::size_t unknown = 0;
};

class server_pool
{
public:
    /// `regions` maps each data centre to its region. `seed` is for the random
    /// number generator.
    server_pool(std::string data_centre,
                std::map<std::string, std::string> regions,
                std::uint32_t seed = 1);

    void set_fleet(fleet_counts fleet) { fleet_ = std::move(fleet); }

    /// Applies the entry of a new server, a new state of a known server, or a
    /// new incarnation. Returns whether a server was added or listed again, or
    /// its `leaving` flag changed.
    bool apply(const server_entry& entry, base::instant now);

    /// Called when the entry was removed. The server is used only as a last
    /// resort for the time `hold`, and is then forgotten unless its entry has
    /// returned.
    void remove(const std::string& id, base::instant now, base::duration hold);

    /// Removes a server at once, for example because another server answers at
    /// its address.
    void forget(server_number number);

    /// Forgets the removed servers whose hold time has passed. Returns when the
    /// next one is due.
    base::instant forget_expired(base::instant now);

    /// Returns null if the server is no longer known.
    server* find(server_number number);

    /// Returns all servers of a service, in no particular order.
    std::span<server* const> of(const std::string& service) const;

    /// Whether a service has a server that is not leaving.
    bool has_live(const std::string& service) const;

    /// Returns the ids of all listed servers.
    std::vector<std::string> listed_ids() const;
    std::size_t size() const { return by_number_.size(); }
    /// Number of servers that state a limit.
    std::size_t limited() const;
    /// Number of servers that leave, and of those that are paused.
    std::size_t leaving() const;
    std::size_t paused(base::instant now) const;

    /// An answer of this incarnation said that it leaves, here or at another
    /// VM. Returns whether that is new. It holds although its entry is removed
    /// and comes back.
    bool on_said_leaving(const server_incarnation& it, base::instant now);
    /// The incarnations that said so most recently, the newest first.
    std::vector<server_incarnation> recently_left(base::instant now) const;

    /// The server refused a request and wants no more from this VM for `pause`.
    /// Returns whether it was not paused before.
    bool on_pause(server& it, base::milliseconds pause, base::instant now);

    /// Whether any server may be paused.
    bool has_pauses(base::instant now) const { return last_pause_end_ > now; }

    /// Whether the pause and the limit that the server states, if any, let this
    /// VM send a request now. `reserve`, from 0 to 1, is the share of its
    /// stored permits that is kept for more important sends.
    bool may_send(server& it, double reserve, base::instant now) const;
    /// The share of a server's limit that this VM may use. The shares of all
    /// VMs with the same view of the fleet add up to 1.
    double limit_share(const server& it) const;

    void on_sent(server& it, base::instant now);
    /// `expected` is the usual latency of such a request, without the network
    /// round trip.
    void on_reply(server& it, base::instant sent_at, base::instant now,
                  base::duration expected, std::optional<reported_load> load);
    /// The server refused the request without executing it.
    void on_refused(server& it, base::instant sent_at, base::instant now,
                    std::optional<reported_load> load);
    /// An answer to a request sent at `sent_at` stated this limit, or none. It
    /// lifts a limit only if the request was sent after that was last stated,
    /// since answers may overtake each other. Returns whether the limit
    /// changed.
    bool on_stated_limit(server& it, std::optional<double> per_second,
                         base::instant sent_at, base::instant now);
    void on_failure(server& it, base::instant sent_at, base::instant now);
    /// This VM canceled the exchange, which says nothing about the server.
    void on_canceled(server& it, base::instant sent_at);

    /// Typical network round-trip time to a server at this distance.
    static base::duration round_trip(distance network_distance);

private:
    distance distance_between(const std::string& one,
                              const std::string& other) const;
    void refill_permits(server& it, base::instant now) const;
    bool has_said_leaving(const server_incarnation& it) const;
    void add_to_service(server& it);
    void remove_from_service(server& it);

    std::string data_centre_;
    std::map<std::string, std::string> regions_;
    fleet_counts fleet_;
    std::minstd_rand random_;
    server_number last_number_ = 0;
    struct leaving_record
    {
        server_incarnation who;
        base::instant at{};
    };
    base::instant last_pause_end_{}; ///< of all servers
    /// Oldest first, at most max_leaving_records.
    std::deque<leaving_record> said_leaving_;
    std::unordered_map<server_number, std::unique_ptr<server>> by_number_;
    std::unordered_map<std::string, server_number> by_id_;
    std::unordered_map<std::string, std::vector<server*>> by_service_;
};

/// Estimates the time until a server answers a request that usually takes
/// `expected`. Adds penalties for a server that is silent, failing or no longer
/// listed.
base::duration estimate_latency(const server& it, base::duration expected,
                                base::instant now);

/// An estimate of at least this means that an answer is unlikely.
inline constexpr base::milliseconds unlikely_estimate{1'000};

} // namespace mimosacroft::gateway

template <>
struct mimosacroft::base::enum_names<mimosacroft::gateway::distance>
{
    static constexpr std::array<std::string_view, 3> table = {
        "same_data_centre", "same_region", "other_region"};
};

#endif
