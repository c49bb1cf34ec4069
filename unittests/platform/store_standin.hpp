// A stand-in for the platform's store: objects by kind and name, lists in
// pages, watches, conflicts, a history that can be forgotten, and faults.
#ifndef MIMOSACROFT_UNITTESTS_PLATFORM_STORE_STANDIN_HPP
#define MIMOSACROFT_UNITTESTS_PLATFORM_STORE_STANDIN_HPP

#include "mimosacroft/http/server.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace mimosacroft::tests
{

enum class store_mode
{
    serves,
    refuses,      ///< 503: nothing was done
    limits,       ///< 429: nothing was done
    is_silent,    ///< does nothing and never answers
    loses_answers ///< does what is asked and never answers
};

class store_standin
{
public:
    store_standin(http::asio::io_context& io, const http::tcp::endpoint& at);

    /// Writes as an operator or a server does, whatever the mode.
    void put(const std::string& kind, const std::string& name,
             nlohmann::json spec);
    void remove(const std::string& kind, const std::string& name);
    bool has(const std::string& kind, const std::string& name) const;

    void set_mode(store_mode mode) { mode_ = mode; }
    /// All events up to now are gone; watches that wait are cut off.
    void forget_history();
    void set_page_size(std::size_t n) { page_size_ = n; }
    /// What is written by a call is changed by this first.
    std::function<void(const std::string& kind, nlohmann::json& spec)>
        on_write = [](const auto&, auto&) {};

    std::uint64_t calls() const { return calls_; }
    std::uint64_t revision() const { return revision_; }

private:
    struct event
    {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json object;
        bool deleted = false;
    };
    struct waiter
    {
        std::string kind;
        std::uint64_t after = 0;
        std::shared_ptr<http::asio::steady_timer> timer;
    };

    void on_request(http::request_number number, const http::request& message);
    void reply(http::request_number number, unsigned status,
               const nlohmann::json& body);
    void list(http::request_number number, const std::string& kind,
              const std::string& after);
    void watch(http::request_number number, const std::string& kind,
               std::uint64_t after, base::milliseconds wait);
    void end_watch(http::request_number number);
    nlohmann::json events_of(const std::string& kind,
                             std::uint64_t after) const;
    void write(http::request_number number, const http::request& message,
               const std::string& kind, const std::string& name);
    void record(const std::string& kind, nlohmann::json object, bool deleted);

    http::asio::io_context& io_;
    store_mode mode_ = store_mode::serves;
    std::size_t page_size_ = 500;
    std::uint64_t revision_ = 1;
    std::uint64_t forgotten_ = 0; ///< events up to this are gone
    std::uint64_t calls_ = 0;
    std::map<std::string, std::map<std::string, nlohmann::json>> kinds_;
    std::vector<event> history_;
    std::map<http::request_number, waiter> waiters_;
    http::server server_;
};

} // namespace mimosacroft::tests

#endif
