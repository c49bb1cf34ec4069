// The budget of extra load: hedges and retries together are limited to a share
// of the first attempts.
#ifndef MIMOSACROFT_QUERY_EXTRA_BUDGET_HPP
#define MIMOSACROFT_QUERY_EXTRA_BUDGET_HPP

#include <algorithm>
#include <cstddef>

namespace mimosacroft::query
{

struct extra_budget_options
{
    bool enabled = true;
    double share = 0.05; ///< extra attempts for each first attempt
    double burst = 10;   ///< most that can be saved up, and what is there first
};

/// A token bucket. Invariant: what was taken is at most burst + share * first
/// attempts.
class extra_budget
{
public:
    explicit extra_budget(extra_budget_options options = {})
        : options_(options), tokens_(options.burst)
    {
    }

    void on_first_attempt()
    {
        tokens_ = std::min(options_.burst, tokens_ + options_.share);
    }

    /// Takes the token for one extra attempt; false if there is none.
    bool take()
    {
        if (!options_.enabled)
            return true;
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    extra_budget_options options_;
    double tokens_;
};

} // namespace mimosacroft::query

#endif
