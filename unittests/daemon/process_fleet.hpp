// Starts the real programs for tests on processes: a platform stand-in,
// upstream servers and entry VMs. Everything it started is ended by its process
// id.
#ifndef MIMOSACROFT_UNITTESTS_DAEMON_PROCESS_FLEET_HPP
#define MIMOSACROFT_UNITTESTS_DAEMON_PROCESS_FLEET_HPP

#include "../support/process.hpp"
#include "mimosacroft/base/crypto.hpp"
#include "mimosacroft/net/blocking_http.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace mimosacroft::tests
{

/// Tries until `fn` is true; false when it is not within `most`.
inline bool eventually(const std::function<bool()>& fn,
                       base::milliseconds most = base::seconds(20))
{
    const auto due = std::chrono::steady_clock::now() + most;
    while (!fn())
    {
        if (std::chrono::steady_clock::now() > due)
            return false;
        std::this_thread::sleep_for(base::milliseconds(20));
    }
    return true;
}

struct fleet_plan
{
    int port = 0; ///< first of 100 ports; no two tests share them
    std::vector<std::string> data_centres = {"oostende"};
    int vms = 3;       ///< for each data centre
    int upstreams = 2; ///< for each data centre, with two servers each
    int shards = 8;
    int service_ms = 2;
    std::vector<std::string> vm_flags = {"--handover-wait-ms", "3000"};
    /// The list of VMs names addresses of a relay, and the VMs of the last data
    /// centre reach the platform by it; see links_to_relay().
    bool relayed = false;
};

class process_fleet
{
public:
    explicit process_fleet(fleet_plan plan) : plan_(std::move(plan))
    {
        start_platform();
        for (int n = 0; n < upstream_count(); ++n)
            for (int k = 0; k < 2; ++k)
                start_server(2 * n + k);
        for (int n = 0; n < vm_count(); ++n)
            start_vm(n);
        declare();
    }

    int vm_count() const
    {
        return plan_.vms * static_cast<int>(plan_.data_centres.size());
    }
    int upstream_count() const
    {
        return plan_.upstreams * static_cast<int>(plan_.data_centres.size());
    }

    std::string platform() const { return address(0); }
    std::string vm_http(int n) const { return address(10 + n); }
    std::string vm_peer(int n) const { return address(30 + n); }
    /// Where the other VMs reach this one.
    std::string listed_peer(int n) const
    {
        return plan_.relayed ? address(70 + n) : vm_peer(n);
    }
    /// Where this VM reaches the platform.
    std::string platform_of(int vm) const
    {
        const bool last = vm >= vm_count() - plan_.vms;
        return plan_.relayed && last ? address(69) : platform();
    }
    std::string server(int n) const { return address(50 + n); }
    std::string vm_name(int n) const
    {
        return data_centre(n / plan_.vms) + "-" + std::to_string(n % plan_.vms);
    }

    process& vm_process(int n) { return *vms_.at(n); }
    process& server_process(int n) { return *servers_.at(n); }
    void stop_vm(int n) { vms_.erase(n); }
    void stop_platform() { platform_.reset(); }
    void stop_server(int n) { servers_.erase(n); }

    void start_platform()
    {
        std::string vms;
        for (int n = 0; n < vm_count(); ++n)
            vms += vm_name(n) + "," + data_centre(n / plan_.vms) + "," +
                   listed_peer(n) + ";";
        platform_ = std::make_unique<process>(
            "standin-platform",
            std::vector<std::string>{"--http-address", platform(), "--vms",
                                     vms},
            log("platform"));
        up(platform(), "/standin/stats");
    }

    void start_server(int n)
    {
        servers_[n] = std::make_unique<process>(
            "standin-upstream",
            std::vector<std::string>{
                "--name", "server-" + std::to_string(n), "--http-address",
                server(n), "--service-ms", std::to_string(plan_.service_ms)},
            log("server-" + std::to_string(n)));
    }

    void start_vm(int n, const std::vector<std::string>& more = {})
    {
        std::vector<std::string> args = {"--vm",
                                         vm_name(n),
                                         "--data-centre",
                                         data_centre(n / plan_.vms),
                                         "--http-address",
                                         vm_http(n),
                                         "--peer-address",
                                         vm_peer(n),
                                         "--platform-address",
                                         platform_of(n),
                                         "--peer-secret",
                                         "test-secret",
                                         "--operator-token-sha256",
                                         base::sha256_hex("operator")};
        args.insert(args.end(), plan_.vm_flags.begin(), plan_.vm_flags.end());
        args.insert(args.end(), more.begin(), more.end());
        vms_[n] = std::make_unique<process>("mimosad", args, log(vm_name(n)));
    }

    /// Kills a VM and starts it again; returns once it serves HTTP.
    void restart_vm(int n)
    {
        stop_vm(n);
        start_vm(n);
        up(vm_http(n), "/ready");
    }

    /// One exchange; throws when there is no reply.
    static wire::http_reply call(const std::string& address,
                                 const std::string& method,
                                 const std::string& path,
                                 const std::string& body = {},
                                 wire::http_headers headers = {})
    {
        const auto reply =
            net::exchange(address, {method, path, "", std::move(headers), body},
                          base::seconds(10));
        if (!reply)
            throw std::runtime_error(base::to_string(reply.error()));
        return *reply;
    }

    nlohmann::json search(int vm, const std::string& name,
                          const nlohmann::json& body) const
    {
        return nlohmann::json::parse(call(vm_http(vm), "POST",
                                          "/v1/searches/" + name, body.dump(),
                                          {{"authorization", "Bearer caller"}})
                                         .body,
                                     nullptr, false);
    }

    nlohmann::json status(int vm) const
    {
        return nlohmann::json::parse(
            call(vm_http(vm), "GET", "/v1/status").body, nullptr, false);
    }

    std::string page(int vm) const
    {
        return call(vm_http(vm), "GET", "/").body;
    }

    /// Writes a resource by the operators' API of a VM on top of `version`.
    wire::http_reply put(int vm, const nlohmann::json& resource,
                         std::uint64_t version) const
    {
        const auto path = "/v1/resources/" +
                          resource["kind"].get<std::string>() + "/" +
                          resource["name"].get<std::string>();
        return call(vm_http(vm), "PUT", path, resource.dump(),
                    {{"authorization", "Bearer operator"},
                     {"if-match", std::to_string(version)}});
    }

    void faults(const std::string& address, const nlohmann::json& body) const
    {
        call(address, "POST", "/standin/faults", body.dump());
    }

    /// Waits until a whole answer comes from every VM.
    bool serving() const
    {
        return eventually(
            [this]
            {
                for (int n = 0; n < vm_count(); ++n)
                {
                    const auto it = search(n, "lookup", {{"query", "ready?"}});
                    if (it.value("outcome", "") != "answered")
                        return false;
                }
                return true;
            });
    }

private:
    std::string address(int offset) const
    {
        return "127.0.0.1:" + std::to_string(plan_.port + offset);
    }

    const std::string& data_centre(int n) const
    {
        return plan_.data_centres.at(static_cast<std::size_t>(n));
    }

    std::string log(const std::string& name) const
    {
        return std::string(MIMOSA_BINARY_DIR "/test-") +
               std::to_string(plan_.port) + "-" + name + ".log";
    }

    static void up(const std::string& where, const std::string& path)
    {
        const bool ok = eventually(
            [&]
            {
                return net::exchange(where, {"GET", path, "", {}, ""},
                                     base::seconds(2))
                    .has_value();
            });
        if (!ok)
            throw std::runtime_error("nothing serves " + where);
    }

    void declare() const
    {
        using nlohmann::json;
        for (int n = 0; n < vm_count(); ++n)
            up(vm_http(n), "/ready");
        auto shards = json::array();
        for (int n = 0; n < plan_.shards; ++n)
            shards.push_back(
                {{"name", "s" + std::to_string(n)},
                 {"upstreams", {"u" + std::to_string(n % upstream_count())}}});
        for (int n = 0; n < upstream_count(); ++n)
        {
            auto servers = json::array();
            for (int k = 0; k < 2; ++k)
                servers.push_back(
                    {{"name", "server-" + std::to_string(2 * n + k)},
                     {"address", server(2 * n + k)}});
            put(0,
                {{"kind", "upstream"},
                 {"name", "u" + std::to_string(n)},
                 {"spec",
                  {{"data_centre", data_centre(n / plan_.upstreams)},
                   {"servers", servers}}}},
                0);
        }
        put(0,
            {{"kind", "index"},
             {"name", "all"},
             {"spec", {{"epoch", 1}, {"shards", shards}}}},
            0);
        put(0,
            {{"kind", "search"},
             {"name", "lookup"},
             {"spec", {{"index", "all"}, {"default_deadline_ms", 1000}}}},
            0);
        put(0,
            {{"kind", "search"},
             {"name", "booking"},
             {"spec",
              {{"index", "all"},
               {"scope", "one"},
               {"repeatable", false},
               {"default_deadline_ms", 1000}}}},
            0);
        put(0,
            {{"kind", "rule"},
             {"name", "caller"},
             {"spec",
              {{"token_sha256", base::sha256_hex("caller")},
               {"searches", {"*"}}}}},
            0);
    }

    fleet_plan plan_;
    std::unique_ptr<process> platform_;
    std::map<int, std::unique_ptr<process>> servers_;
    std::map<int, std::unique_ptr<process>> vms_;
};

/// First port for a test; MIMOSA_TEST_PORT moves all of them.
inline int test_port(int offset)
{
    const char* text = std::getenv("MIMOSA_TEST_PORT");
    return (text ? std::atoi(text) : 21000) + offset;
}

} // namespace mimosacroft::tests

#endif
