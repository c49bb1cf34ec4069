// The metrics of an entry VM.
#include "mimosacroft/entry/entry_metrics.hpp"

#include <fstream>
#include <unistd.h>

namespace mimosacroft::entry
{

namespace
{

using base::with_label;

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;

// Each overload returns the value of the outcome label for one kind of answer.
std::string outcome_of(const gateway::refused& it)
{
    return std::string(base::name_of(it.why));
}

std::string outcome_of(const gateway::merged& it)
{
    return it.missing == 0 ? "whole" : "partial";
}

std::string outcome_of(const gateway::server_reply& it)
{
    return it.is_success() ? "whole" : "server_error";
}

std::string outcome_of(gateway::declined)
{
    return "declined";
}

std::string outcome_of(const gateway::answer& reply)
{
    return std::visit([](const auto& it) { return outcome_of(it); }, reply);
}

double to_metric_value(std::uint64_t value)
{
    return static_cast<double>(value);
}

} // namespace

void entry_metrics::on_answer(const gateway::answer_effect& effect)
{
    const std::string search = effect.search ? effect.search->name : "none";
    const auto total = with_label("mimosa_requests_total", "search", search);
    registry_.add(with_label(total, "outcome", outcome_of(effect.reply)));
    registry_.observe_seconds(
        with_label("mimosa_request_seconds", "search", search),
        base::to_seconds(effect.latency));
}

void entry_metrics::on_relayed_answer(const gateway::answer_effect& effect)
{
    registry_.add(with_label("mimosa_relayed_requests_total", "outcome",
                             outcome_of(effect.reply)));
}

void entry_metrics::collect(const gateway::gateway& source, base::instant now)
{
    registry_.set(
        "mimosa_config_version",
        source.current() ? to_metric_value(source.current()->version()) : 0);
    registry_.set("mimosa_servers", to_metric_value(source.servers().size()));
    registry_.set("mimosa_vms", to_metric_value(source.fleet_size()));
    registry_.set("mimosa_open_requests",
                  to_metric_value(source.open_queries()));
    registry_.set("mimosa_open_sends",
                  to_metric_value(source.open_exchanges()));
    registry_.set("mimosa_sends_total", to_metric_value(source.sends()));
    registry_.set("mimosa_hedges_total", to_metric_value(source.hedges()));
    registry_.set("mimosa_limited_servers",
                  to_metric_value(source.servers().limited()));
    for (const auto verdict :
         {gateway::crash_verdict::suspected, gateway::crash_verdict::condemned})
        registry_.set(with_label("mimosa_harmful_requests", "verdict",
                                 std::string(base::name_of(verdict))),
                      to_metric_value(source.crashes().count(verdict, now)));
    registry_.set("mimosa_leaving_servers",
                  to_metric_value(source.servers().leaving()));
    registry_.set("mimosa_paused_servers",
                  to_metric_value(source.servers().paused(now)));
    const auto& limited = source.sends_to_limited();
    registry_.set(with_label("mimosa_sends_to_limited_total", "send", "first"),
                  to_metric_value(limited.first));
    registry_.set(with_label("mimosa_sends_to_limited_total", "send", "again"),
                  to_metric_value(limited.again));
}

void entry_metrics::collect(const store_watch& source, base::instant now)
{
    registry_.set(with_label("mimosa_store_calls_total", "kind", source.kind()),
                  to_metric_value(source.store_calls()));
    registry_.set(with_label("mimosa_store_era", "kind", source.kind()),
                  to_metric_value(source.cache().position().era));
    registry_.set(with_label("mimosa_past_bytes", "kind", source.kind()),
                  to_metric_value(source.cache().past_bytes()));
    registry_.set(with_label("mimosa_object_bytes", "kind", source.kind()),
                  to_metric_value(source.cache().object_bytes()));
    for (std::size_t n = 0; n < list_reason_count; ++n)
    {
        const auto why = static_cast<list_reason>(n);
        const auto lists = with_label("mimosa_objects_listed_again_total",
                                      "kind", source.kind());
        registry_.set(
            with_label(lists, "reason", std::string(base::name_of(why))),
            to_metric_value(source.lists_again(why)));
    }
    if (source.is_complete())
        registry_.set(
            with_label("mimosa_store_age_seconds", "kind", source.kind()),
            base::to_seconds(source.age(now)));
    collect_traffic("store " + source.kind(), source.moved());
}

void entry_metrics::collect(const event_writer& source)
{
    for (const auto& [id, count] : source.counts())
        registry_.set(
            with_label("mimosa_events_total", "name", core::describe(id).name),
            to_metric_value(count));
    registry_.set("mimosa_log_lines_left_out_total",
                  to_metric_value(source.dropped_lines()));
}

void entry_metrics::collect(const http::server_budget& source)
{
    registry_.set("mimosa_held_bytes", to_metric_value(source.held_bytes()));
    registry_.set("mimosa_held_bytes_limit",
                  to_metric_value(source.max_bytes()));
    for (std::size_t n = 0; n < http::shed_reason_count; ++n)
    {
        const auto why = static_cast<http::shed_reason>(n);
        registry_.set(with_label("mimosa_callers_turned_away_total", "reason",
                                 std::string(base::name_of(why))),
                      to_metric_value(source.shed(why)));
    }
}

void entry_metrics::collect_memory()
{
    std::ifstream in("/proc/self/statm");
    std::uint64_t program_pages = 0;
    std::uint64_t resident_pages = 0;
    if (in >> program_pages >> resident_pages)
        registry_.set("mimosa_resident_bytes",
                      to_metric_value(resident_pages) *
                          static_cast<double>(::sysconf(_SC_PAGESIZE)));
}

void entry_metrics::collect_accepted(const std::string& port,
                                     std::size_t connections)
{
    registry_.set(with_label("mimosa_accepted_connections", "port", port),
                  to_metric_value(connections));
}

void entry_metrics::collect_traffic(const std::string& peer,
                                    const http::traffic& transferred)
{
    const auto bytes = with_label("mimosa_bytes_total", "peer", peer);
    registry_.set(with_label(bytes, "direction", "sent"),
                  to_metric_value(transferred.sent));
    registry_.set(with_label(bytes, "direction", "received"),
                  to_metric_value(transferred.received));
}

void entry_metrics::collect_connections(const std::string& peer,
                                        std::uint64_t opened)
{
    registry_.set(with_label("mimosa_connections_opened_total", "peer", peer),
                  to_metric_value(opened));
}

http::response entry_metrics::answer(const http::request& message) const
{
    http::response out;
    const bool is_metrics_request =
        message.method == "GET" && message.target == "/metrics";
    out.status = is_metrics_request ? status_ok : status_not_found;
    if (!is_metrics_request)
        return out;
    out.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
    out.body = registry_.render();
    return out;
}

} // namespace mimosacroft::entry
