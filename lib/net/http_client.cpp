// The asynchronous HTTP client: sockets of cxxtools and the parser of Beast,
// which bounds what a server may send.
#include "mimosacroft/net/http_client.hpp"

#include "mimosacroft/http/message.hpp"

#include "http_convert.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cxxtools/connectable.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/selector.h>
#include <cxxtools/signal.h>
#include <map>
#include <optional>
#include <utility>

namespace mimosacroft::net
{

using wire::http_reply;
using wire::http_request;

namespace
{

namespace beast_http = boost::beast::http;
using parser_type = beast_http::response_parser<beast_http::string_body>;

constexpr std::size_t max_body_bytes = 16 << 20;
constexpr std::uint32_t max_head_bytes = 64 << 10;
/// Of all that comes for one exchange: chunk sizes and interim replies take
/// bytes beside the body.
constexpr std::size_t max_exchange_bytes = max_body_bytes + (4 << 20);
constexpr std::size_t read_bytes = 16 << 10;
constexpr unsigned status_switching_protocols = 101;
constexpr unsigned first_status = 100;
constexpr unsigned first_final_status = 200;
constexpr unsigned last_status = 599;

void append_header(std::string& out, const std::string& name,
                   const std::string& value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

std::string to_text(const http_request& request, const std::string& address)
{
    std::string out = request.method + " " + request.path;
    if (!request.query.empty())
        out.append("?").append(request.query);
    out.append(" HTTP/1.1\r\n");
    if (request.headers.count("host") == 0)
        append_header(out, "Host", address);
    for (const auto& [name, value] : request.headers)
        append_header(out, name, value);
    if (!request.body.empty() || request.method != "GET")
        append_header(out, "Content-Length",
                      std::to_string(request.body.size()));
    return out.append("\r\n").append(request.body);
}

http_reply to_reply(parser_type::value_type&& message)
{
    http_reply out;
    out.status = message.result_int();
    for (const auto& it : message)
        out.headers[lower_case(std::string(it.name_string()))] =
            std::string(it.value());
    out.body = std::move(message.body());
    return out;
}

// What follows a status that is none, or that leaves HTTP, is no reply.
bool is_usable(unsigned status)
{
    return status >= first_status && status <= last_status &&
           status != status_switching_protocols;
}

// A late copy of an old reply may be cut anywhere; the next reply then begins
// in the middle of its head.
bool is_of_two_replies(const parser_type::value_type& message)
{
    const auto holds = [](const boost::beast::string_view& text)
    { return http::holds_status_line({text.data(), text.size()}); };
    return holds(message.reason()) ||
           std::any_of(message.begin(), message.end(),
                       [&holds](const auto& it) { return holds(it.value()); });
}

bool is_limit(const boost::system::error_code& ec)
{
    return ec == beast_http::error::body_limit ||
           ec == beast_http::error::header_limit;
}

} // namespace

// One connection with at most one exchange on it.
class connection : public cxxtools::Connectable
{
public:
    using done = std::function<void(connection&, base::result<http_reply>)>;
    using closed = std::function<void(connection&)>;
    using counted = std::function<void(std::size_t)>;

    /// `on_idle_end` is called when an idle connection can't be used any more,
    /// `on_received` with the number of bytes that came for an exchange.
    connection(cxxtools::SelectorBase& selector, std::string address,
               host_port target, closed on_idle_end, counted on_received)
        : address_(std::move(address)), target_(std::move(target)),
          on_idle_end_(std::move(on_idle_end)),
          on_received_(std::move(on_received)), selector_(selector)
    {
        cxxtools::connect(socket_.connected, *this, &connection::on_connected);
        cxxtools::connect(socket_.inputReady, *this, &connection::on_input);
        cxxtools::connect(socket_.outputReady, *this, &connection::on_output);
    }

    void start(const http_request& request, done fn)
    {
        fn_ = std::move(fn);
        out_ = to_text(request, address_);
        written_ = received_ = 0;
        start_reply();
        starting_ = true;
        if (is_open_)
            continue_write();
        else
            open();
        starting_ = false;
    }

    /// Reports an end that came while start() ran.
    void report_early_end()
    {
        if (auto early = std::exchange(early_, std::nullopt))
            finish(std::move(*early));
    }

    bool ended_early() const { return early_.has_value(); }
    /// Whether another exchange may use it.
    bool reusable() const { return reusable_; }

    const std::string& address() const { return address_; }
    /// Bytes that were received in the exchange on it.
    std::size_t received() const { return received_; }
    std::size_t forget_received() { return std::exchange(received_, 0); }
    void fail_as_too_large(std::size_t limit)
    {
        fail(base::error_code::too_large, base::step::receive,
             "more than " + std::to_string(limit) + " bytes were received");
    }
    std::uint64_t call = 0; ///< the exchange on it, 0 when idle

private:
    void open()
    {
        try
        {
            socket_.setSelector(&selector_);
            // A connect that succeeds at once is signalled by its caller.
            if (socket_.beginConnect(target_.host, target_.port))
                on_connected(socket_);
        }
        catch (const std::exception& ex)
        {
            fail(base::error_code::unreachable, base::step::connect, ex.what());
        }
    }

    void on_connected(cxxtools::net::TcpSocket&)
    {
        try
        {
            socket_.endConnect();
        }
        catch (const std::exception& ex)
        {
            return fail(base::error_code::unreachable, base::step::connect,
                        ex.what());
        }
        is_open_ = true;
        begin_read();
        continue_write();
    }

    void begin_read()
    {
        try
        {
            socket_.beginRead(in_.data(), in_.size());
        }
        catch (const std::exception& ex)
        {
            fail(base::error_code::broken, base::step::receive, ex.what());
        }
    }

