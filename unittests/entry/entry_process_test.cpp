// Tests of the daemon as a process: what callers, operators and readers of its
// log see.
#include "../platform/standin_wire.hpp"
#include "../platform/store_standin.hpp"
#include "../support/loopback.hpp"
#include "../support/process.hpp"

#include "mimosacroft/http/client.hpp"
#include "platform/store.hpp"

#include <CppUTest/TestHarness.h>
#include <fstream>
#include <memory>
#include <optional>
#include <sstream>

using namespace mimosacroft;
using base::milliseconds;
using tests::text_of;

TEST_GROUP(entry_process)
{
    http::asio::io_context io;
    tests::private_endpoints endpoints{0};
    http::tcp::endpoint store_at = endpoints.next();
    http::tcp::endpoint callers_at = endpoints.next();
    http::tcp::endpoint metrics_at = endpoints.next();
    tests::store_standin store{io, store_at};
    std::optional<http::response> reply;
    http::client caller{io,
                        {.on_reply = [this](auto, http::response&& message)
                         { reply = std::move(message); },
                         .on_failure = [](auto, auto) {}}};
    http::exchange_number last = 0;
    std::string path = MIMOSA_BINARY_DIR "/entry-process";
    std::unique_ptr<tests::process> vm;

    TEST_SETUP()
    {
        gateway::search search;
        search.name = "record";
        search.host = "h";
        search.path_prefix = "/record/";
        search.services = {{"record", 1}};
        store.put(std::string(platform::configuration_kind),
                  tests::configuration_name,
                  tests::configuration_object(1, {search}, {}));
    }

    void write_settings(const std::string& text) const
    {
        std::ofstream(path + ".yaml") << text;
    }

    entry::settings settings()
    {
        entry::settings out;
        out.vm = "vm-1";
        out.data_centre = "north";
        out.caller_address = text_of(callers_at);
        out.ready_address = text_of(endpoints.next());
        out.peer_address = text_of(endpoints.next());
        out.store_address = text_of(store_at);
        return out;
    }

    /// Returns once the configuration is in force.
    void start()
    {
        write_settings(tests::settings_text(settings()));
        vm = std::make_unique<tests::process>(
            "mimosa-entry",
            std::vector<std::string>{"--settings", path + ".yaml",
                                     "--metrics-port",
                                     std::to_string(metrics_at.port())},
            path + ".log");
        CHECK(run_until([this] { return has_logged("config_applied"); }));
    }

    bool run_until(const std::function<bool()>& holds)
    {
        return tests::run_until(io, holds);
    }

    http::response ask(const http::tcp::endpoint& at,
                       const http::request& message)
    {
        reply.reset();
        caller.send(++last, at, message);
        CHECK(run_until([this] { return reply.has_value(); }));
        return reply.value_or(http::response{});
    }

    http::response ask_for_record()
    {
        return ask(callers_at, tests::caller_message("r1", "h", "/record/x",
                                                     milliseconds(2'000)));
    }

    std::string log() const
    {
        const std::ifstream in(path + ".log");
        std::ostringstream out;
        out << in.rdbuf();
        return out.str();
    }

    std::size_t times_logged(const std::string& event) const
    {
        const auto text = log();
        const auto name = "\"name\":\"" + event + "\"";
        std::size_t out = 0;
        for (auto at = text.find(name); at != std::string::npos;
             at = text.find(name, at + 1))
            ++out;
        return out;
    }

    bool has_logged(const std::string& event) const
    {
        return times_logged(event) > 0;
    }
};

TEST(entry_process, figures_are_served_at_the_metrics_address)
{
    start();
    LONGS_EQUAL(503, ask_for_record().status);
    const auto figures =
        ask(metrics_at, {"GET", "/metrics", {{"Host", "h"}}, ""});
    LONGS_EQUAL(200, figures.status);
    for (const char* line :
         {"mimosa_requests_total{search=\"record\",outcome=\"no_server\"} 1",
          "mimosa_request_seconds_count{search=\"record\"} 1",
          "mimosa_events_total{name=\"config_applied\"} 1",
          "mimosa_config_version 1"})
        CHECK(figures.body.find(line) != std::string::npos);
    LONGS_EQUAL(404, ask(metrics_at, {"GET", "/", {{"Host", "h"}}, ""}).status);
}

TEST(entry_process, callers_are_served_though_the_metrics_port_is_taken)
{
    const http::tcp::acceptor other(io, metrics_at);
    start();
    LONGS_EQUAL(503, ask_for_record().status);
    CHECK(has_logged("metrics_unavailable"));
}

TEST(entry_process, settings_that_break_are_named_once_and_the_last_ones_hold)
{
    start();
    write_settings("nodeName: [");
    vm->signal(SIGHUP);
    CHECK(run_until([this] { return has_logged("settings_unreadable"); }));
    vm->signal(SIGHUP);
    LONGS_EQUAL(503, ask_for_record().status);
    auto changed = settings();
    changed.seeds = {"127.0.0.1:9"};
    write_settings(tests::settings_text(changed));
    vm->signal(SIGHUP);
    CHECK(run_until([this] { return has_logged("settings_read"); }));
    LONGS_EQUAL(1, times_logged("settings_unreadable"));
}

TEST(entry_process, a_request_that_cannot_be_read_is_named_in_the_log)
{
    start();
    LONGS_EQUAL(
        400, ask(callers_at, {"GET", "/record/x", {{"Host", "h"}}, ""}).status);
    CHECK(run_until([this] { return has_logged("caller_refused"); }));
    CHECK(log().find("no request id") != std::string::npos);
}
