// The root of queries.
#include "mimosacroft/query/root.hpp"

#include "mimosacroft/base/stable_hash.hpp"

#include <algorithm>

namespace mimosacroft::query
{

namespace
{

/// A forward goes to a relay and from there to an owner, at most.
constexpr std::uint8_t max_hops = 2;

constexpr std::uint64_t root_span = first_span_id - 1;

bool lacks_for_epoch(const wire::shard_report& it)
{
    return !it.included && it.lack == static_cast<std::uint8_t>(
                                          model::lack_reason::wrong_epoch);
}

bool may_have_run(const wire::shard_report& it)
{
    return it.included || it.maybe_run;
}

// Selects a shard by a key; the same for every VM and library.
std::size_t shard_of_key(const std::string& key, std::size_t shards)
{
    return base::fnv1a(key) % shards;
}

/// A shard that waited longer than this part of the deadline is held up.
constexpr int queue_part = 8;

// Whether a queue at a leaf held a shard up.
bool is_congested(const wire::shard_report& it, base::duration longest_wait)
{
    return it.lack == static_cast<std::uint8_t>(model::lack_reason::overload) ||
           base::microseconds(it.queue_us) > longest_wait;
}

} // namespace

root::root(const fleet::agent& fleet, query::scatter& scatter,
           query::claims& claims, admission_options options)
    : fleet_(fleet), scatter_(scatter), claims_(claims), admission_(options)
{
}

// Ends a request of which nothing ran or will run.
void root::refuse(const search_request& request, model::outcome outcome,
                  std::string why)
{
    auto out = blank_answer(request);
    out.outcome = outcome;
    out.error = std::move(why);
    answers_.push_back(std::move(out));
}

std::vector<std::size_t> root::shards_of(const model::search& search,
                                         const model::index& index,
                                         const search_request& request)
{
    const auto count = index.shards.size();
    if (search.scope == model::scope::one)
        return {shard_of_key(request.routing_key, count)};
    std::vector<std::size_t> out(count);
    std::ranges::generate(out, [n = std::size_t{0}]() mutable { return n++; });
    return out;
}

// Adds a shard to a job: its upstream in this data centre before the others.
void root::add_task(const model::index& index, std::size_t position,
                    scatter_job& job) const
{
    const auto& own = fleet_.options().data_centre;
    const auto is_near = [&](const std::string& name)
    {
        const auto* it = fleet_.catalog().find_upstream(name);
        return it && it->data_centre == own;
    };
    const auto& shard = index.shards[position];
    auto upstreams = shard.upstreams;
    std::ranges::stable_partition(upstreams, is_near);
    job.tasks.push_back(
        {static_cast<std::uint32_t>(position), shard.name, upstreams.front()});
    upstreams.erase(upstreams.begin());
    job.alternatives.push_back(std::move(upstreams));
}

std::optional<std::string> root::problem_of(const search_request& request) const
{
    const auto* search = fleet_.catalog().find_search(request.search);
    if (!search)
        return "no search has the name " + request.search;
    const auto* index = fleet_.catalog().find_index(search->index);
    if (!index)
        return "no index has the name " + search->index;
    const base::milliseconds most(search->max_deadline_ms);
    const auto deadline = request.deadline.value_or(
        base::milliseconds(search->default_deadline_ms));
    if (deadline <= base::milliseconds(0) || deadline > most)
        return "deadline_ms: found " + std::to_string(deadline.count()) +
               ", allowed is 1 to " + std::to_string(most.count());
    const auto& key = request.idempotency_key;
    if (claims_.options().require_dated_keys && !key.empty() &&
        !time_of_key(key))
        return "idempotency_key: found a key without its time, allowed is t, "
               "the seconds since 1970 in 10 digits, - and a text";
    if (search->scope == model::scope::one && request.routing_key.empty())
        return "routing_key is missing; the search " + search->name +
               " goes to one shard";
    return std::nullopt;
}

void root::start(search_request request, base::instant now, core::effects& out)
{
    if (auto problem = problem_of(request))
        return refuse(request, model::outcome::rejected, std::move(*problem));
    const auto* search = fleet_.catalog().find_search(request.search);
    const base::milliseconds most(search->default_deadline_ms);
    if (!admission_.try_open(request.priority))
        return refuse(request, model::outcome::not_run,
                      "the servers are overloaded, nothing ran");
    admitted query;
    query.started = now;
    query.deadline = now + request.deadline.value_or(most);
    query.request = std::move(request);
    if (query.request.idempotency_key.empty())
        run(std::move(query), now, out);
    else
        claim(std::move(query), now, out);
}

void root::claim(admitted query, base::instant now, core::effects& out)
{
    claim_request wanted;
    wanted.name = claim_name(query.request);
    wanted.fingerprint = claim_fingerprint(query.request);
    wanted.created_s = query.request.received_s;
    wanted.key_s = time_of_key(query.request.idempotency_key);
    wanted.deadline = query.deadline;
    query.claim = claims_.acquire(std::move(wanted), now, out);
    claiming_.emplace(query.claim, std::move(query));
}

void root::on_claim(claim_decision& decision, base::instant now,
                    core::effects& out)
{
    auto taken = claiming_.extract(decision.id);
    if (taken.empty())
        return;
    auto& query = taken.mapped();
    if (decision.verdict == claim_verdict::won)
        return run(std::move(query), now, out);
    auto answer = blank_answer(query.request);
    answer.error = std::move(decision.why);
    switch (decision.verdict)
    {
    case claim_verdict::replay:
        answer = std::move(*decision.answer);
        answer.ticket = query.request.ticket;
        answer.search = query.request.search;
        answer.trace = query.request.trace;
        answer.replayed = true;
        break;
    case claim_verdict::unknown:
        answer.outcome = model::outcome::unknown;
        break;
    case claim_verdict::not_run:
        answer.outcome = model::outcome::not_run;
        break;
    case claim_verdict::mismatch:
    case claim_verdict::expired:
    case claim_verdict::won:
        answer.outcome = model::outcome::rejected;
        break;
    }
    if (!answer.replayed)
        out.emplace_back(core::log_event{
            core::event_id::claim_refused,
            {{"search", answer.search},
             {"verdict", std::string(base::name_of(decision.verdict))},
             {"trace", answer.trace}}});
    query.claim = 0;
    finish(query, std::move(answer), now, out);
}

// Pins the epoch that is in force and sends the shards out.
void root::run(admitted query, base::instant now, core::effects& out)
{
    const auto& request = query.request;
    const auto problem =
        now >= query.deadline
            ? std::optional<std::string>("the deadline passed before the start")
            : problem_of(request);
    if (problem)
    {
        auto answer = blank_answer(query.request);
        answer.outcome = query.ran_before ? model::outcome::unknown
                                          : model::outcome::not_run;
        answer.error = *problem;
        return finish(query, std::move(answer), now, out);
    }
    const auto* search = fleet_.catalog().find_search(request.search);
    const auto* index = fleet_.catalog().find_index(search->index);

    open_query made;
    made.answer = blank_answer(query.request);
    made.answer.epoch = index->epoch;
    made.answer.least_coverage =
        request.least_coverage.value_or(search->least_coverage);

    scatter_job job;
    for (const auto n : shards_of(*search, *index, request))
        add_task(*index, n, job);
    made.tasks = job.tasks;
    job.deadline = query.deadline;
    job.request.query = {fleet_.options().incarnation, ++last_query_};
    job.request.search = request.search;
    job.request.epoch = index->epoch;
    job.request.priority = static_cast<std::uint8_t>(request.priority);
    job.request.repeatable = search->repeatable;
    job.request.hops_left = max_hops;
    job.request.parent_span = root_span;
    job.request.trace = request.trace;
    job.request.body = request.body;
    made.admitted = std::move(query);
    const auto id = scatter_.start(std::move(job), now, out);
    open_.emplace(id, std::move(made));
}

// Whether to run the whole query again at a newer epoch. The old answers are
// given up: nothing is merged across epochs.
bool root::may_restart(const open_query& query, const scatter_result& result,
                       base::instant now) const
{
    const auto& it = query.admitted;
    if (it.restarted || std::ranges::none_of(result.reports, lacks_for_epoch))
        return false;
    const bool most_is_left =
        2 * (it.deadline - now) > it.deadline - it.started;
    const auto* search = fleet_.catalog().find_search(it.request.search);
    if (!most_is_left || !search || !search->repeatable)
        return false;
    const auto* index = fleet_.catalog().find_index(search->index);
    return index && index->epoch > query.answer.epoch;
}

void root::restart(open_query& query, const scatter_result& result,
                   base::instant now, core::effects& out)
{
    auto& again = query.admitted;
    again.restarted = true;
    again.ran_before = std::ranges::any_of(result.reports, may_have_run);
    again.extra_attempts = static_cast<std::uint32_t>(result.reports.size());
    for (const auto& it : result.reports)
        again.extra_attempts += it.extra_attempts;
    out.emplace_back(
        core::log_event{core::event_id::query_restarted,
                        {{"search", query.answer.search},
                         {"epoch", std::to_string(query.answer.epoch)},
                         {"trace", query.answer.trace}}});
    run(std::move(again), now, out);
}

// The span of the whole query, above all others.
wire::span root::span_of(const admitted& query, base::instant now) const
{
    wire::span out;
    out.id = root_span;
    out.name = "query";
    out.vm = fleet_.options().vm;
    out.length_us = base::to_us(now - query.started);
    if (query.restarted)
        out.note = "restarted at a newer epoch";
    return out;
}

bool root::on_scattered(scatter_result& result, base::instant now,
                        core::effects& out)
{
    auto taken = open_.extract(result.job);
    if (taken.empty())
        return false;
    auto& query = taken.mapped();
    if (may_restart(query, result, now))
    {
        restart(query, result, now, out);
        return true;
    }
    auto& answer = query.answer;
    const auto longest_wait =
        (query.admitted.deadline - query.admitted.started) / queue_part;
    query.admitted.congested = static_cast<std::size_t>(
        std::ranges::count_if(result.reports, [longest_wait](const auto& it)
                              { return is_congested(it, longest_wait); }));
    const bool ran_before = query.admitted.ran_before;
    answer.extra_attempts = query.admitted.extra_attempts;
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
                 report.maybe_run || ran_before});
    }
    answer.outcome = decide_outcome(answer);
    answer.spans = std::move(result.spans);
    if (!answer.lacking.empty())
        answer.error =
            std::to_string(answer.lacking.size()) + " of " +
            std::to_string(answer.lacking.size() + answer.included.size()) +
            " shards are lacking";
    finish(query.admitted, std::move(answer), now, out);
    return true;
}

