// Chooses the server that gets the next call, by what this VM saw itself:
// requests in flight, recent latency and failures. A server's own report of its
// load is a hint that shifts the choice a little, and never decides alone.
#ifndef MIMOSACROFT_QUERY_REPLICA_CHOOSER_HPP
#define MIMOSACROFT_QUERY_REPLICA_CHOOSER_HPP

#include "mimosacroft/base/latency_tracker.hpp"
#include "mimosacroft/model/resources.hpp"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace mimosacroft::query
{

struct replica_chooser_options
{
    bool by_latency = true; ///< else by requests in flight alone
    bool ejection = true;
    std::uint32_t failures_to_eject = 5; ///< one after another
    double max_ejected_share = 0.5;      ///< of an upstream's servers
    base::milliseconds eject_time{1000}; ///< doubles with each repeat
    base::milliseconds max_eject_time{30'000};
    base::milliseconds slow_start{3000}; ///< of new and returned servers
    /// A latency older than this is not held against a server.
    base::milliseconds latency_ttl{5000};
};

/// What is known of a server, for operators.
struct replica_state
{
    base::latency_tracker latency;
    base::duration high{};         ///< high quantile, brought up to date often
    double failure_rate = 0;       ///< decayed share of failed calls
    std::uint32_t failures = 0;    ///< one after another
    std::uint32_t ejections = 0;   ///< since the last success
    base::instant ejected_until{}; ///< in the past when not ejected
    base::instant warm_since{};    ///< when the slow start began
    base::instant seen{};          ///< last reply of any kind
    std::optional<double> reported_load;
    std::string incarnation; ///< as the server stated it last
};

class replica_chooser
{
public:
    explicit replica_chooser(replica_chooser_options options = {})
        : options_(options)
    {
    }

    /// What the choice has to respect besides.
    struct limits
    {
        std::uint32_t slots = 0; ///< for each server
        std::function<std::uint32_t(const std::string&)> in_flight;
        std::function<bool(const model::server&)> takes_work;
        const std::set<std::string>* asked = nullptr; ///< not to be asked again
    };

    /// The server for the next call; null if none may get one now.
    const model::server* choose(const model::upstream& from,
                                const limits& within, base::instant now);

    /// Whether a server may get the call now or once it has a free slot.
    bool has_candidate(const model::upstream& from, const limits& within,
                       base::instant now) const;

    void on_success(const std::string& server, base::duration latency,
                    base::instant now);
    /// A call was given up after `elapsed`: its latency is at least that.
    void on_abandoned(const std::string& server, base::duration elapsed,
                      base::instant now);
    /// Returns the time of ejection if the failure led to one.
    std::optional<base::duration> on_failure(const model::upstream& of,
                                             const std::string& server,
                                             base::instant now);
    void on_report(const std::string& server, std::optional<double> load,
                   const std::string& incarnation, base::instant now);

    bool ejected(const std::string& server, base::instant now) const;
    const replica_state* find(const std::string& server) const;

private:
    replica_state& state_of(const std::string& server, base::instant now);
    double warmth(const replica_state& it, base::instant now) const;
    double cost(const replica_state& it, std::uint32_t in_flight,
                double typical_us, base::instant now) const;
    bool may_eject(const model::upstream& of, base::instant now) const;
    bool any_in(const model::upstream& from, const limits& within,
                base::instant now) const;

    replica_chooser_options options_;
    std::unordered_map<std::string, replica_state> servers_;
};

} // namespace mimosacroft::query

#endif
