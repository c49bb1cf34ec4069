// What callers and servers saw during a soak, and the promises that it must
// keep.
#ifndef MIMOSACROFT_UNITTESTS_SOAK_LEDGER_HPP
#define MIMOSACROFT_UNITTESTS_SOAK_LEDGER_HPP

#include "../platform/standin_wire.hpp"

#include "mimosacroft/gateway/catalog.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mimosacroft::tests
{

struct time_span
{
    base::instant from{};
    base::instant to{};

    bool meets(base::instant a, base::instant b) const
    {
        return from <= b && a <= to;
    }
};

/// A caller's request; each has an id of its own, and is never sent again.
struct caller_record
{
    std::string id;
    gateway::search_ptr search; ///< null: asks only whether a path is known
    std::size_t vm = 0;
    base::instant sent{};
    base::instant ended{};
    std::optional<caller_answer> answer;
    bool broken = false; ///< it found no connection, or lost it
};

/// A request at a server.
struct arrival_record
{
    base::instant at{};
    std::string request;
    std::string service;
    std::string server;
    bool ran = false;
};

/// Requests per second that a server with a limit takes from all VMs together.
inline constexpr double soak_limit = 3;

/// For how long a server that refuses wants no further request from a VM.
inline constexpr base::seconds soak_pause{2};

/// Sixteen bytes each.
std::string records_of(const std::string& service);
std::string signature_of(const std::string& server, const std::string& request,
                         const std::string& service);
/// What a server of a service that is no shard answers.
std::string body_of(const std::string& request);

class ledger
{
public:
    std::vector<caller_record> callers;
    std::vector<arrival_record> arrivals;
    std::set<std::string> issued;        ///< signatures
    std::set<std::string> ended_servers; ///< ids that are no more

    /// When a VM was stopped, or paused, or not there, with what follows.
    std::map<std::size_t, std::vector<time_span>> vm_gone;
    std::map<std::size_t, std::vector<time_span>> vm_paused;
    /// When the store, or a way to it or between VMs, failed.
    std::vector<time_span> trouble;
    /// When servers were listed as leaving, by id.
    std::map<std::string, std::vector<time_span>> leaving;
    /// When servers stated soak_limit, by id.
    std::map<std::string, std::vector<time_span>> limited;
    /// When servers refused all requests, by id.
    std::map<std::string, std::vector<time_span>> refusing;
    struct configuration_probe
    {
        std::size_t caller = 0; ///< its record
        base::instant written{};
    };
    std::vector<configuration_probe> probes;
    /// Starts of VMs, each of which begins with a new budget.
    std::vector<base::instant> vm_starts;
    gateway::arrival_budget_options budget;
    std::size_t fleet_size = 1;

    /// All promises that were broken, in words.
    std::vector<std::string> check() const;

private:
    bool was_gone(const caller_record& it) const;
    bool was_disturbed(const caller_record& it) const;
    std::string check_answer(const caller_record& it) const;
    std::string check_merged(const caller_record& it) const;
    std::string check_single(const caller_record& it) const;
    std::string check_ending(const caller_record& it) const;
    void check_runs(std::vector<std::string>& out) const;
    void check_probes(std::vector<std::string>& out) const;
    void check_leaving(std::vector<std::string>& out) const;
    bool had_trouble(base::instant from, base::instant to) const;
    void check_limits(std::vector<std::string>& out) const;
    void check_pauses(std::vector<std::string>& out) const;
    bool is_fleet_calm(base::instant from, base::instant to) const;
    void check_budget(std::vector<std::string>& out) const;
    std::string check_windows(const std::string& service,
                              const std::vector<arrival_record>& all) const;
};

} // namespace mimosacroft::tests

#endif
