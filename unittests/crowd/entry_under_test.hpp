// One entry VM as a process, with a store and servers of its own, and limits
// that a small crowd reaches.
#ifndef MIMOSACROFT_UNITTESTS_CROWD_ENTRY_UNDER_TEST_HPP
#define MIMOSACROFT_UNITTESTS_CROWD_ENTRY_UNDER_TEST_HPP

#include "../platform/store_standin.hpp"
#include "../support/process.hpp"
#include "crowd.hpp"

#include "mimosacroft/entry/settings.hpp"
#include "mimosacroft/http/server.hpp"

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace mimosacroft::tests
{

/// The limits of the machine, and those that the configuration sets callers.
struct entry_limits
{
    std::size_t memory_mb = 64;
    std::size_t descriptors = 4'100;
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{1024} * 1024;
    base::milliseconds header_time{10'000};
    base::milliseconds idle_time{60'000};
};

/// Descriptors of a machine that are not for sockets.
inline constexpr std::size_t file_descriptors = 200;

class entry_under_test
{
public:
    explicit entry_under_test(entry_limits limits);
    ~entry_under_test();
    entry_under_test(const entry_under_test&) = delete;
    entry_under_test& operator=(const entry_under_test&) = delete;

    /// Waits until it answers; false if it never does.
    bool serves() const;
    bool has_ended() const { return running_->ended(); }
    int process_id() const { return running_->id(); }
    const entry_limits& limits() const { return limits_; }

    loopback_address callers() const { return {ip_, caller_port}; }
    loopback_address readiness() const { return {ip_, ready_port}; }
    loopback_address peers() const { return {ip_, peer_port}; }
    loopback_address metrics() const { return {ip_, metrics_port}; }
    static std::vector<std::uint16_t> ports()
    {
        return {caller_port, ready_port, peer_port, metrics_port};
    }

    /// Writes a configuration with many more searches again and again, each
    /// time with another version.
    void configure(std::size_t added_searches, std::size_t times);
    /// Stops the process for a while, or lets it go on.
    void stand_still() { running_->signal(SIGSTOP); }
    void go_on() { running_->signal(SIGCONT); }
    /// Whether the latest configuration is in force.
    bool is_configured() const;

    /// The head of a request for a path, without its last line. A path that
    /// begins with /silent/ is never answered, and one with /large/ with
    /// `large_answer_bytes`. /survey/ is asked of all shards, which stay
    /// silent.
    static std::string head(const std::string& method, const std::string& path);
    static constexpr std::size_t large_answer_bytes = std::size_t{4} << 20;

private:
    static constexpr std::uint16_t caller_port = 10'001;
    static constexpr std::uint16_t ready_port = 10'002;
    static constexpr std::uint16_t peer_port = 10'003;
    static constexpr std::uint16_t metrics_port = 10'004;
    static constexpr std::uint16_t store_port = 10'005;
    static constexpr std::uint16_t first_server_port = 10'010;

    http::tcp::endpoint endpoint(std::uint16_t port) const;
    void put_configuration(std::size_t added_searches);
    void add_server(const std::string& service);
    void on_server_request(http::server& at, http::request_number number,
                           const http::request& message);
    void start();

    entry_limits limits_;
    std::string ip_; ///< of this test process alone
    http::asio::io_context io_;
    store_standin store_;
    std::vector<std::unique_ptr<http::server>> servers_;
    std::unique_ptr<process> running_;
    std::uint64_t version_ = 0; ///< of the configuration
    std::thread standins_;      ///< runs the store and the servers
};

} // namespace mimosacroft::tests

#endif
