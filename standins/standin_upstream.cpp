// A small stand-in of an upstream server. Answers subqueries for any shard with
// a result that states what was asked, so that a caller can check it. Its
// behaviour is changed by POST /standin/faults.
#include "mimosacroft/base/crypto.hpp"
#include "mimosacroft/base/time.hpp"
#include "mimosacroft/daemon/serve.hpp"
#include "mimosacroft/daemon/settings.hpp"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

namespace
{

using namespace mimosacroft;
using daemon::setting_kind;
using nlohmann::json;

const daemon::program this_program = {
    "standin-upstream",
    "A stand-in of an upstream server",
    {
        {.name = "name", .help = "name of the server", .required = true},
        {.name = "http-address",
         .kind = setting_kind::address,
         .help = "address to listen on",
         .required = true},
        {.name = "slots",
         .kind = setting_kind::number,
         .fallback = "2",
         .help = "requests at once; more are refused",
         .least = 1,
         .most = 1000},
        {.name = "service-ms",
         .kind = setting_kind::number,
         .fallback = "2",
         .help = "time to serve one request",
         .most = 60'000},
        {.name = "seed",
         .kind = setting_kind::number,
         .fallback = "1",
         .help = "seed of the random choices"},
    }};

constexpr std::size_t max_counted = 20'000;

struct faults
{
    std::uint64_t slow_ms = 0;      ///< added to a slow request
    double slow_share = 0;          ///< share of requests that are slow
    double fail_share = 0;          ///< share answered at once with status 500
    bool leaving = false;           ///< announces it and refuses new work
    bool shedding = false;          ///< refuses before start
    std::string answer;             ///< "", rubbish, half, no_epoch,
                                    ///< wrong_epoch, wrong_shard, twice, and
                                    ///< short or cut: a content-length too
                                    ///< small or too large
    std::uint64_t oldest_epoch = 0; ///< epochs held, both ends included
    std::uint64_t newest_epoch = UINT64_MAX;
    double load = -1; ///< reported load; own when negative
};

wire::http_reply reply(unsigned status, const json& body)
{
    wire::http_reply out;
    out.status = status;
    out.headers["content-type"] = "application/json";
    out.body = body.dump();
    return out;
}

class server
{
public:
    explicit server(const daemon::settings& s)
        : name_(s.text("name")), slots_(s.number("slots")),
          service_(s.number("service-ms")), random_(s.number("seed")),
          incarnation_(base::to_hex(base::random_bytes(8)))
    {
    }

    wire::http_reply handle(const wire::http_request& request)
    {
        if (request.path == "/v1/subqueries" && request.method == "POST")
            return subqueries(request);
        if (request.path == "/v1/cancel" && request.method == "POST")
            return cancel(request);
        if (request.path == "/v1/health")
            return health();
        if (request.path == "/standin/faults")
            return set_faults(request);
        if (request.path == "/standin/stats")
            return stats();
        return reply(404, {{"error", "no such path"}});
    }

private:
    wire::http_reply subqueries(const wire::http_request& request)
    {
        const auto in = json::parse(request.body, nullptr, false);
        if (!in.is_object() || !in.contains("subqueries"))
            return reply(400, {{"error", "no subqueries"}});
        std::unique_lock lock(mutex_);
        if (faults_.leaving || faults_.shedding || running_ >= slots_)
        {
            ++refused_;
            return reply(503,
                         {{"refused", faults_.leaving ? "leaving" : "overload"},
                          {"leaving", faults_.leaving},
                          {"incarnation", incarnation_}});
        }
        if (draw() < faults_.fail_share)
            return reply(500, {{"error", "failed"}});
        ++running_;
        most_running_ = std::max(most_running_, running_);
        auto time = service_;
        if (draw() < faults_.slow_share)
            time += base::milliseconds(faults_.slow_ms);
        for (const auto& it : in["subqueries"])
            count_run(it.value("search", "") + " " + it.value("shard", "") +
                      " " + it.value("body", ""));
        served_ += in["subqueries"].size();
        const auto ids = ids_of(in);
        const auto due = std::chrono::steady_clock::now() + time;
        canceled_.wait_until(lock, due, [&] { return all_canceled(ids); });
        for (const auto& id : ids)
            canceled_ids_.erase(id);
        --running_;
        return answer(in);
    }

    // Counts up to max_counted different runs, enough for a test of duplicates.
    void count_run(const std::string& what)
    {
        if (runs_.size() < max_counted || runs_.contains(what))
            ++runs_[what];
    }

    static std::vector<std::string> ids_of(const json& in)
    {
        std::vector<std::string> out;
        for (const auto& it : in["subqueries"])
            out.push_back(it.value("id", ""));
        return out;
    }

    bool all_canceled(const std::vector<std::string>& ids) const
    {
        return std::ranges::all_of(ids, [this](const auto& id)
                                   { return canceled_ids_.contains(id); });
    }

    wire::http_reply cancel(const wire::http_request& request)
    {
        const auto in = json::parse(request.body, nullptr, false);
        if (!in.is_object() || !in.contains("ids"))
            return reply(400, {{"error", "no ids"}});
        const std::lock_guard lock(mutex_);
        for (const auto& id : in["ids"])
            canceled_ids_[id.get<std::string>()] = true;
        canceled_.notify_all();
        return reply(200, {{"ok", true}});
    }

    // Called with the mutex held.
    wire::http_reply answer(const json& in)
    {
        auto answers = json::array();
        for (const auto& it : in["subqueries"])
        {
            answers.push_back(answer_one(it));
            if (faults_.answer == "twice")
                answers.push_back(answers.back());
        }
        auto out = reply(200, {{"incarnation", incarnation_},
                               {"leaving", faults_.leaving},
                               {"load", load()},
                               {"answers", answers}});
        if (faults_.answer == "rubbish")
            out.body = "\x01not an answer\xff";
        if (faults_.answer == "half")
            out.body.resize(out.body.size() / 2);
        if (faults_.answer == "short")
            out.headers["content-length"] = std::to_string(out.body.size() / 2);
        if (faults_.answer == "cut")
            out.headers["content-length"] = std::to_string(out.body.size() * 2);
        return out;
    }

    json answer_one(const json& it) const
    {
        const auto epoch = it.value("epoch", std::uint64_t{0});
        json out = {{"id", it.value("id", "")},
                    {"shard", it.value("shard", "")},
                    {"epoch", epoch},
                    {"status", "ok"}};
        if (epoch < faults_.oldest_epoch || epoch > faults_.newest_epoch)
        {
            out["status"] =
                epoch < faults_.oldest_epoch ? "no_longer" : "not_yet";
            return out;
        }
        out["result"] = {{"shard", it.value("shard", "")},
                         {"epoch", epoch},
                         {"server", name_},
                         {"echo", it.value("body", "")}};
        if (faults_.answer == "no_epoch")
            out.erase("epoch");
        if (faults_.answer == "wrong_epoch")
            out["epoch"] = epoch + 1;
        if (faults_.answer == "wrong_shard")
            out["shard"] = "another";
        return out;
    }

    double load() const
    {
        return faults_.load >= 0 ? faults_.load
                                 : static_cast<double>(running_) /
                                       static_cast<double>(slots_);
    }

    wire::http_reply health()
    {
        const std::lock_guard lock(mutex_);
        return reply(200, {{"incarnation", incarnation_},
                           {"leaving", faults_.leaving},
                           {"load", load()}});
    }

    wire::http_reply set_faults(const wire::http_request& request)
    {
        const auto in = json::parse(request.body, nullptr, false);
        if (!in.is_object())
            return reply(400, {{"error", "an object is needed"}});
        const std::lock_guard lock(mutex_);
        auto& f = faults_;
        f.slow_ms = in.value("slow_ms", f.slow_ms);
        f.slow_share = in.value("slow_share", f.slow_share);
        f.fail_share = in.value("fail_share", f.fail_share);
        f.leaving = in.value("leaving", f.leaving);
        f.shedding = in.value("shedding", f.shedding);
        f.answer = in.value("answer", f.answer);
        f.oldest_epoch = in.value("oldest_epoch", f.oldest_epoch);
        f.newest_epoch = in.value("newest_epoch", f.newest_epoch);
        f.load = in.value("load", f.load);
        return reply(200, {{"ok", true}});
    }

    wire::http_reply stats()
    {
        const std::lock_guard lock(mutex_);
        const auto most = std::ranges::max_element(runs_, {}, [](const auto& it)
                                                   { return it.second; });
        return reply(200,
                     {{"served", served_},
                      {"refused", refused_},
                      {"most_running", most_running_},
                      {"slots", slots_},
                      {"most_runs", most == runs_.end() ? 0 : most->second}});
    }

    double draw() { return std::uniform_real_distribution(0.0, 1.0)(random_); }

    const std::string name_;
    const std::uint64_t slots_;
    const base::milliseconds service_;
    std::mutex mutex_; // guards all below
    std::mt19937_64 random_;
    const std::string incarnation_;
    std::condition_variable canceled_;
    std::map<std::string, bool> canceled_ids_;
    std::map<std::string, std::uint64_t> runs_; ///< by search, shard and body
    faults faults_;
    std::uint64_t running_ = 0;
    std::uint64_t most_running_ = 0;
    std::uint64_t served_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    const auto settings = daemon::settings_or_exit(this_program, argc, argv);
    const auto signals = daemon::block_stop_signals();
    server it(settings);
    return daemon::serve_until_signal(
        this_program.name, settings.text("http-address"), signals,
        [&it](const wire::http_request& request) { return it.handle(request); },
        [] {});
}
