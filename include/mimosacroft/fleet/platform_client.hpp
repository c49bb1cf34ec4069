// Calls of the fleet part to the platform: a budget of calls a second, back-off
// with jitter after failures, and the truth on whether the platform answers.
#ifndef MIMOSACROFT_FLEET_PLATFORM_CLIENT_HPP
#define MIMOSACROFT_FLEET_PLATFORM_CLIENT_HPP

#include "mimosacroft/core/effects.hpp"

#include <cstdint>
#include <random>
#include <string>

namespace mimosacroft::fleet
{

struct platform_options
{
    std::string address; ///< ip:port
    base::milliseconds timeout{1000};
    base::milliseconds first_retry{500};
    base::milliseconds longest_retry{2000};
    double calls_per_second = 4;
    double burst_calls = 8;
};

class platform_client
{
public:
    platform_client(platform_options options, std::uint64_t seed);

    /// Starts a GET that the platform may hold for `wait`, and gives its id; 0
    /// if the budget is spent, which is counted.
    std::uint64_t get(std::string path, std::string query,
                      base::milliseconds wait, base::instant now,
                      core::effects& out);

    /// Whether a call that can wait may be made now: the latest one did not
    /// fail and half of the burst is left to the others. Counts it if so.
    bool take_spare_call(base::instant now);

    /// Notes how a call ended; logs when the platform is lost or back.
    void note_reply(bool ok, base::instant now, core::effects& out);

    /// When to call again after a reply: `normal` after a good one, else later
    /// with each failure in a row.
    base::instant next_call(base::duration normal, base::instant now);

    /// When the platform answered last; never if it has not.
    base::instant heard() const { return heard_; }
    /// The latest reply was a good one.
    bool ok() const { return ok_; }
    std::uint64_t calls() const { return calls_; }
    std::uint64_t held_back() const { return held_back_; }

private:
    bool take_token(double left, base::instant now);

    platform_options options_;
    std::mt19937_64 random_;
    std::uint64_t calls_ = 0;     ///< also the id of the latest call
    std::uint64_t held_back_ = 0; ///< calls that the budget refused
    unsigned failures_ = 0;       ///< in a row
    double tokens_;               ///< at most burst_calls
    base::instant refilled_{};
    base::instant heard_ = base::never;
    bool ok_ = false;
};

} // namespace mimosacroft::fleet

#endif
