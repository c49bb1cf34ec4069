// Limits the extra requests that reach a service. In every time window, the
// hedges and retries of all VMs together must stay below a share of the
// callers' requests plus a constant. Each VM limits itself to that share of its
// own requests plus its part of the constant, so the total bound holds without
// any coordination between VMs.
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
    double ratio = 0.1; ///< extra requests per caller request
    double slack = 0;   ///< extra requests allowed in a window without requests
    base::seconds window{10}; ///< even, at most 14 s

    bool operator==(const arrival_budget_options&) const = default;
};

/// Per-second counts of one VM's requests to one service. Invariant: in any
/// window, the VM is granted at most ratio * requests + slack extra requests.
/// `requests` is the maximum over that window, the window before it and the
/// window that starts half a window earlier.
class arrival_budget
{
public:
    void on_request(base::instant now);

    /// Acquires the permit for one extra request; false if none is left.
    bool try_acquire(const arrival_budget_options& options, base::instant now);

    /// Share of the current window's budget that is spent, from 0 to 1.
    double utilization(const arrival_budget_options& options,
                       base::instant now);

private:
    /// One bucket per second, for more than two windows.
    static constexpr std::size_t bucket_count = 32;

    struct bucket
    {
        std::uint32_t requests = 0;
        std::uint32_t extras = 0;
    };

    void advance(base::instant now);
    const bucket& bucket_at(std::int64_t second) const;
    double requests_in(std::int64_t from, std::int64_t to) const;
    double max_requests(std::int64_t start, std::int64_t window) const;
    double remaining(const arrival_budget_options& options) const;

    std::array<bucket, bucket_count> buckets_{}; ///< ring buffer
    std::int64_t newest_second_ = 0; ///< second of the newest bucket
};

} // namespace mimosacroft::gateway

#endif
