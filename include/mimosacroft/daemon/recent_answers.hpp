// What the answers of the last minute say: how many, how fast, what was
// lacking, and which servers were slow.
#ifndef MIMOSACROFT_DAEMON_RECENT_ANSWERS_HPP
#define MIMOSACROFT_DAEMON_RECENT_ANSWERS_HPP

#include "mimosacroft/base/time.hpp"
#include "mimosacroft/query/search.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mimosacroft::daemon
{

/// A server and the mean time of its calls.
struct server_time
{
    std::string server;
    base::microseconds mean{};
    std::size_t calls = 0;
};

struct recent_summary
{
    std::size_t answers = 0;
    base::duration covers{}; ///< from the oldest answer in it to now
    base::duration median{};
    base::duration p99{};
    std::map<model::outcome, std::size_t> outcomes;
    std::map<std::string, std::size_t> lacking; ///< answers that lacked a shard
    std::vector<server_time> slowest;           ///< slowest first
};

class recent_answers
{
public:
    static constexpr base::seconds window{60};
    static constexpr std::size_t max_kept = 2000;
    static constexpr std::size_t max_servers = 3; ///< in a summary

    void add(const query::search_answer& answer, base::instant now);
    recent_summary summary(base::instant now) const;

private:
    struct kept
    {
        base::instant at;
        model::outcome outcome;
        base::duration took;
        std::vector<std::string> lacking;
        std::vector<std::pair<std::string, base::microseconds>> calls;
    };

    std::deque<kept> kept_; ///< oldest first
};

} // namespace mimosacroft::daemon

#endif