void root::finish(const admitted& query, search_answer answer,
                  base::instant now, core::effects& out)
{
    answer.took = now - query.started;
    admission_.close(query.request.priority,
                     answer.included.size() + answer.lacking.size(),
                     query.congested, now);
    answer.spans.insert(answer.spans.begin(), span_of(query, now));
    out.emplace_back(core::log_event{
        core::event_id::query_finished,
        {{"search", answer.search},
         {"outcome", std::string(base::name_of(answer.outcome))},
         {"epoch", std::to_string(answer.epoch)},
         {"lacking", std::to_string(answer.lacking.size())},
         {"ms", std::to_string(base::to_ms(answer.took))},
         {"trace", answer.trace}}});
    if (query.claim == 0)
        answers_.push_back(std::move(answer));
    else
        close_claim(query, std::move(answer), now, out);
}

// Records what the request came to. One that provably did not run gives its
// claim back, so that a re-send may run.
void root::close_claim(const admitted& query, search_answer answer,
                       base::instant now, core::effects& out)
{
    if (answer.outcome != model::outcome::not_run)
    {
        claims_.record(query.claim, answer, now, out);
        answers_.push_back(std::move(answer));
        return;
    }
    claims_.release(query.claim, now, out);
    if (now >= query.deadline)
        answers_.push_back(std::move(answer));
    else
        releasing_.emplace(query.claim,
                           held_answer{std::move(answer), query.deadline});
}

void root::on_claim_closed(std::uint64_t claim)
{
    auto taken = releasing_.extract(claim);
    if (!taken.empty())
        answers_.push_back(std::move(taken.mapped().answer));
}

void root::on_tick(base::instant now)
{
    std::erase_if(releasing_,
                  [&](auto& item)
                  {
                      if (item.second.deadline > now)
                          return false;
                      answers_.push_back(std::move(item.second.answer));
                      return true;
                  });
}

base::instant root::next_wakeup() const
{
    auto out = base::never;
    for (const auto& [claim, it] : releasing_)
        out = std::min(out, it.deadline);
    return out;
}

std::vector<search_answer> root::take_answers()
{
    return std::exchange(answers_, {});
}

} // namespace mimosacroft::query
