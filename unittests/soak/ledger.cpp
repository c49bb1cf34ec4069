// What callers and servers saw during a soak.
#include "ledger.hpp"

#include "mimosacroft/base/stable_hash.hpp"
#include "mimosacroft/gateway/merge.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <ranges>

namespace mimosacroft::tests
{

namespace
{

using base::instant;
using base::milliseconds;

constexpr int records_per_shard = 4;
// A caller waits this much longer than its deadline: the machine may be busy.
constexpr milliseconds lateness{1'000};
// Every VM knows of a leaving server after this.
constexpr milliseconds leaving_known_after{3'000};
// What a fault has delayed is made up for within this.
constexpr milliseconds recovery_time{4'000};
// Each VM has had an answer with the limit of a server by then.
constexpr milliseconds limit_known_after{4'000};
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_failed = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_timed_out = 504;

// Not by the code under test.
std::string greatest_records(const std::string& all, std::size_t most)
{
    std::vector<std::string> records;
    for (std::size_t at = 0; at < all.size(); at += gateway::record_bytes)
        records.push_back(all.substr(at, gateway::record_bytes));
    std::ranges::sort(records, std::ranges::greater{});
    std::string out;
    for (const auto& it : records | std::views::take(most))
        out += it;
    return out;
}

bool meets_any(const std::map<std::size_t, std::vector<time_span>>& all,
               const caller_record& it)
{
    const auto found = all.find(it.vm);
    return found != all.end() &&
           std::ranges::any_of(found->second, [&it](const time_span& span)
                               { return span.meets(it.sent, it.ended); });
}

} // namespace

std::string records_of(const std::string& service)
{
    std::string out;
    for (int n = 0; n < records_per_shard; ++n)
    {
        char buf[gateway::record_bytes + 1];
        std::snprintf(buf, sizeof(buf), "%016llx",
                      static_cast<unsigned long long>(
                          base::stable_hash({service, std::to_string(n)})));
        out += buf;
    }
    return out;
}

std::string signature_of(const std::string& server, const std::string& request,
                         const std::string& service)
{
    return server + "." + request + "." + service;
}

std::string body_of(const std::string& request)
{
    return "answer to " + request;
}

bool ledger::was_gone(const caller_record& it) const
{
    return meets_any(vm_gone, it);
}

bool ledger::was_disturbed(const caller_record& it) const
{
    return was_gone(it) || meets_any(vm_paused, it);
}

std::string ledger::check_merged(const caller_record& it) const
{
    const auto& shards = it.search->shards;
    std::set<std::string> seen;
    std::string all;
    for (const auto& service : shards)
        for (const auto& signature : it.answer->signatures)
            if (signature.ends_with("." + it.id + "." + service) &&
                issued.contains(signature) && seen.insert(signature).second)
                all += records_of(service);
    if (seen.size() != it.answer->signatures.size())
        return "holds a signature of no server, or one twice";
    if (seen.size() + it.answer->missing != shards.size())
        return "hides that shards are missing";
    if (static_cast<double>(seen.size()) <
        it.search->min_coverage * static_cast<double>(shards.size()))
        return "covers too few shards";
    if (it.answer->body != greatest_records(all, it.search->max_records))
        return "holds the wrong records";
    return {};
}

std::string ledger::check_single(const caller_record& it) const
{
    const auto& all = it.answer->signatures;
    if (all.size() != 1 || !issued.contains(all.front()) ||
        all.front().find("." + it.id + ".") == std::string::npos)
        return "has no signature of a server for it";
    if (it.answer->body != body_of(it.id))
        return "has the wrong body";
    return {};
}

std::string ledger::check_answer(const caller_record& it) const
{
    switch (it.answer->status)
    {
    case status_ok:
        if (!it.search)
            return {};
        return it.search->is_scattered() ? check_merged(it) : check_single(it);
    case status_not_found:
        return it.search ? "says that its search is unknown" : "";
    case status_failed:
    case status_unavailable:
    case status_timed_out:
    case 500: // a server's own
        return {};
    default:
        return "has the status " + std::to_string(it.answer->status);
    }
}

std::string ledger::check_ending(const caller_record& it) const
{
    if (!it.answer && !it.broken && !was_disturbed(it))
        return "had no answer";
    if (it.broken && !was_gone(it))
        return "was refused or cut off by a VM that was there";
    const auto took = it.ended - it.sent;
    const auto most = it.search ? it.search->timeout : milliseconds(2'000);
    if (it.answer && took > most + lateness && !was_disturbed(it))
        return "was answered after " + std::to_string(base::to_ms(took)) +
               " ms";
    return {};
}

// Requests that run once at most, refusals that say "not run", and the most
// servers that a part may be sent to.
void ledger::check_runs(std::vector<std::string>& out) const
{
    // Servers by request and service.
    std::map<std::string, std::map<std::string, std::set<std::string>>> used;
    std::map<std::string, std::size_t> runs;
    for (const auto& it : arrivals)
    {
        if (!ended_servers.contains(it.server))
            used[it.request][it.service].insert(it.server);
        runs[it.request] += it.ran ? 1 : 0;
    }
    for (const auto& it : callers)
    {
        const auto n = runs.contains(it.id) ? runs.at(it.id) : 0;
        if (it.search && !it.search->is_idempotent() && n > 1)
            out.push_back(it.id + " ran " + std::to_string(n) + " times");
        if (it.answer && it.answer->guarantees_not_executed() && n > 0)
            out.push_back(it.id + " was said not to have run, and had");
        if (!it.search || !used.contains(it.id))
            continue;
        for (const auto& [service, all] : used.at(it.id))
            if (all.size() > it.search->max_attempts)
                out.push_back(it.id + " came to " + std::to_string(all.size()) +
                              " servers of " + service);
    }
}

// In no window there are more extra arrivals than the share of the requests
// there or just before, and the constant; a VM that starts has its own anew.
std::string ledger::check_windows(const std::string& service,
                                  const std::vector<arrival_record>& all) const
{
    std::set<std::string> known;
    std::vector<instant> first;
    std::vector<instant> extra;
    for (const auto& it : all)
        (known.insert(it.request).second ? first : extra).push_back(it.at);
    const auto count =
        [](const std::vector<instant>& times, instant from, instant to)
    {
        return static_cast<double>(std::ranges::count_if(
            times, [from, to](instant at) { return at >= from && at < to; }));
    };
    const auto window = budget.window;
    for (const auto end : extra)
    {
        const auto from = end - window;
        const auto starts = count(vm_starts, from - window, end);
        const auto granted = budget.slack + starts * budget.slack /
                                                static_cast<double>(fleet_size);
        const auto requests = std::max(
            {count(first, from, end), count(first, from - window, end - window),
             count(first, from - window / 2, end - window / 2)});
        const auto n = count(extra, from, end);
        if (n > budget.ratio * requests + granted + 1)
            return service + ": " + std::to_string(n) + " extra arrivals, " +
                   std::to_string(requests) + " requests";
    }
    return {};
}

void ledger::check_budget(std::vector<std::string>& out) const
{
    std::map<std::string, std::vector<arrival_record>> by_service;
    for (const auto& it : arrivals)
        by_service[it.service].push_back(it);
    for (const auto& [service, all] : by_service)
        if (auto text = check_windows(service, all); !text.empty())
            out.push_back(std::move(text));
}

bool ledger::had_trouble(instant from, instant to) const
{
    return std::ranges::any_of(trouble, [from, to](const time_span& it)
                               { return it.meets(from - recovery_time, to); });
}

void ledger::check_probes(std::vector<std::string>& out) const
{
    for (const auto& it : probes)
    {
        auto caller = callers.at(it.caller);
        caller.sent = it.written - recovery_time;
        const bool unknown =
            caller.answer && caller.answer->status == status_not_found;
        if (unknown && !was_disturbed(caller) &&
            !had_trouble(it.written, caller.ended))
            out.push_back(caller.id + " at VM " + std::to_string(caller.vm) +
                          " met an old configuration");
    }
}

// A server that is listed as leaving gets nothing new after a while.
void ledger::check_leaving(std::vector<std::string>& out) const
{
    std::vector<time_span> pauses;
    for (const auto& [vm, all] : vm_paused)
        pauses.insert(pauses.end(), all.begin(), all.end());
    for (const auto& it : arrivals)
    {
        const auto found = leaving.find(it.server);
        if (found == leaving.end())
            continue;
        for (const auto& span : found->second)
        {
            const auto known = span.from + leaving_known_after;
            const bool late = it.at > known && it.at < span.to;
            // Either there was no trouble when it had to become known, or
            // there has been none for long enough since.
            const bool excused =
                (had_trouble(span.from, known) &&
                 had_trouble(it.at - leaving_known_after, it.at)) ||
                std::ranges::any_of(pauses,
                                    [&](const time_span& pause)
                                    {
                                        return pause.meets(
                                            it.at - leaving_known_after, it.at);
                                    });
            if (late && !excused)
                out.push_back(it.request + " came to " + it.server +
                              ", which leaves");
        }
    }
}

// No VM was stopped, started or paused.
bool ledger::is_fleet_calm(instant from, instant to) const
{
    const auto meets = [from, to](const auto& spans)
    {
        return std::ranges::any_of(spans.second, [from, to](const auto& it)
                                   { return it.meets(from, to); });
    };
    return std::ranges::none_of(vm_gone, meets) &&
           std::ranges::none_of(vm_paused, meets);
}

// Once the VMs know that a server has a limit, it gets in 4 s no more than one
// and a half times what that allows, and 5 requests.
void ledger::check_limits(std::vector<std::string>& out) const
{
    constexpr base::seconds window{4};
    constexpr auto most = static_cast<std::size_t>(1.5 * soak_limit * 4 + 5);
    for (const auto& [server, spans] : limited)
    {
        std::vector<instant> all;
        for (const auto& it : arrivals)
            if (it.server == server)
                all.push_back(it.at);
        for (const auto& span : spans)
            for (std::size_t n = most; n < all.size(); ++n)
            {
                const auto first = all[n - most];
                const bool within =
                    first >= span.from + limit_known_after && all[n] <= span.to;
                if (within && all[n] - first < window &&
                    is_fleet_calm(first - window, all[n]))
                {
                    out.push_back(server + " got more than its limit");
                    break;
                }
            }
    }
}

// A server that refuses gets few requests of each VM before the VM knows, and
// as few each time that its pause has ended.
void ledger::check_pauses(std::vector<std::string>& out) const
{
    constexpr std::size_t most_at_once = 4;
    std::set<std::size_t> vms;
    for (const auto& it : callers)
        vms.insert(it.vm);
    for (const auto& [server, spans] : refusing)
        for (const auto& span : spans)
        {
            if (!is_fleet_calm(span.from, span.to))
                continue;
            const auto got =
                std::ranges::count_if(arrivals,
                                      [&](const arrival_record& it)
                                      {
                                          return it.server == server &&
                                                 span.from <= it.at &&
                                                 it.at <= span.to;
                                      });
            const auto rounds =
                1 + static_cast<std::size_t>((span.to - span.from) /
                                             base::duration(soak_pause));
            if (static_cast<std::size_t>(got) >
                vms.size() * rounds * most_at_once)
                out.push_back(server + " was sent " + std::to_string(got) +
                              " requests while it wanted none");
        }
}

std::vector<std::string> ledger::check() const
{
    std::vector<std::string> out;
    for (const auto& it : callers)
    {
        auto text = check_ending(it);
        if (text.empty() && it.answer)
            text = check_answer(it);
        if (!text.empty())
            out.push_back(it.id + " at VM " + std::to_string(it.vm) + " " +
                          text);
    }
    check_runs(out);
    check_probes(out);
    check_leaving(out);
    check_limits(out);
    check_pauses(out);
    check_budget(out);
    return out;
}

} // namespace mimosacroft::tests
