// The budget of extra arrivals at a service: hedges and retries of all VMs
// together must stay below a share of the callers' requests plus a constant, in
// every window. Each VM keeps within its own requests' share and its part of
// the constant, so the sum holds without any talk between VMs.
#ifndef MIMOSACROFT_GATEWAY_ARRIVAL_BUDGET_HPP
#define MIMOSACROFT_GATEWAY_ARRIVAL_BUDGET_HPP

#include "mimosacroft/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace mimosacroft::gateway
{

struct arrival_budget_options
{
    double ratio = 0.1;       ///< extra arrivals for each request
    double slack = 0;         ///< extra arrivals in a window without requests
    base::seconds window{10}; ///< an even number, at most 14 s

    bool operator==(const arrival_budget_options&) const = default;
};

/// Counts of one service at one VM, by seconds. Invariant: in any window the
/// extra arrivals granted are at most ratio * requests + slack of that VM, with
/// the requests of that window, of the one before or of the one half a window
/// before, whichever are most.
class arrival_budget
{
public:
    void on_request(base::instant now);

    /// Takes the right to one extra arrival; false if there is none left.
    bool take(const arrival_budget_options& options, base::instant now);

    /// Share of the window's budget that is used: 0 to 1.
    double used(const arrival_budget_options& options, base::instant now);

private:
    static constexpr std::size_t bucket_count = 32; ///< two windows and more

    struct bucket
    {
        std::uint32_t requests = 0;
        std::uint32_t extras = 0;
    };

    void advance(base::instant now);
    const bucket& at(std::int64_t second) const;
    double requests_in(std::int64_t from, std::int64_t to) const;
    double most_requests(std::int64_t start, std::int64_t window) const;
    double room(const arrival_budget_options& options) const;

    std::array<bucket, bucket_count> buckets_{}; ///< by second, in a ring
    std::int64_t current_ = 0;                   ///< second of the newest one
};

} // namespace mimosacroft::gateway

#endif
