// What the leaf does against slow, failing and loaded servers; each mechanism
// can be switched off by itself, for experiments.
#ifndef MIMOSACROFT_QUERY_LEAF_OPTIONS_HPP
#define MIMOSACROFT_QUERY_LEAF_OPTIONS_HPP

namespace mimosacroft::query
{

struct leaf_options
{
    /// Sends a second request to another replica when the first one is slow.
    bool hedging = true;
    /// Chooses replicas by latency and load; else by requests in flight alone.
    bool replica_choice = true;
    /// Limits hedges and retries to a share of first attempts.
    bool budget = true;
    /// Keeps servers that fail again and again out of the choice for a while.
    bool ejection = true;
    /// Serves urgent before ordinary and the earliest deadline first; else in
    /// the order of arrival.
    bool priorities = true;
};

} // namespace mimosacroft::query

#endif
