// The root of queries.
#include "mimosacroft/query/root.hpp"

#include <algorithm>

namespace mimosacroft::query
{

namespace
{

/// A forward goes to a relay and from there to an owner, at most.
constexpr std::uint8_t max_hops = 2;

// Selects a shard by a key; the same for every VM and library.
std::size_t shard_of_key(const std::string& key, std::size_t shards)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char c : key)
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    return hash % shards;
}

} // namespace

root::root(const fleet::agent& fleet, query::scatter& scatter)
    : fleet_(fleet), scatter_(scatter)
{
}

void root::reject(const search_request& request, std::string why)
{
    search_answer out;
    out.ticket = request.ticket;
    out.search = request.search;
    out.trace = request.trace;
    out.error = std::move(why);
    answers_.push_back(std::move(out));
}

std::vector<wire::shard_task>
root::tasks_of(const model::search& search, const model::index& index,
               const search_request& request) const
{
    const auto& own = fleet_.options().data_centre;
    const auto is_near = [&](const std::string& name)
    {
        const auto* it = fleet_.catalog().find_upstream(name);
        return it && it->data_centre == own;
    };
    const auto task_of = [&](std::size_t n)
    {
        const auto& shard = index.shards[n];
        const auto near = std::ranges::find_if(shard.upstreams, is_near);
        return wire::shard_task{
            static_cast<std::uint32_t>(n), shard.name,
            near == shard.upstreams.end() ? shard.upstreams.front() : *near};
    };
    std::vector<wire::shard_task> out;
    if (search.scope == model::scope::one)
        out.push_back(
            task_of(shard_of_key(request.routing_key, index.shards.size())));
    else
        for (std::size_t n = 0; n < index.shards.size(); ++n)
            out.push_back(task_of(n));
    return out;
}

void root::start(search_request request, base::instant now, core::effects& out)
{
    const auto* search = fleet_.catalog().find_search(request.search);
    if (!search)
        return reject(request, "no search has the name " + request.search);
    const auto* index = fleet_.catalog().find_index(search->index);
    if (!index)
        return reject(request, "no index has the name " + search->index);
    const base::milliseconds most(search->max_deadline_ms);
    const auto deadline = request.deadline.value_or(
        base::milliseconds(search->default_deadline_ms));
    if (deadline <= base::milliseconds(0) || deadline > most)
        return reject(request,
                      "deadline_ms: found " + std::to_string(deadline.count()) +
                          ", allowed is 1 to " + std::to_string(most.count()));
    if (search->scope == model::scope::one && request.routing_key.empty())
        return reject(request, "routing_key is missing; the search " +
                                   search->name + " goes to one shard");

    open_query made;
    made.started = now;
    made.answer.ticket = request.ticket;
    made.answer.search = request.search;
    made.answer.trace = request.trace;
    made.answer.epoch = index->epoch;
    made.answer.least_coverage =
        request.least_coverage.value_or(search->least_coverage);
    made.tasks = tasks_of(*search, *index, request);

    scatter_job job;
    job.tasks = made.tasks;
    job.deadline = now + deadline;
    job.request.query = {fleet_.options().incarnation, ++last_query_};
    job.request.search = request.search;
    job.request.epoch = index->epoch;
    job.request.priority = static_cast<std::uint8_t>(request.priority);
    job.request.repeatable = search->repeatable;
    job.request.hops_left = max_hops;
    job.request.trace = request.trace;
    job.request.body = request.body;
    made.request = std::move(request);
    const auto id = scatter_.start(std::move(job), now, out);
    open_.emplace(id, std::move(made));
}

bool root::on_scattered(scatter_result& result, base::instant now,
                        core::effects& out)
{
    const auto it = open_.find(result.job);
    if (it == open_.end())
        return false;
    auto& query = it->second;
    auto& answer = query.answer;
    for (std::size_t n = 0; n < result.reports.size(); ++n)
    {
        auto& report = result.reports[n];
        answer.extra_attempts += report.extra_attempts;
        const auto& name = query.tasks[n].name;
        if (report.included)
            answer.included.push_back({name, std::move(report.payload)});
        else
            answer.lacking.push_back(
                {name,
                 base::value_at<model::lack_reason>(report.lack)
                     .value_or(model::lack_reason::bad_answer),
                 report.maybe_run});
    }
    answer.outcome = decide_outcome(answer);
    answer.took = now - query.started;
    answer.spans = std::move(result.spans);
    if (!answer.lacking.empty())
        answer.error =
            std::to_string(answer.lacking.size()) + " of " +
            std::to_string(answer.lacking.size() + answer.included.size()) +
            " shards are lacking";
    out.emplace_back(core::log_event{
        core::event_id::query_finished,
        {{"search", answer.search},
         {"outcome", std::string(base::name_of(answer.outcome))},
         {"epoch", std::to_string(answer.epoch)},
         {"lacking", std::to_string(answer.lacking.size())},
         {"ms", std::to_string(base::to_ms(answer.took))},
         {"trace", answer.trace}}});
    answers_.push_back(std::move(answer));
    open_.erase(it);
    return true;
}

std::vector<search_answer> root::take_answers()
{
    return std::exchange(answers_, {});
}

} // namespace mimosacroft::query
