// A model of one upstream server.
#include "mimosacroft/load/model_server.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace mimosacroft::load
{

namespace
{

constexpr unsigned status_failed = 500;
constexpr unsigned status_unavailable = 503;

/// Time in which a call is refused or fails.
constexpr base::microseconds refusal_time{100};

nlohmann::json to_json(const query::upstream_result& it)
{
    nlohmann::json out = {{"id", it.id},
                          {"shard", it.shard},
                          {"status", base::name_of(it.status)}};
    if (it.epoch)
        out["epoch"] = *it.epoch;
    if (!it.payload.empty())
        out["result"] = nlohmann::json::parse(it.payload);
    return out;
}

// States all that was asked, so that whoever gets it can check it.
std::string payload_of(const query::upstream_subquery& it)
{
    const nlohmann::json out = {
        {"shard", it.shard}, {"epoch", it.epoch}, {"echo", it.body}};
    return out.dump();
}

} // namespace

base::result<std::vector<query::upstream_subquery>>
decode_subqueries(const std::string& body)
{
    try
    {
        std::vector<query::upstream_subquery> out;
        const auto in = nlohmann::json::parse(body);
        for (const auto& it : in.at("subqueries"))
            out.push_back({it.at("id"), it.at("search"), it.at("epoch"),
                           it.at("shard"), it.at("deadline_ms"),
                           it.at("body")});
        return out;
    }
    catch (const nlohmann::json::exception& ex)
    {
        return base::fail(base::error_code::invalid, base::step::receive, "",
                          ex.what());
    }
}

std::string encode_reply(const query::upstream_reply& reply)
{
    auto answers = nlohmann::json::array();
    std::ranges::transform(reply.results, std::back_inserter(answers), to_json);
    nlohmann::json out = {{"incarnation", reply.incarnation},
                          {"leaving", reply.leaving},
                          {"answers", std::move(answers)}};
    if (reply.load)
        out["load"] = *reply.load;
    return out.dump();
}

model_server::model_server(std::string name, server_traits traits,
                           std::uint64_t seed)
    : name_(std::move(name)), traits_(traits), random_(seed)
{
}

bool model_server::draw(double share)
{
    return share > 0 &&
           std::uniform_real_distribution(0.0, 1.0)(random_) < share;
}

double model_server::load() const
{
    return traits_.stated_load.value_or(static_cast<double>(running_) /
                                        static_cast<double>(traits_.slots));
}

model_server::taken
model_server::begin(std::uint64_t id,
                    const std::vector<query::upstream_subquery>& subqueries)
{
    ++calls_;
    if (draw(traits_.fail_share))
    {
        open_[id] = verdict::fail;
        return {false, refusal_time};
    }
    if (running_ >= traits_.slots)
    {
        ++over_slots_;
        open_[id] = verdict::refuse;
        return {false, refusal_time};
    }
    open_[id] = verdict::serve;
    ++running_;
    subqueries_ += subqueries.size();
    const bool slow = std::ranges::any_of(subqueries, [this](const auto&)
                                          { return draw(traits_.slow_share); });
    const auto time =
        traits_.service +
        traits_.each * static_cast<std::int64_t>(subqueries.size()) +
        (slow ? traits_.slow : base::microseconds(0));
    return {true, time};
}

std::optional<wire::http_reply>
model_server::finish(std::uint64_t id,
                     const std::vector<query::upstream_subquery>& subqueries)
{
    const auto it = open_.find(id);
    if (it == open_.end())
        return std::nullopt;
    const auto what = it->second;
    open_.erase(it);
    wire::http_reply out;
    if (what == verdict::fail)
    {
        out.status = status_failed;
        return out;
    }
    if (what == verdict::refuse)
    {
        out.status = status_unavailable;
        out.body = R"({"refused":"overload"})";
        return out;
    }
    query::upstream_reply reply;
    reply.incarnation = name_;
    reply.load = load();
    --running_;
    for (const auto& asked : subqueries)
        reply.results.push_back(answer(asked));
    out.body = encode_reply(reply);
    return out;
}

query::upstream_result
model_server::answer(const query::upstream_subquery& it) const
{
    using query::upstream_status;
    query::upstream_result out{
        it.id, it.shard, it.epoch, upstream_status::ok, {}};
    if (it.epoch < traits_.oldest_epoch)
        out.status = upstream_status::no_longer;
    else if (it.epoch > traits_.newest_epoch)
        out.status = upstream_status::not_yet;
    else
        out.payload = payload_of(it);
    return out;
}

void model_server::cancel(std::uint64_t id)
{
    const auto it = open_.find(id);
    if (it == open_.end())
        return;
    if (it->second == verdict::serve)
        --running_;
    open_.erase(it);
}

} // namespace mimosacroft::load
