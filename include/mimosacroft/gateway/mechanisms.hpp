// Switches of the mechanisms against slow servers and overload.
#ifndef MIMOSACROFT_GATEWAY_MECHANISMS_HPP
#define MIMOSACROFT_GATEWAY_MECHANISMS_HPP

namespace mimosacroft::gateway
{

/// Each mechanism can be switched off to measure its effect.
struct mechanisms
{
    /// Sends a slow part of a request to a second server as well.
    bool hedging = true;
    /// Requests the shards of another region through an entry VM there.
    bool relaying = true;
    /// Refuses a request at once if it could not be answered in time.
    bool admission = true;
    /// Answers without the missing shards when the latency objective is near
    /// and enough shards have answered.
    bool partial_answers = true;

    bool operator==(const mechanisms&) const = default;
};

} // namespace mimosacroft::gateway

#endif
