// The metrics of an entry VM, served in the Prometheus text format at its
// metrics address.
#ifndef MIMOSACROFT_ENTRY_ENTRY_METRICS_HPP
#define MIMOSACROFT_ENTRY_ENTRY_METRICS_HPP

#include "mimosacroft/base/metrics.hpp"
#include "mimosacroft/entry/event_writer.hpp"
#include "mimosacroft/entry/store_watch.hpp"
#include "mimosacroft/gateway/gateway.hpp"
#include "mimosacroft/http/message.hpp"
#include "mimosacroft/http/server_budget.hpp"

#include <string>

namespace mimosacroft::entry
{

class entry_metrics
{
public:
    /// Counts a final answer to a caller and observes its latency.
    void on_answer(const gateway::answer_effect& effect);
    /// Counts an answer to a request that another VM relayed to this one.
    void on_relayed_answer(const gateway::answer_effect& effect);

    // Update the metrics of one component. Called for each request to the
    // metrics address, right before answer().
    void collect(const gateway::gateway& source, base::instant now);
    void collect(const store_watch& source, base::instant now);
    void collect(const event_writer& source);
    void collect(const http::server_budget& source);
    /// Memory of this process now.
    void collect_memory();
    /// Connections at one of the ports now.
    void collect_accepted(const std::string& port, std::size_t connections);
    void collect_traffic(const std::string& peer,
                         const http::traffic& transferred);
    void collect_connections(const std::string& peer, std::uint64_t opened);

    /// Renders the metrics for GET /metrics; answers 404 to any other request.
    http::response answer(const http::request& message) const;

private:
    base::metrics registry_;
};

} // namespace mimosacroft::entry

#endif
