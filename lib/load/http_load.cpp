// Sends searches over HTTP, checks every answer and reports latency, coverage
// and outcomes.
#include "mimosacroft/load/http_load.hpp"

#include "mimosacroft/base/text.hpp"
#include "mimosacroft/load/measurement.hpp"
#include "mimosacroft/net/blocking_http.hpp"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace mimosacroft::load
{

namespace
{

using daemon::setting_kind;
using nlohmann::json;

const daemon::program run_program = {
    "mimosa-load run",
    "Sends searches and reports latency, coverage and outcomes",
    {
        {.name = "servers",
         .fallback = "127.0.0.1:8080",
         .help = "addresses of entry VMs, separated by commas"},
        {.name = "search", .help = "name of the search", .required = true},
        {.name = "token",
         .help = "the caller's token",
         .required = true,
         .secret = true},
        {.name = "requests",
         .kind = setting_kind::number,
         .fallback = "1000",
         .help = "requests in all",
         .least = 1,
         .most = 10'000'000},
        {.name = "clients",
         .kind = setting_kind::number,
         .fallback = "8",
         .help = "requests at once",
         .least = 1,
         .most = 200},
        {.name = "deadline-ms",
         .kind = setting_kind::number,
         .fallback = "300",
         .help = "deadline of a request",
         .least = 1,
         .most = 60'000},
        {.name = "json",
         .kind = setting_kind::flag,
         .fallback = "false",
         .help = "print the report as JSON"},
    }};

constexpr base::milliseconds reply_slack{2000};

struct report
{
    std::mutex mutex; // guards all below
    std::vector<double> ms;
    std::map<std::string, std::uint64_t> outcomes;
    std::uint64_t included = 0;
    std::uint64_t shards = 0;
    std::uint64_t extra = 0;
    std::uint64_t wrong = 0;
};

// Whether an answer is the one to this request: each result must echo it and
// state the answer's epoch and its own shard, and the counts must agree.
bool is_true_answer(const json& answer, const std::string& query)
{
    const auto& coverage = answer["coverage"];
    const auto& results = answer["results"];
    if (results.size() != coverage["included"].get<std::size_t>() ||
        results.size() + coverage["lacking"].size() !=
            coverage["of"].get<std::size_t>())
        return false;
    const auto fits = [&](const json& it)
    {
        const auto& result = it["result"];
        return result.value("echo", "") == query &&
               result.value("shard", "") == it.value("shard", "") &&
               result["epoch"] == answer["epoch"];
    };
    return std::all_of(results.begin(), results.end(), fits);
}

void take(report& all, const base::result<wire::http_reply>& reply,
          const std::string& query, double ms)
{
    const std::lock_guard lock(all.mutex);
    if (!reply)
    {
        ++all.outcomes["error: " +
                       std::string(base::name_of(reply.error().code))];
        return;
    }
    const auto answer = json::parse(reply->body, nullptr, false);
    if (!answer.is_object() || !answer.contains("outcome"))
    {
        ++all.outcomes["error: unreadable"];
        return;
    }
    all.ms.push_back(ms);
    ++all.outcomes[answer["outcome"].get<std::string>()];
    if (!answer.contains("coverage"))
        return;
    all.included += answer["coverage"]["included"].get<std::uint64_t>();
    all.shards += answer["coverage"]["of"].get<std::uint64_t>();
    all.extra += answer.value("extra_attempts", std::uint64_t{0});
    if (!is_true_answer(answer, query))
        ++all.wrong;
}

void send_some(const daemon::settings& s, std::atomic<std::int64_t>& left,
               std::size_t client, report& all)
{
    const auto servers = base::split(s.text("servers"), ',');
    const base::milliseconds deadline(s.number("deadline-ms"));
    std::vector<net::kept_connection> connections;
    for (const auto& it : servers)
        connections.emplace_back(it);
    for (std::size_t n = 0; left-- > 0; ++n)
    {
        const auto query = std::to_string(client) + "-" + std::to_string(n);
        wire::http_request request;
        request.method = "POST";
        request.path = "/v1/searches/" + s.text("search");
        request.headers["authorization"] = "Bearer " + s.text("token");
        request.body =
            json{{"query", query}, {"deadline_ms", deadline.count()}}.dump();
        const auto start = std::chrono::steady_clock::now();
        auto& to = connections[(client + n) % connections.size()];
        const auto reply = to.exchange(request, deadline + reply_slack);
        const auto took = std::chrono::steady_clock::now() - start;
        take(all, reply, json(query).dump(), base::to_seconds(took) * 1000);
    }
}

json to_json(report& all)
{
    const auto seen = latency_curve(all.ms);
    return {{"requests", all.ms.size()},
            {"p50_ms", latency_at(seen, 0.5)},
            {"p95_ms", latency_at(seen, 0.95)},
            {"p99_ms", latency_at(seen, 0.99)},
            {"p999_ms", latency_at(seen, 0.999)},
            {"coverage", all.shards == 0 ? 0.0
                                         : static_cast<double>(all.included) /
                                               static_cast<double>(all.shards)},
            {"extra_load", all.shards == 0
                               ? 0.0
                               : static_cast<double>(all.extra) /
                                     static_cast<double>(all.shards)},
            {"wrong_answers", all.wrong},
            {"outcomes", all.outcomes}};
}

void print(const json& it)
{
    for (const auto& [key, value] : it.items())
        std::cout << key << ": " << value.dump() << "\n";
}

} // namespace

const daemon::program& load_program()
{
    return run_program;
}

int run_load(const daemon::settings& s)
{
    report all;
    std::atomic<std::int64_t> left(
        static_cast<std::int64_t>(s.number("requests")));
    std::vector<std::thread> clients;
    for (std::size_t n = 0; n < s.number("clients"); ++n)
        clients.emplace_back([&, n] { send_some(s, left, n, all); });
    for (auto& it : clients)
        it.join();
    const auto out = to_json(all);
    if (s.flag("json"))
        std::cout << out.dump(2) << "\n";
    else
        print(out);
    return all.wrong == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace mimosacroft::load
