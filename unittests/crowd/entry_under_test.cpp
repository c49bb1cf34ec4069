// One entry VM as a process, with a store and servers of its own.
#include "entry_under_test.hpp"

#include "../platform/standin_wire.hpp"
#include "../support/loopback.hpp"
#include "platform/store.hpp"

#include <chrono>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace mimosacroft::tests
{

namespace
{

using base::milliseconds;

constexpr auto host = "search.example";
constexpr std::size_t shard_count = 20;
constexpr milliseconds longest_timeout{30'000};
constexpr base::seconds start_patience{30};

std::string own_ip()
{
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(1 + process % 250) + ".9.1";
}

gateway::search make_search(const std::string& name)
{
    gateway::search out;
    out.name = name;
    out.host = host;
    out.path_prefix = "/" + name + "/";
    out.semantics = gateway::execution_semantics::at_most_once;
    out.timeout = longest_timeout;
    out.services = {{"record", 1}};
    return out;
}

/// Of a search that only this version has.
std::string version_name(std::uint64_t version)
{
    return "version" + std::to_string(version);
}

std::string shard_name(std::size_t n)
{
    return "shard" + std::to_string(n);
}

gateway::search make_survey()
{
    auto out = make_search("survey");
    out.semantics = gateway::execution_semantics::idempotent;
    out.latency_objective = longest_timeout;
    out.services.clear();
    for (std::size_t n = 0; n < shard_count; ++n)
        out.shards.push_back(shard_name(n));
    out.max_records = 5;
    out.min_coverage = 1;
    return out;
}

} // namespace

entry_under_test::entry_under_test(entry_limits limits)
    : limits_(limits), ip_(own_ip()), store_(io_, endpoint(store_port))
{
    put_configuration(0);
    add_server("record");
    for (std::size_t n = 0; n < shard_count; ++n)
        add_server(shard_name(n));
    standins_ = std::thread([this] { io_.run(); });
    start();
}

entry_under_test::~entry_under_test()
{
    running_.reset();
    io_.stop();
    standins_.join();
}

http::tcp::endpoint entry_under_test::endpoint(std::uint16_t port) const
{
    return {http::asio::ip::make_address_v4(ip_), port};
}

void entry_under_test::put_configuration(std::size_t added_searches)
{
    std::vector<gateway::search> searches = {
        make_search("record"), make_search("silent"), make_search("large"),
        make_survey()};
    std::vector<gateway::service_settings> services = {{"record", 1'000}};
    for (const auto& shard : searches.back().shards)
        services.push_back({shard, 1'000});
    for (std::size_t n = 0; n < added_searches; ++n)
        searches.push_back(make_search("added" + std::to_string(n)));
    ++version_;
    searches.push_back(make_search(version_name(version_)));
    auto spec = configuration_spec(version_, searches, services);
    spec["limits"] = {{"maxHeaderBytes", limits_.header_bytes},
                      {"maxBodyBytes", limits_.body_bytes},
                      {"headerTimeoutMs", limits_.header_time.count()},
                      {"idleTimeoutMs", limits_.idle_time.count()}};
    store_.put(std::string(platform::configuration_kind),
               configuration_object_name, spec);
}

void entry_under_test::configure(std::size_t added_searches, std::size_t times)
{
    std::promise<void> done;
    http::asio::post(io_,
                     [&]
                     {
                         for (std::size_t n = 0; n < times; ++n)
                             put_configuration(added_searches);
                         done.set_value();
                     });
    done.get_future().wait();
}

bool entry_under_test::is_configured() const
{
    const auto path = "/" + version_name(version_) + "/1";
    return ask(callers(), head("GET", path) + "\r\n") == 200U;
}

void entry_under_test::add_server(const std::string& service)
{
    const auto at = endpoint(
        static_cast<std::uint16_t>(first_server_port + servers_.size()));
    gateway::server_entry entry;
    entry.id = service + "-0";
    entry.service = service;
    entry.data_centre = "north";
    entry.address = text_of(at);
    entry.slots = 500;
    entry.started_at = 1;
    store_.put(std::string(platform::servers_kind), entry.id,
               server_spec(entry));
    const auto n = servers_.size();
    servers_.push_back(std::make_unique<http::server>(
        io_, at,
        http::server::handlers{
            .on_request = [this, n](auto number, auto&& message)
            { on_server_request(*servers_.at(n), number, message); },
            .on_leave = [](auto) {}},
        http::server_limits{.header_bytes = std::size_t{4} << 20,
                            .body_bytes = std::size_t{64} << 20}));
}

void entry_under_test::on_server_request(http::server& at,
                                         http::request_number number,
                                         const http::request& message)
{
    const bool is_large = message.target.starts_with("/large/");
    const bool is_record = message.target.starts_with("/record/") ||
                           message.target.starts_with("/version");
    if (!is_large && !is_record)
        return;
    const auto question = decode_received_request(message);
    at.answer(number,
              make_success_reply(
                  question, "signed",
                  std::string(is_large ? large_answer_bytes : 16, 'r')));
}

void entry_under_test::start()
{
    entry::settings settings;
    settings.vm = "vm-0";
    settings.data_centre = "north";
    settings.regions = {{"north", "up"}};
    settings.caller_address = text_of(endpoint(caller_port));
    settings.ready_address = text_of(endpoint(ready_port));
    settings.peer_address = text_of(endpoint(peer_port));
    settings.store_address = text_of(endpoint(store_port));
    settings.is_fleet_bootstrap = true;
    auto text = nlohmann::json::parse(settings_file_text(settings));
    text["limits"] = {{"memoryMb", limits_.memory_mb},
                      {"maxFds", limits_.descriptors}};
    const auto path =
        std::string(MIMOSA_BINARY_DIR "/crowd-") + std::to_string(::getpid());
    std::ofstream(path + ".yaml") << text.dump();
    running_ = std::make_unique<process>(
        "mimosa-entry",
        std::vector<std::string>{"--settings", path + ".yaml", "--metrics-port",
                                 std::to_string(metrics_port)},
        path + ".log");
}

std::string entry_under_test::head(const std::string& method,
                                   const std::string& path)
{
    static int last = 0;
    const auto request = make_caller_request("crowd" + std::to_string(++last),
                                             host, path, longest_timeout);
    std::string out = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& it : request.headers)
        out.append(it.name).append(": ").append(it.value).append("\r\n");
    return out;
}

bool entry_under_test::serves() const
{
    const auto end = std::chrono::steady_clock::now() + start_patience;
    while (std::chrono::steady_clock::now() < end)
    {
        if (ask(callers(), head("GET", "/record/1") + "\r\n") == 200U)
            return true;
        std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
}

} // namespace mimosacroft::tests
