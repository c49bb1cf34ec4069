// Remembers requests under which servers ended.
#include "mimosacroft/gateway/crash_ledger.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <iterator>

namespace mimosacroft::gateway
{

namespace
{

using base::instant;
using base::milliseconds;

// A server may end for any reason; two under one request, with no answer from
// any other server, are a reason for caution.
constexpr std::size_t suspicion_threshold = 2;
constexpr base::seconds condemnation_time{30};
// Evidence counts for this long, from the end of a condemnation on.
constexpr base::seconds evidence_lifetime{60};
constexpr std::size_t max_reports = 8;

} // namespace

crash_verdict crash_ledger::verdict_of(const entry& it, instant now)
{
    if (it.condemned_until > now)
        return crash_verdict::condemned;
    const bool is_old =
        std::max(it.changed_at, it.condemned_until) + evidence_lifetime <= now;
    return it.ended >= suspicion_threshold && !is_old ? crash_verdict::suspected
                                                      : crash_verdict::harmless;
}

crash_verdict crash_ledger::verdict(std::uint64_t fingerprint,
                                    instant now) const
{
    const auto found = entries_.find(fingerprint);
    return found == entries_.end() ? crash_verdict::harmless
                                   : verdict_of(found->second, now);
}

milliseconds crash_ledger::condemned_for(std::uint64_t fingerprint,
                                         instant now) const
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end())
        return milliseconds(0);
    return std::max(
        std::chrono::ceil<milliseconds>(found->second.condemned_until - now),
        milliseconds(0));
}

// Makes room for one more entry: drops those that are too old, or else the one
// with the oldest evidence.
void crash_ledger::make_room(instant now)
{
    std::erase_if(entries_,
                  [now](const auto& one)
                  {
                      const auto& it = one.second;
                      return std::max(it.changed_at, it.condemned_until) +
                                 evidence_lifetime <=
                             now;
                  });
    if (entries_.size() < max_entries)
        return;
    entries_.erase(std::ranges::min_element(entries_, {}, [](const auto& one)
                                            { return one.second.changed_at; }));
}

crash_ledger::entry& crash_ledger::record(std::uint64_t fingerprint,
                                          instant now)
{
    if (!entries_.contains(fingerprint))
        make_room(now);
    auto& out = entries_[fingerprint];
    // Evidence that is too old must not add up with new evidence.
    if (std::max(out.changed_at, out.condemned_until) + evidence_lifetime <=
        now)
        out = {};
    out.changed_at = now;
    return out;
}

bool crash_ledger::on_servers_ended(std::uint64_t fingerprint,
                                    std::size_t count, instant now)
{
    auto& it = record(fingerprint, now);
    const auto before = verdict_of(it, now);
    it.ended += count;
    return before == crash_verdict::harmless &&
           verdict_of(it, now) != crash_verdict::harmless;
}

bool crash_ledger::on_probe_ended(std::uint64_t fingerprint, instant now)
{
    auto& it = record(fingerprint, now);
    const bool is_new = it.condemned_until <= now;
    it.ended = std::max(it.ended + 1, suspicion_threshold);
    it.condemned_until = now + condemnation_time;
    return is_new;
}

bool crash_ledger::on_answered(std::uint64_t fingerprint)
{
    return entries_.erase(fingerprint) > 0;
}

void crash_ledger::merge(const std::vector<crash_report>& reports, instant now)
{
    for (const auto& report : reports)
    {
        const auto until =
            now + std::clamp<milliseconds>(report.condemned_for,
                                           milliseconds(0), condemnation_time);
        const auto known = entries_.find(report.fingerprint);
        // Repeated news is no new evidence, or it would never grow old.
        const bool is_known =
            known != entries_.end() &&
            verdict_of(known->second, now) != crash_verdict::harmless;
        if (is_known)
        {
            if (until > now)
                known->second.condemned_until =
                    std::max(known->second.condemned_until, until);
            continue;
        }
        auto& it = record(report.fingerprint, now);
        it.ended = std::max(it.ended, suspicion_threshold);
        it.condemned_until = until;
        // All VMs forget it at the same time, however often it is passed on.
        it.changed_at -= std::clamp<milliseconds>(report.age, milliseconds(0),
                                                  evidence_lifetime);
    }
}

std::vector<crash_report> crash_ledger::reports(instant now) const
{
    struct candidate
    {
        instant changed_at{};
        crash_report report;
    };
    std::vector<candidate> all;
    // Rounded so that a report that is passed on does not last longer.
    const auto report_of = [now](std::uint64_t fingerprint, const entry& it)
    {
        const auto left = std::max(it.condemned_until - now, base::duration(0));
        return crash_report{
            fingerprint, std::chrono::floor<milliseconds>(left),
            std::chrono::ceil<milliseconds>(now - it.changed_at)};
    };
    for (const auto& [fingerprint, it] : entries_)
        if (verdict_of(it, now) != crash_verdict::harmless)
            all.push_back({it.changed_at, report_of(fingerprint, it)});
    std::ranges::sort(all, std::ranges::greater{}, &candidate::changed_at);
    all.resize(std::min(all.size(), max_reports));
    std::vector<crash_report> out;
    std::ranges::transform(all, std::back_inserter(out), &candidate::report);
    return out;
}

std::size_t crash_ledger::count(crash_verdict verdict, instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        entries_, [verdict, now](const auto& one)
        { return verdict_of(one.second, now) == verdict; }));
}

} // namespace mimosacroft::gateway
