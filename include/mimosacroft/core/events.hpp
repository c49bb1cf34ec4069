// The numbered events of the log. docs/events.md is the catalogue; a test
// compares the two. Numbers are never used again for another event.
#ifndef MIMOSACROFT_CORE_EVENTS_HPP
#define MIMOSACROFT_CORE_EVENTS_HPP

#include <algorithm>
#include <array>
#include <string_view>

namespace mimosacroft::core
{

enum class event_id
{
    // 100 to 199: the process.
    started = 100,
    stopping = 101,
    stopped = 102,
    setting_refused = 103,
    settings_read = 104,
    lines_left_out = 105,
    metrics_unavailable = 106,
    callers_turned_away = 107,
    handler_failed = 110,
    peer_draining = 111,
    // 200 to 299: queries at their root.
    query_finished = 200,
    answer_dropped = 201,
    claim_unclear = 210,
    claim_not_recorded = 211,
    claim_refused = 212,
    claims_removed = 213,
    clock_differs = 214,
    query_restarted = 220,
    request_answered = 230,
    request_refused = 231,
    request_incomplete = 232,
    caller_left = 233,
    request_harmful = 234,
    request_harmless = 235,
    // 300 to 399: work on upstreams.
    upstream_failed = 300,
    upstream_answer_refused = 301,
    server_ejected = 310,
    work_refused = 311,
    server_listed = 320,
    server_removed = 321,
    server_entry_refused = 322,
    server_returned = 323,
    server_limited = 324,
    server_unlimited = 325,
    server_said_leaving = 326,
    server_paused = 327,
    server_pause_ignored = 328,
    // 400 to 499: members, views and links.
    view_changed = 400,
    peer_lost = 401,
    link_refused = 402,
    view_older = 410,
    server_leaving = 411,
    vms_counted = 420,
    object_refused = 421,
    // 500 to 599: configuration and the platform.
    config_applied = 500,
    config_refused = 501,
    platform_lost = 502,
    platform_back = 503,
    platform_restored = 504,
    objects_listed_again = 505,
    platform_stale = 510,
    platform_older = 511,
    object_older = 512,
    platform_reply_refused = 513,
    config_repaired = 514,
    history_gone = 515,
    // 600 to 699: callers and operators.
    caller_refused = 600
};

enum class severity
{
    info,
    warning,
    error
};

constexpr std::string_view name_of(severity level)
{
    constexpr std::array<std::string_view, 3> table = {"info", "warning",
                                                       "error"};
    return table.at(static_cast<std::size_t>(level));
}

struct event_description
{
    event_id id;
    severity level;
    std::string_view name;
};

inline constexpr auto event_table = std::to_array<event_description>({
    {event_id::started, severity::info, "started"},
    {event_id::stopping, severity::info, "stopping"},
    {event_id::stopped, severity::info, "stopped"},
    {event_id::setting_refused, severity::error, "setting_refused"},
    {event_id::settings_read, severity::info, "settings_read"},
    {event_id::lines_left_out, severity::warning, "lines_left_out"},
    {event_id::metrics_unavailable, severity::warning, "metrics_unavailable"},
    {event_id::callers_turned_away, severity::warning, "callers_turned_away"},
    {event_id::handler_failed, severity::error, "handler_failed"},
    {event_id::peer_draining, severity::info, "peer_draining"},
    {event_id::query_finished, severity::info, "query_finished"},
    {event_id::answer_dropped, severity::warning, "answer_dropped"},
    {event_id::claim_unclear, severity::warning, "claim_unclear"},
    {event_id::claim_not_recorded, severity::warning, "claim_not_recorded"},
    {event_id::claim_refused, severity::warning, "claim_refused"},
    {event_id::claims_removed, severity::info, "claims_removed"},
    {event_id::clock_differs, severity::warning, "clock_differs"},
    {event_id::query_restarted, severity::info, "query_restarted"},
    {event_id::request_answered, severity::info, "request_answered"},
    {event_id::request_refused, severity::warning, "request_refused"},
    {event_id::request_incomplete, severity::warning, "request_incomplete"},
    {event_id::caller_left, severity::info, "caller_left"},
    {event_id::request_harmful, severity::warning, "request_harmful"},
    {event_id::request_harmless, severity::info, "request_harmless"},
    {event_id::upstream_failed, severity::warning, "upstream_failed"},
    {event_id::upstream_answer_refused, severity::warning,
     "upstream_answer_refused"},
    {event_id::server_ejected, severity::warning, "server_ejected"},
    {event_id::work_refused, severity::warning, "work_refused"},
    {event_id::server_listed, severity::info, "server_listed"},
    {event_id::server_removed, severity::info, "server_removed"},
    {event_id::server_entry_refused, severity::warning, "server_entry_refused"},
    {event_id::server_returned, severity::info, "server_returned"},
    {event_id::server_limited, severity::warning, "server_limited"},
    {event_id::server_unlimited, severity::info, "server_unlimited"},
    {event_id::server_said_leaving, severity::info, "server_said_leaving"},
    {event_id::server_paused, severity::warning, "server_paused"},
    {event_id::server_pause_ignored, severity::warning, "server_pause_ignored"},
    {event_id::view_changed, severity::info, "view_changed"},
    {event_id::peer_lost, severity::warning, "peer_lost"},
    {event_id::link_refused, severity::warning, "link_refused"},
    {event_id::view_older, severity::warning, "view_older"},
    {event_id::server_leaving, severity::info, "server_leaving"},
    {event_id::vms_counted, severity::info, "vms_counted"},
    {event_id::object_refused, severity::warning, "object_refused"},
    {event_id::config_applied, severity::info, "config_applied"},
    {event_id::config_refused, severity::error, "config_refused"},
    {event_id::platform_lost, severity::warning, "platform_lost"},
    {event_id::platform_back, severity::info, "platform_back"},
    {event_id::platform_restored, severity::warning, "platform_restored"},
    {event_id::objects_listed_again, severity::info, "objects_listed_again"},
    {event_id::platform_stale, severity::warning, "platform_stale"},
    {event_id::platform_older, severity::error, "platform_older"},
    {event_id::object_older, severity::warning, "object_older"},
    {event_id::platform_reply_refused, severity::warning,
     "platform_reply_refused"},
    {event_id::config_repaired, severity::warning, "config_repaired"},
    {event_id::history_gone, severity::info, "history_gone"},
    {event_id::caller_refused, severity::warning, "caller_refused"},
});

/// The description of an event; every event_id has one, which a test checks.
constexpr const event_description& describe(event_id id)
{
    const auto it = std::ranges::find(event_table, id, &event_description::id);
    return it == event_table.end() ? event_table.front() : *it;
}

} // namespace mimosacroft::core

#endif
