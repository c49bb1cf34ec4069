// What is done against slow servers and overload.
#ifndef MIMOSACROFT_GATEWAY_MECHANISMS_HPP
#define MIMOSACROFT_GATEWAY_MECHANISMS_HPP

namespace mimosacroft::gateway
{

/// Each can be switched off, so that its effect can be measured.
struct mechanisms
{
    bool hedging = true;
    bool relaying = true; ///< far shards are asked through a VM beside them
    /// Refuses at once what could not be answered in time.
    bool admission = true;
    bool partial_answers = true; ///< near the objective, with enough shards

    bool operator==(const mechanisms&) const = default;
};

} // namespace mimosacroft::gateway

#endif
