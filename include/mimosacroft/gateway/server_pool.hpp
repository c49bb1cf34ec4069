// The servers that this VM knows, what it observed of each, and the choice
// among the servers of a service.
#ifndef MIMOSACROFT_GATEWAY_SERVER_POOL_HPP
#define MIMOSACROFT_GATEWAY_SERVER_POOL_HPP

#include "mimosacroft/base/names.hpp"
#include "mimosacroft/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace mimosacroft::gateway
{

/// What a server says of itself.
struct server_entry
{
    std::string id;
    std::string service;
    std::string address; ///< ip:port
    std::string data_centre;
    std::size_t slots = 1; ///< requests that it works on at once
    bool leaving = false;
    base::milliseconds cold_for{0}; ///< slow for this much longer
    /// Start of this incarnation as the server states it; an id may return.
    std::int64_t started_at = 0;
};

/// Load that a server stated with an answer.
struct stated_load
{
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 0;
};

/// Names one incarnation of a server; never used again.
using server_number = std::uint64_t;

/// How far a server is away.
enum class distance
{
    same_data_centre,
    same_region,
    other_region
};

/// One incarnation of a server, and what was observed of it.
struct server
{
    server_number number = 0;
    server_entry entry;
    distance away = distance::other_region;
    bool listed = true; ///< false: its entry was removed a moment ago
    base::instant gone_at = base::never; ///< when an unlisted one is given up
    base::instant cold_until{};

    /// Exchanges under way, also those whose result nobody waits for.
    std::vector<base::instant> sent; ///< start of each, in order
    base::instant last_reply{};
    double slowness = 1; ///< decayed ratio of latency to what was expected
    base::instant slowness_at{};
    std::optional<stated_load> load;
    base::instant load_at{};
    unsigned failures = 0; ///< in a row
    base::instant avoid_until{};

    /// How long the server owes an answer without having given any.
    base::duration silence(base::instant now) const;
};

/// The share of a server's connections that this VM may open.
struct connection_share
{
    std::size_t vms = 1; ///< that may connect at the same time
};

class server_pool
{
public:
    /// `regions` maps data centres to their region.
    server_pool(std::string data_centre,
                std::map<std::string, std::string> regions);

    /// Takes an entry: a new server, a new state, or a new incarnation.
    /// Returns whether anything changed.
    bool apply(const server_entry& entry, base::instant now);

    /// The entry was removed. The server is the last choice for `hold`, and is
    /// forgotten unless its entry is back by then.
    void remove(const std::string& id, base::instant now, base::duration hold);

    /// Another server answers at the address: this one is gone.
    void forget(server_number number);

    /// Forgets removed servers whose time is over. Returns the next due time.
    base::instant settle(base::instant now);

    /// Null if it is gone.
    server* find(server_number number);

    /// All servers of a service, in no order.
    std::span<server* const> of(const std::string& service) const;

    /// Whether a service has a server that might answer.
    bool has_live(const std::string& service) const;

    /// Ids of all servers that are listed.
    std::vector<std::string> listed_ids() const;
    std::size_t size() const { return by_number_.size(); }

    void on_sent(server& it, base::instant now);
    /// `expected` is the usual latency of such a request without the way.
    void on_reply(server& it, base::instant sent_at, base::instant now,
                  base::duration expected, std::optional<stated_load> load);
    /// The server refused the work before it began.
    void on_refused(server& it, base::instant sent_at, base::instant now,
                    std::optional<stated_load> load);
    void on_failure(server& it, base::instant sent_at, base::instant now);
    /// The exchange was ended by us, without a verdict on the server.
    void on_dropped(server& it, base::instant sent_at);

    /// Time of the way to a server and back.
    static base::duration round_trip(distance away);

private:
    distance distance_to(const std::string& data_centre) const;
    void link(server& it);
    void unlink(server& it);

    std::string data_centre_;
    std::map<std::string, std::string> regions_;
    server_number last_number_ = 0;
    std::unordered_map<server_number, std::unique_ptr<server>> by_number_;
    std::unordered_map<std::string, server_number> by_id_;
    std::unordered_map<std::string, std::vector<server*>> by_service_;
};

/// The estimated time until a server answers a request that usually takes
/// `expected`, with penalties for what speaks against it.
base::duration estimate(const server& it, base::duration expected,
                        base::instant now);

/// Estimates from this on mean that an answer is unlikely.
inline constexpr base::milliseconds unlikely{1'000};

} // namespace mimosacroft::gateway

template <>
struct mimosacroft::base::enum_names<mimosacroft::gateway::distance>
{
    static constexpr std::array<std::string_view, 3> table = {
        "same_data_centre", "same_region", "other_region"};
};

#endif
