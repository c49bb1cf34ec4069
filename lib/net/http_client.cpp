// The asynchronous HTTP client, on cxxtools.
#include "mimosacroft/net/http_client.hpp"

#include "http_convert.hpp"

#include <algorithm>
#include <cstdlib>
#include <cxxtools/connectable.h>
#include <cxxtools/delegate.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/method.h>
#include <cxxtools/net/addrinfo.h>
#include <cxxtools/selector.h>
#include <cxxtools/signal.h>
#include <cxxtools/slot.h>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace mimosacroft::net
{

using wire::header_of;
using wire::http_reply;
using wire::http_request;

namespace
{

/// A reply that grows beyond this is given up.
constexpr std::size_t max_reply_bytes = 16 << 20;

} // namespace

// One connection with at most one exchange on it.
class connection : public cxxtools::Connectable
{
public:
    using done = std::function<void(connection&, base::result<http_reply>)>;

    connection(cxxtools::SelectorBase& selector, std::string address,
               const host_port& target)
        : address_(std::move(address)), client_(selector)
    {
        client_.prepareConnect(target.host, target.port);
        cxxtools::connect(client_.requestSent, *this, &connection::on_sent);
        cxxtools::connect(client_.replyFinished, *this,
                          &connection::on_finished);
        cxxtools::connect(client_.bodyAvailable,
                          cxxtools::slot(*this, &connection::on_body));
    }

    void start(const http_request& request, done fn)
    {
        fn_ = std::move(fn);
        body_.clear();
        reused_ = std::exchange(used_, true);
        to_library(request, request_);
        starting_ = true;
        try
        {
            client_.beginExecute(request_);
        }
        catch (const std::exception& ex)
        {
            const bool unsent = is_unsent(ex.what());
            finish(base::fail(unsent ? base::error_code::unreachable
                                     : base::error_code::broken,
                              base::step::connect, address_, ex.what()));
        }
        starting_ = false;
    }

    /// Reports an end that came while start() ran.
    void report_early_end()
    {
        if (auto early = std::exchange(early_, std::nullopt))
            finish(std::move(*early));
    }

    bool ended_early() const { return early_.has_value(); }

    const std::string& address() const { return address_; }
    std::uint64_t call = 0;     ///< the exchange on it, 0 when idle
    base::instant idle_since{}; ///< meaningful when idle

private:
    void on_sent(cxxtools::http::Client&) { sent_ = true; }

    std::size_t on_body(cxxtools::http::Client& client)
    {
        std::size_t n = 0;
        auto* in = client.in().rdbuf();
        for (auto left = in->in_avail(); left > 0; --left, ++n)
            body_ += static_cast<char>(in->sbumpc());
        if (body_.size() > max_reply_bytes)
            finish(base::fail(base::error_code::too_large, base::step::receive,
                              address_,
                              "reply is larger than " +
                                  std::to_string(max_reply_bytes) + " bytes"));
        return n;
    }

    // Whether an error proves that no byte of the request was written. On a
    // connection that was kept, the library writes first and connects again
    // only after that failed.
    bool is_unsent(const std::string& error) const
    {
        static const std::string connecting = "while trying to connect";
        return !reused_ && !sent_ && error.rfind(connecting, 0) == 0;
    }

    void on_finished(cxxtools::http::Client& client)
    {
        try
        {
            client.endExecute();
            auto reply = from_library(client.reply());
            reply.body = std::move(body_);
            if (is_cut(reply))
                return finish(base::fail(
                    base::error_code::broken, base::step::receive, address_,
                    "reply ended before its content-length"));
            finish(std::move(reply));
        }
        catch (const std::exception& ex)
        {
            const std::string text = ex.what();
            const bool unsent = is_unsent(text);
            finish(
                base::fail(unsent ? base::error_code::unreachable
                                  : base::error_code::broken,
                           unsent ? base::step::connect : base::step::receive,
                           address_, text));
        }
    }

    static bool is_cut(const http_reply& reply)
    {
        const auto length = header_of(reply.headers, "content-length");
        return !length.empty() &&
               reply.body.size() < std::strtoull(length.c_str(), nullptr, 10);
    }

    // The caller of start() hears nothing before it has returned.
    void finish(base::result<http_reply> reply)
    {
        if (starting_)
        {
            early_ = std::move(reply);
            return;
        }
        auto fn = std::exchange(fn_, nullptr);
        if (fn)
            fn(*this, std::move(reply));
    }

    std::string address_;
    cxxtools::http::Client client_;
    cxxtools::http::Request request_;
    done fn_;
    std::string body_; ///< of the reply, as far as it has come
    std::optional<base::result<http_reply>> early_; ///< end during start()
    bool starting_ = false;
    bool used_ = false;   ///< an exchange was started on it
    bool reused_ = false; ///< an earlier exchange went over it
    bool sent_ = false;   ///< a whole request was written
};

struct http_client::impl
{
    /// A call that has not ended.
    struct open_call
    {
        on_reply fn;
        loop::timer deadline;
        connection* conn = nullptr; ///< owned by connections; null before start
    };

    loop& owner;
    std::uint64_t last_call = 0;
    std::multimap<std::string, std::unique_ptr<connection>> connections;
    std::map<std::uint64_t, open_call> calls;

    explicit impl(loop& l) : owner(l) {}

    connection* idle_connection(const std::string& address)
    {
        const auto range = connections.equal_range(address);
        const auto it = std::find_if(range.first, range.second, [](auto& item)
                                     { return item.second->call == 0; });
        return it == range.second ? nullptr : it->second.get();
    }

    base::result<connection*> open_connection(const std::string& address)
    {
        const auto target = split_address(address);
        if (!target)
            return tl::unexpected<base::error>(target.error());
        auto& selector =
            *static_cast<cxxtools::SelectorBase*>(owner.selector());
        auto made = std::make_unique<connection>(selector, address, *target);
        auto* out = made.get();
        connections.emplace(address, std::move(made));
        return out;
    }

    // Closing is put off to the loop: the connection may be on the call stack.
    void close(const connection& gone)
    {
        const auto range = connections.equal_range(gone.address());
        const auto it =
            std::find_if(range.first, range.second, [&gone](auto& item)
                         { return item.second.get() == &gone; });
        if (it == range.second)
            return;
        std::shared_ptr<connection> keep(std::move(it->second));
        connections.erase(it);
        owner.post([keep] {});
    }

    // Takes a call out; null once it has ended or was abandoned.
    on_reply take(std::uint64_t call)
    {
        const auto it = calls.find(call);
        if (it == calls.end())
            return nullptr;
        auto out = std::move(it->second.fn);
        owner.cancel(it->second.deadline);
        calls.erase(it);
        return out;
    }

    void finish(std::uint64_t call, base::result<http_reply> reply)
    {
        if (const auto fn = take(call))
            fn(std::move(reply));
    }

    void on_done(connection& conn, std::uint64_t call,
                 base::result<http_reply> reply)
    {
        if (conn.call != call)
            return;
        const bool keep =
            reply && header_of(reply->headers, "connection") != "close";
        conn.call = 0;
        if (!keep)
            close(conn);
        finish(call, std::move(reply));
    }

    void give_up(std::uint64_t call)
    {
        const auto it = calls.find(call);
        if (it == calls.end() || !it->second.conn)
            return;
        it->second.conn->call = 0;
        close(*it->second.conn);
    }

    void on_deadline(std::uint64_t call, const std::string& address)
    {
        give_up(call);
        finish(call, base::fail(base::error_code::timeout, base::step::wait,
                                address, "no reply before the deadline"));
    }

    void start_new(std::uint64_t call, const std::string& address,
                   const http_request& request)
    {
        const auto opened = open_connection(address);
        if (opened)
            return start(call, **opened, request);
        owner.post([this, call, e = opened.error()]
                   { finish(call, tl::unexpected(e)); });
    }

    // Opens a connection in the place of an idle one, so that fresh connections
    // do not add up. The idle one is closed by the loop, before this opens.
    void replace(const connection& idle, std::uint64_t call,
                 const std::string& address, const http_request& request)
    {
        close(idle);
        owner.post(
            [this, call, address, request]
            {
                if (calls.count(call) > 0)
                    start_new(call, address, request);
            });
    }

    void start(std::uint64_t call, connection& conn,
               const http_request& request)
    {
        calls.at(call).conn = &conn;
        conn.call = call;
        conn.start(request, [this, call](connection& c, auto reply)
                   { on_done(c, call, std::move(reply)); });
        if (!conn.ended_early())
            return;
        owner.post(
            [this, call]
            {
                const auto it = calls.find(call);
                if (it != calls.end())
                    it->second.conn->report_early_end();
            });
    }
};

http_client::http_client(loop& owner) : impl_(std::make_unique<impl>(owner)) {}
http_client::~http_client() = default;

std::uint64_t http_client::call(const std::string& address,
                                const http_request& request,
                                call_options options, on_reply fn)
{
    const auto call = ++impl_->last_call;
    auto& made = impl_->calls[call];
    made.fn = std::move(fn);
    made.deadline = impl_->owner.at(options.deadline, [this, call, address]
                                    { impl_->on_deadline(call, address); });
    auto* idle = impl_->idle_connection(address);
    if (!options.fresh_connection && idle)
        impl_->start(call, *idle, request);
    else if (!idle)
        impl_->start_new(call, address, request);
    else
        impl_->replace(*idle, call, address, request);
    return call;
}

void http_client::abandon(std::uint64_t call)
{
    impl_->give_up(call);
    impl_->take(call);
}

std::size_t http_client::connections(const std::string& address) const
{
    return impl_->connections.count(address);
}

} // namespace mimosacroft::net
