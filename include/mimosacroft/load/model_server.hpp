// A model of one upstream server: slots, service time and faults. It decides
// what becomes of a call and how long that takes; time itself is its user's.
#ifndef MIMOSACROFT_LOAD_MODEL_SERVER_HPP
#define MIMOSACROFT_LOAD_MODEL_SERVER_HPP

#include "mimosacroft/base/time.hpp"
#include "mimosacroft/query/upstream_codec.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace mimosacroft::load
{

/// Reads the body of a call to a server.
base::result<std::vector<query::upstream_subquery>>
decode_subqueries(const std::string& body);

/// Writes the body of a server's reply with status 200.
std::string encode_reply(const query::upstream_reply& reply);

struct server_traits
{
    std::uint32_t slots = 2;           ///< calls at once; more are refused
    base::microseconds service{2000};  ///< time of a call, apart from its size
    base::microseconds each{50};       ///< and for each subquery of it
    double slow_share = 0;             ///< share of subqueries that are slow
    base::microseconds slow{0};        ///< added to a slow one
    double fail_share = 0;             ///< share of calls failing at once
    std::optional<double> stated_load; ///< in place of the true one
    std::uint64_t oldest_epoch = 0;    ///< epochs held, both ends included
    std::uint64_t newest_epoch = UINT64_MAX;
};

class model_server
{
public:
    model_server(std::string name, server_traits traits, std::uint64_t seed);

    /// A call that has arrived. `done` is when its reply leaves.
    struct taken
    {
        bool holds_slot = false;
        base::duration time{};
    };

    /// Decides on the call `id`; a slot is held until finish() or cancel().
    taken begin(std::uint64_t id,
                const std::vector<query::upstream_subquery>& subqueries);

    /// The reply of a call that begin() took; nothing if it was canceled.
    std::optional<wire::http_reply>
    finish(std::uint64_t id,
           const std::vector<query::upstream_subquery>& subqueries);

    /// The caller has closed the connection; the work stops.
    void cancel(std::uint64_t id);

    server_traits& traits() { return traits_; }
    const std::string& name() const { return name_; }
    std::uint64_t subqueries() const { return subqueries_; }
    std::uint64_t calls() const { return calls_; }
    std::uint64_t over_slots() const { return over_slots_; }

private:
    bool draw(double share);
    query::upstream_result answer(const query::upstream_subquery& it) const;
    double load() const;

    enum class verdict
    {
        serve,
        refuse,
        fail
    };

    std::string name_;
    server_traits traits_;
    std::mt19937_64 random_;
    std::map<std::uint64_t, verdict> open_; ///< calls without a reply yet
    std::uint32_t running_ = 0;             ///< calls that hold a slot
    std::uint64_t subqueries_ = 0;          ///< started
    std::uint64_t calls_ = 0;               ///< arrived
    std::uint64_t over_slots_ = 0;          ///< arrived while no slot was free
};

} // namespace mimosacroft::load

#endif
