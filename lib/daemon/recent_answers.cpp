// What the answers of the last minute say.
#include "mimosacroft/daemon/recent_answers.hpp"

#include <algorithm>

namespace mimosacroft::daemon
{

namespace
{

/// The name of the span of a call to a server.
constexpr std::string_view call_span = "upstream";

base::duration quantile(const std::vector<base::duration>& sorted, double q)
{
    if (sorted.empty())
        return {};
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(q * last)];
}

} // namespace

void recent_answers::add(const query::search_answer& answer, base::instant now)
{
    kept made{now, answer.outcome, answer.took, {}, {}};
    for (const auto& it : answer.lacking)
        made.lacking.push_back(it.name);
    for (const auto& it : answer.spans)
        if (it.name == call_span)
            made.calls.emplace_back(it.peer, base::microseconds(it.length_us));
    kept_.push_back(std::move(made));
    while (kept_.size() > max_kept || kept_.front().at + window < now)
        kept_.pop_front();
}

recent_summary recent_answers::summary(base::instant now) const
{
    recent_summary out;
    std::vector<base::duration> times;
    std::map<std::string, server_time> servers;
    for (const auto& it : kept_)
    {
        if (it.at + window < now)
            continue;
        if (times.empty())
            out.covers = now - it.at;
        times.push_back(it.took);
        ++out.outcomes[it.outcome];
        for (const auto& shard : it.lacking)
            ++out.lacking[shard];
        for (const auto& [server, took] : it.calls)
        {
            auto& sum = servers[server];
            sum.server = server;
            sum.mean += took;
            ++sum.calls;
        }
    }
    out.answers = times.size();
    std::ranges::sort(times);
    out.median = quantile(times, 0.5);
    out.p99 = quantile(times, 0.99);
    for (auto& [name, it] : servers)
    {
        it.mean /= static_cast<std::int64_t>(it.calls);
        out.slowest.push_back(it);
    }
    std::ranges::sort(out.slowest, std::ranges::greater{}, &server_time::mean);
    if (out.slowest.size() > max_servers)
        out.slowest.resize(max_servers);
    return out;
}

} // namespace mimosacroft::daemon
