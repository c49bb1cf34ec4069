// The figures of an entry VM for its metrics address.
#ifndef MIMOSACROFT_ENTRY_ENTRY_METRICS_HPP
#define MIMOSACROFT_ENTRY_ENTRY_METRICS_HPP

#include "mimosacroft/base/metrics.hpp"
#include "mimosacroft/entry/event_writer.hpp"
#include "mimosacroft/entry/store_watch.hpp"
#include "mimosacroft/gateway/gateway.hpp"
#include "mimosacroft/http/message.hpp"

#include <string>

namespace mimosacroft::entry
{

class entry_metrics
{
public:
    /// A final answer to a caller.
    void on_answer(const gateway::answer_effect& it);
    /// Shards answered for another VM.
    void on_relayed_answer(const gateway::answer_effect& it);

    // What is asked of the parts when the figures are read.
    void note(const gateway::gateway& it);
    void note(const store_watch& it, base::instant now);
    void note(const event_writer& it);
    void note_traffic(const std::string& peer, const http::traffic& moved);
    void note_connections(const std::string& peer, std::uint64_t opened);

    /// The answer to GET /metrics; 404 to all else.
    http::response answer(const http::request& question) const;

private:
    base::metrics all_;
};

} // namespace mimosacroft::entry

#endif
