// Tests of a graceful shutdown on real processes.
#include "process_fleet.hpp"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <mutex>
#include <optional>

using namespace mimosacroft;
using namespace mimosacroft::tests;

namespace
{

// Callers that keep their connections, as a balancer does for them: each stays
// with its VM until a reply closes the connection, then goes on to the others.
class callers
{
public:
    callers(const process_fleet& fleet, int count)
    {
        for (int n = 0; n < count; ++n)
            threads_.emplace_back([this, &fleet, n] { run(fleet, n); });
    }

    ~callers() { stop(); }

    void stop()
    {
        stop_ = true;
        for (auto& it : threads_)
            if (it.joinable())
                it.join();
    }

    int answered() const { return answered_; }
    int moved() const { return moved_; }
    std::string wrong() const
    {
        const std::lock_guard lock(mutex_);
        return wrong_;
    }

private:
    void run(const process_fleet& fleet, int n)
    {
        int vm = 0;
        std::optional<net::kept_connection> link(fleet.vm_http(vm));
        while (!stop_)
        {
            const std::string text =
                std::to_string(n) + "-" + std::to_string(answered_.load());
            const nlohmann::json body = {{"query", text}};
            const auto reply =
                link->exchange({"POST",
                                "/v1/searches/lookup",
                                "",
                                {{"authorization", "Bearer caller"}},
                                body.dump()},
                               base::seconds(10));
            check(reply, text);
            if (!reply ||
                wire::header_of(reply->headers, "connection") != "close")
                continue;
            moved_ += vm == 0 ? 1 : 0;
            vm = 1 + n % (fleet.vm_count() - 1);
            link.emplace(fleet.vm_http(vm));
        }
    }

    void check(const base::result<wire::http_reply>& reply,
               const std::string& text)
    {
        if (!reply)
            return complain(base::to_string(reply.error()));
        const auto in = nlohmann::json::parse(reply->body, nullptr, false);
        if (!in.is_object() || in.value("outcome", "") != "answered")
            return complain(reply->body);
        for (const auto& it : in["results"])
            if (it["result"]["echo"] != "\"" + text + "\"")
                return complain("another caller's answer: " + reply->body);
        ++answered_;
    }

    void complain(const std::string& what)
    {
        const std::lock_guard lock(mutex_);
        if (wrong_.empty())
            wrong_ = what;
    }

    std::atomic<bool> stop_{false};
    std::atomic<int> answered_{0};
    std::atomic<int> moved_{0};
    mutable std::mutex mutex_;
    std::string wrong_; ///< the first wrong answer; guarded by mutex_
    std::vector<std::thread> threads_;
};

} // namespace

TEST_GROUP(drain){};

TEST(drain, a_vm_that_stops_under_load_cuts_no_request)
{
    fleet_plan plan;
    plan.port = test_port(1300);
    plan.service_ms = 30;
    plan.vm_flags = {"--handover-wait-ms", "3000", "--drain-grace-ms", "500"};
    process_fleet fleet(plan);
    CHECK(fleet.serving());
    callers load(fleet, 4);
    CHECK(eventually([&] { return load.answered() > 20; }));
    fleet.vm_process(0).signal(SIGTERM);
    CHECK(eventually(
        [&]
        {
            return process_fleet::call(fleet.vm_http(0), "GET", "/ready")
                       .status == 503;
        }));
    LONGS_EQUAL(0, fleet.vm_process(0).wait());
    const int before = load.answered();
    CHECK(eventually([&] { return load.answered() > before + 20; }));
    load.stop();
    STRCMP_EQUAL("", load.wrong().c_str());
    LONGS_EQUAL(4, load.moved());
}
