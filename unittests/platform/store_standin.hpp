// A fake of the platform's store for tests: objects by kind and name, lists in
// pages, watches, write conflicts, a history that can be compacted, and
// injected faults.
#ifndef MIMOSACROFT_UNITTESTS_PLATFORM_STORE_STANDIN_HPP
#define MIMOSACROFT_UNITTESTS_PLATFORM_STORE_STANDIN_HPP

#include "mimosacroft/http/server.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace mimosacroft::tests
{

/// How the store handles requests.
enum class store_mode
{
    serves,       ///< handles every request
    refuses,      ///< replies 503 and does nothing
    limits,       ///< replies 429 and does nothing
    is_silent,    ///< does nothing and never replies
    loses_answers ///< handles requests but never replies
};

class store_standin
{
public:
    store_standin(http::asio::io_context& io, const http::tcp::endpoint& at);

    /// Write or delete an object as an operator or a server does, in any mode.
    /// Nothing happens if the object has this content, or does not exist.
    void put(const std::string& kind, const std::string& name,
             nlohmann::json spec);
    void remove(const std::string& kind, const std::string& name);
    bool has(const std::string& kind, const std::string& name) const;

    void set_mode(store_mode mode) { mode_ = mode; }
    /// Discards all events up to now. Pending watches and later ones that start
    /// before the current revision get 410.
    void compact_history();
    /// The objects and the history at one moment.
    struct store_copy;
    std::shared_ptr<const store_copy> copy() const;
    /// Comes back from a copy: what was written since is lost, its revisions
    /// are given out again, and watches that wait are cut off with 410.
    void restore(const store_copy& from);
    void set_page_size(std::size_t objects) { page_size_ = objects; }
    /// Called before an object that a request writes is stored; may change it.
    std::function<void(const std::string& kind, nlohmann::json& spec)>
        before_write = [](const auto&, auto&) {};

    std::uint64_t request_count() const { return request_count_; }
    std::uint64_t revision() const { return revision_; }

private:
    struct event
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text; ///< as it stands in the answer to a watch
    };
    struct pending_watch
    {
        std::string kind;
        std::uint64_t after = 0;
        std::shared_ptr<http::asio::steady_timer> timer;
    };

    void on_request(http::request_number number, const http::request& message);
    /// Sends nothing in mode loses_answers.
    void reply(http::request_number number, unsigned status,
               const nlohmann::json& body);
    void reply_text(http::request_number number, unsigned status,
                    std::string body);
    void list(http::request_number number, const std::string& kind,
              const std::string& after);
    /// Replies with the events after this revision, once there are any or the
    /// wait is over.
    void watch(http::request_number number, const std::string& kind,
               std::uint64_t after, base::milliseconds wait);
    /// Replies to a pending watch with the events up to now, also if none.
    void end_watch(http::request_number number);
    bool has_events_after(const std::string& kind, std::uint64_t after) const;
    /// Of a JSON array, without its brackets.
    std::string events_after(const std::string& kind,
                             std::uint64_t after) const;
    void write(http::request_number number, const http::request& message,
               const std::string& kind, const std::string& name);
    /// Appends to the history and ends the pending watches of the kind.
    void append_event(const std::string& kind, const nlohmann::json& object,
                      bool deleted);

    void end_all_watches();

    http::asio::io_context& io_;
    store_mode mode_ = store_mode::serves;
    std::size_t page_size_ = 500;
    std::uint64_t revision_ = 1;
    std::uint64_t compacted_revision_ = 0; ///< events up to this are discarded
    std::uint64_t request_count_ = 0;
    std::uint64_t era_ = 1; ///< rises with each restore()
    std::map<std::string, std::map<std::string, nlohmann::json>>
        objects_by_kind_;
    std::vector<event> history_;
    std::map<http::request_number, pending_watch> pending_watches_;
    http::server server_;
};

struct store_standin::store_copy
{
    std::uint64_t revision = 0;
    std::uint64_t compacted_revision = 0;
    std::map<std::string, std::map<std::string, nlohmann::json>> objects;
    std::vector<event> history;
};

} // namespace mimosacroft::tests

#endif
