// The traces of the latest queries, for `mimosactl explain`.
#ifndef MIMOSACROFT_DAEMON_TRACE_STORE_HPP
#define MIMOSACROFT_DAEMON_TRACE_STORE_HPP

#include "mimosacroft/query/search.hpp"

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <string>

namespace mimosacroft::daemon
{

/// May be used from any thread. Keeps the latest max_traces.
class trace_store
{
public:
    static constexpr std::size_t max_traces = 256;

    /// Keeps the answer without its payloads.
    void put(const query::search_answer& answer);
    std::optional<query::search_answer> find(const std::string& trace) const;

private:
    mutable std::mutex mutex_;
    std::deque<query::search_answer> traces_; ///< latest first
};

} // namespace mimosacroft::daemon

#endif
