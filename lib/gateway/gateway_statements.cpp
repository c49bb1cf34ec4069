// What servers say of themselves in their answers, and what VMs tell each other
// of it.
#include "mimosacroft/gateway/gateway.hpp"

#include <cstdio>

namespace mimosacroft::gateway
{

namespace
{

using base::instant;
using core::event_id;
using core::log_event;

// When many requests fail at the same moment, one message tells of all.
constexpr base::milliseconds min_news_interval{20};

std::string to_text(double per_second)
{
    char buf[32];
    std::snprintf(buf, sizeof(buf), "%g", per_second);
    return buf;
}

log_event limited_event(const server& it)
{
    return {event_id::server_limited,
            {{"peer", it.entry.id},
             {"upstream", it.entry.service},
             {"per_second", to_text(it.limit->per_second)}}};
}

log_event unlimited_event(const server& it, const stated_limit& before,
                          instant now)
{
    return {event_id::server_unlimited,
            {{"peer", it.entry.id},
             {"sends", std::to_string(before.sends)},
             {"ms", std::to_string(base::to_ms(now - before.since))}}};
}

log_event said_leaving_event(const std::string& server_id,
                             std::string_view reason)
{
    return {event_id::server_said_leaving,
            {{"peer", server_id}, {"reason", std::string(reason)}}};
}

log_event paused_event(const server& it, instant now)
{
    return {event_id::server_paused,
            {{"peer", it.entry.id},
             {"upstream", it.entry.service},
             {"ms", std::to_string(base::to_ms(it.paused_until - now))}}};
}

log_event pause_ignored_event(const server& it)
{
    return {event_id::server_pause_ignored,
            {{"peer", it.entry.id},
             {"upstream", it.entry.service},
             {"reason", "Retry-After is not a number of seconds"}}};
}

} // namespace

void gateway::note_limit(server& from, std::optional<double> per_second,
                         instant sent_at, instant now, effects& out)
{
    const auto before = from.limit;
    if (!servers_.on_stated_limit(from, per_second, sent_at, now))
        return;
    out.events.push_back(from.limit ? limited_event(from)
                                    : unlimited_event(from, *before, now));
}

void gateway::note_statements(server& from, const server_reply& reply,
                              instant sent_at, instant now, effects& out)
{
    note_limit(from, reply.rate_limit, sent_at, now, out);
    if (reply.leaving && !from.said_leaving)
    {
        from.said_leaving = true;
        servers_.on_said_leaving({from.entry.id, from.entry.started_at}, now);
        out.events.push_back(
            said_leaving_event(from.entry.id, "its answer says so"));
    }
    if (reply.pause && servers_.on_pause(from, *reply.pause, now))
        out.events.push_back(paused_event(from, now));
    if (reply.has_invalid_pause && !from.has_invalid_pause)
    {
        from.has_invalid_pause = true;
        out.events.push_back(pause_ignored_event(from));
    }
}

void gateway::take_news(const fleet_news& news, instant now, effects& out)
{
    for (const auto& it : news.leaving)
        if (servers_.on_said_leaving(it, now))
            out.events.push_back(
                said_leaving_event(it.id, "another VM says so"));
    crashes_.merge(news.crashes, now);
}

fleet_news gateway::news_for_vm(instant now) const
{
    return {servers_.recently_left(now), crashes_.reports(now)};
}

void gateway::on_news(const fleet_news& news, bool pass_on, instant now,
                      effects& out)
{
    take_news(news, now, out);
    if (pass_on)
        tell_data_centre(now, out);
}

void gateway::tell_vm(const vm_entry& to, bool pass_on, instant now,
                      effects& out)
{
    out.news.push_back(
        {++last_exchange_, to.address, pass_on, news_for_vm(now)});
}

void gateway::tell_data_centre(instant now, effects& out)
{
    for (const auto* it : relays_.vms_of(options_.data_centre))
        tell_vm(*it, false, now, out);
}

// Tells the VMs of this data centre, and one of each other data centre, which
// tells those there. So no VM sends more messages than there are VMs in a data
// centre and data centres.
void gateway::tell_fleet(instant now, effects& out)
{
    if (now < next_news_at_)
        return;
    next_news_at_ = now + min_news_interval;
    tell_data_centre(now, out);
    for (const auto& it : relays_.data_centres())
        if (const auto* vm =
                it == options_.data_centre ? nullptr : relays_.choose(it, now))
            tell_vm(*vm, true, now, out);
}

} // namespace mimosacroft::gateway
