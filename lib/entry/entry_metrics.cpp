// The figures of an entry VM for its metrics address.
#include "mimosacroft/entry/entry_metrics.hpp"

namespace mimosacroft::entry
{

namespace
{

using base::with_label;

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;

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

double to_gauge(std::uint64_t n)
{
    return static_cast<double>(n);
}

} // namespace

void entry_metrics::on_answer(const gateway::answer_effect& it)
{
    const std::string search = it.search ? it.search->name : "none";
    const auto total = with_label("mimosa_requests_total", "search", search);
    all_.add(with_label(total, "outcome", outcome_of(it.reply)));
    all_.observe_seconds(with_label("mimosa_request_seconds", "search", search),
                         base::to_seconds(it.took));
}

void entry_metrics::on_relayed_answer(const gateway::answer_effect& it)
{
    all_.add(with_label("mimosa_relayed_requests_total", "outcome",
                        outcome_of(it.reply)));
}

void entry_metrics::note(const gateway::gateway& it)
{
    all_.set("mimosa_config_version",
             it.current() ? to_gauge(it.current()->version()) : 0);
    all_.set("mimosa_servers", to_gauge(it.servers().size()));
    all_.set("mimosa_vms", to_gauge(it.fleet_size()));
    all_.set("mimosa_open_requests", to_gauge(it.open_queries()));
    all_.set("mimosa_open_sends", to_gauge(it.open_exchanges()));
    all_.set("mimosa_sends_total", to_gauge(it.sends()));
    all_.set("mimosa_hedges_total", to_gauge(it.hedges()));
}

void entry_metrics::note(const store_watch& it, base::instant now)
{
    all_.set(with_label("mimosa_store_calls_total", "kind", it.kind()),
             to_gauge(it.store_calls()));
    if (it.is_complete())
        all_.set(with_label("mimosa_store_age_seconds", "kind", it.kind()),
                 base::to_seconds(it.age(now)));
    note_traffic("store " + it.kind(), it.moved());
}

void entry_metrics::note(const event_writer& it)
{
    for (const auto& [id, n] : it.counts())
        all_.set(
            with_label("mimosa_events_total", "name", core::describe(id).name),
            to_gauge(n));
    all_.set("mimosa_log_lines_left_out_total", to_gauge(it.left_out()));
}

void entry_metrics::note_traffic(const std::string& peer,
                                 const http::traffic& moved)
{
    const auto bytes = with_label("mimosa_bytes_total", "peer", peer);
    all_.set(with_label(bytes, "direction", "sent"), to_gauge(moved.sent));
    all_.set(with_label(bytes, "direction", "received"),
             to_gauge(moved.received));
}

void entry_metrics::note_connections(const std::string& peer,
                                     std::uint64_t opened)
{
    all_.set(with_label("mimosa_connections_opened_total", "peer", peer),
             to_gauge(opened));
}

http::response entry_metrics::answer(const http::request& question) const
{
    http::response out;
    const bool known =
        question.method == "GET" && question.target == "/metrics";
    out.status = known ? status_ok : status_not_found;
    if (!known)
        return out;
    out.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
    out.body = all_.render();
    return out;
}

} // namespace mimosacroft::entry
