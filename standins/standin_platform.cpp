// A small stand-in of the platform's object API: versions, conditional updates,
// waiting reads of changes, and a list of entry VMs that lags. Its faults are
// switched on by POST /standin/faults. Keeps everything in memory, and comes
// back from a copy: {"copy": true} makes one, {"restore": true} uses it.
#include "mimosacroft/base/text.hpp"
#include "mimosacroft/base/utc_time.hpp"
#include "mimosacroft/daemon/serve.hpp"
#include "mimosacroft/daemon/settings.hpp"
#include "mimosacroft/daemon/wall_clock.hpp"
#include "mimosacroft/net/blocking_http.hpp"
#include "mimosacroft/net/http_server.hpp"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace
{

using namespace mimosacroft;
using daemon::setting_kind;
using nlohmann::json;

const daemon::program this_program = {
    "standin-platform",
    "A stand-in of the platform's object API",
    {
        {.name = "http-address",
         .kind = setting_kind::address,
         .fallback = "127.0.0.1:7000",
         .help = "address to listen on"},
        {.name = "vms", .help = "entry VMs: id,data-centre,peer-address;..."},
        {.name = "vm-lag-ms",
         .kind = setting_kind::number,
         .fallback = "1000",
         .help = "a VM's end shows in the list after this",
         .most = 600'000},
    }};

constexpr base::milliseconds probe_period{250};
constexpr base::milliseconds probe_timeout{200};
constexpr std::uint64_t max_wait_ms = 30'000;

struct object
{
    std::string kind;
    std::string name;
    std::uint64_t version = 0;
    bool deleted = false;
    json value;
};

struct vm
{
    std::string id;
    std::string data_centre;
    std::string peer_address;
    bool listed = false;
    bool leaving = false;
    base::instant seen{}; ///< last time it accepted a connection
};

struct faults
{
    bool down = false;          ///< refuses everything
    std::uint64_t delay_ms = 0; ///< answers late
    std::uint64_t lose = 0;  ///< answers to lose, after the write took effect
    bool frozen_vms = false; ///< the list of VMs does not change
    std::int64_t clock_ahead_s = 0; ///< of the dates of its answers
};

wire::http_reply reply(unsigned status, const json& body)
{
    wire::http_reply out;
    out.status = status;
    out.headers["content-type"] = "application/json";
    out.body = body.dump();
    return out;
}

json to_json(const object& it)
{
    json out = {{"kind", it.kind},
                {"name", it.name},
                {"version", it.version},
                {"deleted", it.deleted}};
    if (!it.deleted)
        out["value"] = it.value;
    return out;
}

class store
{
public:
    wire::http_reply object_request(const wire::http_request& request,
                                    const std::string& kind,
                                    const std::string& name)
    {
        std::unique_lock lock(mutex_);
        ++calls_;
        auto it = objects_.find({kind, name});
        const bool exists = it != objects_.end() && !it->second.deleted;
        if (request.method == "GET")
            return exists ? reply(200, with_era(to_json(it->second)))
                          : reply(404, {{"error", "no such object"}});
        const auto match = wire::header_of(request.headers, "if-match");
        const std::uint64_t current = exists ? it->second.version : 0;
        if (match != std::to_string(current))
            return reply(409,
                         {{"error", "another version is current"},
                          {"version", current},
                          {"object", exists ? to_json(it->second) : json()}});
        auto& made = objects_[{kind, name}];
        made = {kind, name, ++version_, request.method == "DELETE", {}};
        newest_[kind] = version_;
        if (request.method == "PUT")
        {
            made.value = json::parse(request.body, nullptr, false);
            if (made.value.is_discarded())
                made.value = request.body;
        }
        changed_.notify_all();
        return reply(200, with_era({{"version", made.version}}));
    }

    wire::http_reply changes(std::uint64_t after, std::uint64_t wait_ms,
                             const std::string& kinds)
    {
        std::unique_lock lock(mutex_);
        ++calls_;
        const auto due = std::chrono::steady_clock::now() +
                         base::milliseconds(std::min(wait_ms, max_wait_ms));
        const auto is_due = [&, era = era_]
        {
            const bool is_of_another_era =
                era != era_ || (era_ > 0 && after > version_);
            return newest(kinds) > after || is_of_another_era || closing_;
        };
        changed_.wait_until(lock, due, is_due);
        auto list = json::array();
        for (const auto& [key, it] : objects_)
            if (it.version > after && wanted(kinds, it.kind))
                list.push_back(to_json(it));
        return reply(200, with_era({{"version", version_}, {"objects", list}}));
    }

    /// Names and versions of a kind's objects, in the order of the names.
    wire::http_reply list(const std::string& kind, std::uint64_t limit)
    {
        const std::lock_guard lock(mutex_);
        ++calls_;
        auto list = json::array();
        for (auto it = objects_.lower_bound({kind, ""});
             it != objects_.end() && it->first.first == kind &&
             list.size() < limit;
             ++it)
            if (!it->second.deleted)
                list.push_back({{"name", it->second.name},
                                {"version", it->second.version}});
        return reply(200, {{"objects", list}});
    }

    /// Calls so far, and the objects that there are, by kind.
    json stats()
    {
        const std::lock_guard lock(mutex_);
        json objects = json::object();
        for (const auto& [key, it] : objects_)
            if (!it.deleted)
                objects[it.kind] = objects.value(it.kind, 0) + 1;
        return {{"calls", calls_}, {"objects", objects}};
    }

    void make_copy()
    {
        const std::lock_guard lock(mutex_);
        copy_ = {objects_, newest_, version_};
    }

    /// Comes back from the copy: later changes are lost, and their versions are
    /// given out again.
    void restore()
    {
        const std::lock_guard lock(mutex_);
        objects_ = copy_.objects;
        newest_ = copy_.newest;
        version_ = copy_.version;
        ++era_;
        since_ = version_;
        changed_.notify_all();
    }

    void close()
    {
        const std::lock_guard lock(mutex_);
        closing_ = true;
        changed_.notify_all();
    }

private:
    using object_map = std::map<std::pair<std::string, std::string>, object>;
    using version_map = std::map<std::string, std::uint64_t>;

    struct content
    {
        object_map objects;
        version_map newest;
        std::uint64_t version = 0;
    };

    json with_era(json body) const
    {
        body.update({{"era", era_}, {"since", since_}});
        return body;
    }

    static bool wanted(const std::string& kinds, const std::string& kind)
    {
        return kinds.empty() ||
               ("," + kinds + ",").find("," + kind + ",") != std::string::npos;
    }

    /// The version of the latest change of any of the wanted kinds.
    std::uint64_t newest(const std::string& kinds) const
    {
        std::uint64_t out = 0;
        for (const auto& [kind, version] : newest_)
            if (wanted(kinds, kind))
                out = std::max(out, version);
        return out;
    }

    std::mutex mutex_; // guards all below
    std::condition_variable changed_;
    object_map objects_;
    version_map newest_; ///< version, by kind
    std::uint64_t version_ = 0;
    std::uint64_t era_ = 0;   ///< how often it came back from a copy
    std::uint64_t since_ = 0; ///< version of the copy it came back from last
    content copy_;
    std::uint64_t calls_ = 0;
    bool closing_ = false;
};

// The list of VMs, which follows their real state with a lag.
class vm_list
{
public:
    vm_list(const std::string& text, base::milliseconds lag) : lag_(lag)
    {
        for (const auto& row : base::split(text, ';'))
        {
            const auto fields = base::split(row, ',');
            if (fields.size() == 3)
                vms_.push_back({fields[0], fields[1], fields[2]});
        }
    }

    void probe_all(bool frozen)
    {
        for (std::size_t n = 0; n < vms_.size(); ++n)
        {
            const bool alive =
                net::accepts_connections(vms_[n].peer_address, probe_timeout);
            const std::lock_guard lock(mutex_);
            const auto now = std::chrono::steady_clock::now();
            auto& it = vms_[n];
            if (alive)
                it.seen = now;
            const bool listed =
                it.seen != base::instant{} && now - it.seen <= lag_;
            if (listed == it.listed || frozen)
                continue;
            it.listed = listed;
            ++version_;
        }
    }

    bool set_leaving(const std::string& id, bool leaving)
    {
        const std::lock_guard lock(mutex_);
        const auto it = std::ranges::find(vms_, id, &vm::id);
        if (it == vms_.end())
            return false;
        it->leaving = leaving;
        ++version_;
        return true;
    }

    /// The list, or only its version if that is `after`.
    json to_json(std::uint64_t after)
    {
        const std::lock_guard lock(mutex_);
        if (after == version_)
            return {{"version", version_}, {"unchanged", true}};
        auto list = json::array();
        for (const auto& it : vms_)
            if (it.listed)
                list.push_back({{"vm", it.id},
                                {"data_centre", it.data_centre},
                                {"peer_address", it.peer_address},
                                {"leaving", it.leaving}});
        return {{"version", version_}, {"vms", list}};
    }

private:
    base::milliseconds lag_;
    std::mutex mutex_;    // guards all below
    std::vector<vm> vms_; ///< its length never changes
    std::uint64_t version_ = 1;
};

class platform
{
public:
    explicit platform(const daemon::settings& s)
        : vms_(s.text("vms"), base::milliseconds(s.number("vm-lag-ms")))
    {
    }

    wire::http_reply handle(const wire::http_request& request)
    {
        if (request.path == "/standin/faults")
            return set_faults(request);
        if (request.path == "/standin/leaving")
            return set_leaving(request);
        if (request.path == "/standin/stats")
            return reply(200, store_.stats());
        const auto now = current_faults();
        if (now.delay_ms > 0)
            std::this_thread::sleep_for(base::milliseconds(now.delay_ms));
        if (now.down)
            return reply(503, {{"error", "down"}});
        auto out = serve(request);
        out.headers["date"] = base::format_http_date(
            daemon::seconds_since_1970() + now.clock_ahead_s);
        if (request.method != "GET" && lose_one())
            return reply(500, {{"error", "answer lost"}});
        return out;
    }

    void probe() { vms_.probe_all(current_faults().frozen_vms); }
    void close() { store_.close(); }

private:
    wire::http_reply serve(const wire::http_request& request)
    {
        const auto parts = base::split(request.path, '/');
        if (request.path == "/v1/changes")
            return store_.changes(number(request, "after"),
                                  number(request, "wait_ms"),
                                  net::query_parameter(request.query, "kinds"));
        if (request.path == "/v1/vms")
            return reply(200, vms_.to_json(number(request, "after")));
        if (parts.size() == 3 && parts[1] == "objects")
            return store_.list(parts[2], number(request, "limit"));
        if (parts.size() == 4 && parts[1] == "objects")
            return store_.object_request(request, parts[2], parts[3]);
        return reply(404, {{"error", "no such path"}});
    }

    static std::uint64_t number(const wire::http_request& request,
                                const std::string& name)
    {
        return std::strtoull(net::query_parameter(request.query, name).c_str(),
                             nullptr, 10);
    }

    wire::http_reply set_faults(const wire::http_request& request)
    {
        const auto in = json::parse(request.body, nullptr, false);
        if (!in.is_object())
            return reply(400, {{"error", "an object is needed"}});
        if (in.value("copy", false))
            store_.make_copy();
        if (in.value("restore", false))
            store_.restore();
        const std::lock_guard lock(mutex_);
        faults_.down = in.value("down", faults_.down);
        faults_.delay_ms = in.value("delay_ms", faults_.delay_ms);
        faults_.lose = in.value("lose", faults_.lose);
        faults_.frozen_vms = in.value("frozen_vms", faults_.frozen_vms);
        faults_.clock_ahead_s =
            in.value("clock_ahead_s", faults_.clock_ahead_s);
        return reply(200, {{"ok", true}});
    }

    wire::http_reply set_leaving(const wire::http_request& request)
    {
        const auto in = json::parse(request.body, nullptr, false);
        const bool known =
            in.is_object() &&
            vms_.set_leaving(in.value("vm", ""), in.value("leaving", true));
        return known ? reply(200, {{"ok", true}})
                     : reply(404, {{"error", "no such VM"}});
    }

    faults current_faults()
    {
        const std::lock_guard lock(mutex_);
        return faults_;
    }

    bool lose_one()
    {
        const std::lock_guard lock(mutex_);
        if (faults_.lose == 0)
            return false;
        --faults_.lose;
        return true;
    }

    store store_;
    vm_list vms_;
    std::mutex mutex_;
    faults faults_; // guarded by mutex_
};

} // namespace

int main(int argc, char** argv)
{
    const auto settings = daemon::settings_or_exit(this_program, argc, argv);
    const auto signals = daemon::block_stop_signals();
    platform all(settings);
    std::atomic<bool> stop{false};
    std::thread prober(
        [&]
        {
            while (!stop)
            {
                all.probe();
                std::this_thread::sleep_for(probe_period);
            }
        });
    const int code = daemon::serve_until_signal(
        this_program.name, settings.text("http-address"), signals,
        [&](const wire::http_request& request) { return all.handle(request); },
        [&] { all.close(); });
    stop = true;
    prober.join();
    return code;
}