    void continue_write()
    {
        if (!fn_ || written_ == out_.size())
            return;
        try
        {
            socket_.beginWrite(out_.data() + written_, out_.size() - written_);
        }
        catch (const std::exception& ex)
        {
            fail(base::error_code::broken, base::step::receive, ex.what());
        }
    }

    void on_output(cxxtools::IODevice&)
    {
        try
        {
            written_ += socket_.endWrite();
        }
        catch (const std::exception& ex)
        {
            return fail(base::error_code::broken, base::step::receive,
                        ex.what());
        }
        continue_write();
    }

    void on_input(cxxtools::IODevice&)
    {
        std::size_t n = 0;
        try
        {
            n = socket_.endRead();
        }
        catch (const std::exception& ex)
        {
            return fail(base::error_code::broken, base::step::receive,
                        ex.what());
        }
        if (n == 0)
            return on_end_of_stream();
        // What comes without a request belongs to none.
        if (!fn_)
            return fail(base::error_code::broken, base::step::receive, "");
        received_ += n;
        on_received_(n);
        if (!fn_)
            return;
        if (received_ > max_exchange_bytes)
            return fail_as_too_large(max_exchange_bytes);
        unparsed_.append(in_.data(), n);
        if (parse() && is_open_)
            begin_read();
    }

    void start_reply()
    {
        parser_.emplace();
        // An eager parser reserves the announced length of a body although it
        // exceeds the limit.
        parser_->eager(false);
        parser_->header_limit(max_head_bytes);
        parser_->body_limit(max_body_bytes);
    }

    // Returns whether the connection is to be read on.
    bool parse()
    {
        while (!unparsed_.empty())
        {
            boost::system::error_code ec;
            const auto n = parser_->put(boost::asio::buffer(unparsed_), ec);
            unparsed_.erase(0, n);
            if (ec == beast_http::error::need_more)
                return is_line_bounded();
            if (ec)
            {
                fail(is_limit(ec) ? base::error_code::too_large
                                  : base::error_code::broken,
                     base::step::receive, ec.message());
                return false;
            }
            if (!parser_->is_done())
                continue;
            const auto status = parser_->get().result_int();
            if (!is_usable(status) || is_of_two_replies(parser_->get()))
            {
                fail(base::error_code::broken, base::step::receive,
                     "the head is none of one reply, status " +
                         std::to_string(status));
                return false;
            }
            if (status >= first_final_status)
                return end_reply();
            start_reply(); // an interim reply
        }
        return true;
    }

    // What the parser leaves is a line of a head, or the size of a chunk.
    bool is_line_bounded()
    {
        if (unparsed_.size() <= max_head_bytes)
            return true;
        fail_as_too_large(max_head_bytes);
        return false;
    }

    bool end_reply()
    {
        reusable_ = parser_->keep_alive() && unparsed_.empty() &&
                    written_ == out_.size();
        const bool keep = reusable_;
        finish(to_reply(parser_->release()));
        return keep;
    }

    void on_end_of_stream()
    {
        is_open_ = false;
        boost::system::error_code ec;
        if (fn_ && parser_->is_header_done() && parser_->need_eof())
            parser_->put_eof(ec);
        if (fn_ && !ec && parser_->is_done())
        {
            end_reply();
            return;
        }
        fail(base::error_code::broken, base::step::receive,
             "connection ended before the reply did");
    }

    void fail(base::error_code code, base::step at, const std::string& why)
    {
        is_open_ = reusable_ = false;
        if (fn_)
            finish(base::fail(code, at, address_, why));
        else
            on_idle_end_(*this);
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
    host_port target_;
    closed on_idle_end_;
    counted on_received_;
    cxxtools::SelectorBase& selector_;
    cxxtools::net::TcpSocket socket_;
    std::optional<parser_type> parser_; ///< of the reply that is awaited
    done fn_;                           ///< empty while it is idle
    std::string out_;                   ///< the request
    std::size_t written_ = 0;           ///< bytes of out_
    std::array<char, read_bytes> in_{};
    std::string unparsed_;     ///< received, and not taken by the parser yet
    std::size_t received_ = 0; ///< bytes, in this exchange
    std::optional<base::result<http_reply>> early_; ///< end during start()
    bool starting_ = false;
    bool is_open_ = false;
    bool reusable_ = true;
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
    std::size_t max_unfinished;
    // The sum over all connections of what the exchange on them has received.
    std::size_t unfinished = 0;
    std::uint64_t last_call = 0;
    std::multimap<std::string, std::unique_ptr<connection>> connections;
    std::map<std::uint64_t, open_call> calls;

    impl(loop& l, std::size_t m) : owner(l), max_unfinished(m) {}

    // Servers may send without end, several of them at once.
    void on_received(std::size_t n)
    {
        unfinished += n;
        if (unfinished <= max_unfinished)
            return;
        const auto received = [](const auto& item)
        { return item.second->received(); };
        const auto largest =
            std::max_element(connections.begin(), connections.end(),
                             [&](const auto& a, const auto& b)
                             { return received(a) < received(b); });
        largest->second->fail_as_too_large(max_unfinished);
    }

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
        auto made = std::make_unique<connection>(
            selector, address, *target, [this](connection& gone)
            { close(gone); }, [this](std::size_t n) { on_received(n); });
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
        const bool keep = reply && conn.reusable();
        conn.call = 0;
        unfinished -= conn.forget_received();
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
        unfinished -= it->second.conn->forget_received();
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

http_client::http_client(loop& owner, std::size_t max_unfinished_bytes)
    : impl_(std::make_unique<impl>(owner, max_unfinished_bytes))
{
}

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
