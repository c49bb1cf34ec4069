// An HTTP/1.1 client on one event loop.
#include "mimosacroft/http/client.hpp"

#include "parse_loop.hpp"

#include "mimosacroft/base/text.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace mimosacroft::http
{

namespace
{

namespace beast_http = boost::beast::http;
using parser_type = beast_http::response_parser<beast_http::string_body>;

constexpr std::size_t read_size = std::size_t{8} * 1024;
// A kept connection is ended this much before the peer would end it, so that no
// request crosses the peer's close.
constexpr base::milliseconds idle_margin{500};
constexpr unsigned first_final_status = 200;

response to_response(parser_type::value_type&& message)
{
    response out;
    out.status = message.result_int();
    out.headers = to_headers(message);
    out.body = std::move(message.body());
    return out;
}

// The time that a peer keeps an idle connection, from "Keep-Alive: timeout=N".
std::optional<base::milliseconds> stated_idle_time(const response& reply)
{
    const auto value = find(reply.headers, "keep-alive");
    if (!value)
        return std::nullopt;
    const auto at = value->find("timeout=");
    if (at == std::string_view::npos)
        return std::nullopt;
    const auto digits = value->substr(at + 8);
    const auto end = digits.find_first_not_of("0123456789");
    const auto seconds = base::to_number(digits.substr(0, end));
    if (!seconds)
        return std::nullopt;
    return base::seconds(*seconds);
}

} // namespace

struct client::impl : std::enable_shared_from_this<client::impl>
{
    class connection;
    using connection_ptr = std::shared_ptr<connection>;

    impl(asio::io_context& i, handlers h, client_options o)
        : io(i), on(std::move(h)), options(o)
    {
    }

    connection_ptr take_idle(const tcp::endpoint& to, base::instant used_since);
    void remove(const connection_ptr& it);

    asio::io_context& io;
    handlers on;
    client_options options;
    std::uint64_t opened = 0;
    traffic moved;
    std::unordered_map<exchange_number, connection_ptr> busy;
    std::map<tcp::endpoint, std::vector<connection_ptr>> idle;
};

class client::impl::connection
    : public std::enable_shared_from_this<client::impl::connection>
{
public:
    connection(std::shared_ptr<impl> owner, const tcp::endpoint& to)
        : owner_(std::move(owner)), to_(to), socket_(owner_->io)
    {
    }

    const tcp::endpoint& peer() const { return to_; }
    base::instant last_use() const { return last_use_; }
    void start(exchange_number number, const request& message);
    void end();
    void sweep_idle(base::instant now);
    void sweep_busy(base::instant now);

private:
    void connect();
    void write();
    void read();
    void start_parser();
    void on_read(const error_code& ec, std::size_t n);
    void on_end_of_stream(const error_code& ec);
    bool parse();
    void on_message();
    void finish(response&& reply);
    void fail(exchange_failure why);

    std::shared_ptr<impl> owner_;
    tcp::endpoint to_;
    tcp::socket socket_;
    std::array<char, read_size> buf_{};
    std::string pending_; ///< read and not yet parsed
    std::string out_;     ///< the request while it is written
    std::optional<parser_type> parser_;
    exchange_number number_ = 0; ///< 0 while idle
    bool is_head_ = false;
    bool connected_ = false;
    bool reusable_ = true;
    bool reading_ = false;
    bool ended_ = false;
    base::milliseconds idle_time_{0};
    base::instant last_use_ = std::chrono::steady_clock::now();
};

void client::impl::connection::start(exchange_number number,
                                     const request& message)
{
    number_ = number;
    is_head_ = message.method == "HEAD";
    out_ = serialize(message);
    owner_->moved.sent += out_.size();
    last_use_ = std::chrono::steady_clock::now();
    start_parser();
    if (connected_)
        asio::post(owner_->io, [self = shared_from_this()] { self->write(); });
    else
        connect();
}

void client::impl::connection::start_parser()
{
    parser_.emplace();
    parser_->body_limit(owner_->options.body_bytes);
    parser_->eager(true);
    parser_->skip(is_head_);
}

void client::impl::connection::connect()
{
    ++owner_->opened;
    idle_time_ = owner_->options.idle_time;
    socket_.async_connect(to_,
                          [self = shared_from_this()](const error_code& ec)
                          {
                              if (self->ended_)
                                  return;
                              if (ec)
                              {
                                  self->fail(exchange_failure::not_sent);
                                  return;
                              }
                              self->connected_ = true;
                              prepare(self->socket_,
                                      self->owner_->options.unconfirmed_time);
                              self->write();
                          });
}

void client::impl::connection::write()
{
    if (ended_ || number_ == 0)
        return;
    error_code ec;
    const auto n = socket_.write_some(asio::buffer(out_), ec);
    if (ec && ec != asio::error::would_block)
    {
        fail(exchange_failure::lost);
        return;
    }
    const auto number = number_;
    if (ec || n < out_.size())
    {
        out_.erase(0, ec ? 0 : n);
        asio::async_write(
            socket_, asio::buffer(out_),
            [self = shared_from_this()](const error_code& failed, std::size_t)
            {
                if (failed && !self->ended_)
                    self->fail(exchange_failure::lost);
            });
    }
    read();
    owner_->on.on_sent(number);
}

void client::impl::connection::read()
{
    if (reading_ || ended_)
        return;
    reading_ = true;
    socket_.async_read_some(
        asio::buffer(buf_),
        [self = shared_from_this()](const error_code& ec, std::size_t n)
        { self->on_read(ec, n); });
}

void client::impl::connection::on_read(const error_code& ec, std::size_t n)
{
    reading_ = false;
    if (ended_)
        return;
    if (ec)
    {
        on_end_of_stream(ec);
        return;
    }
    // Nothing may come on a connection that waits for no answer.
    if (number_ == 0)
    {
        end();
        return;
    }
    owner_->moved.received += n;
    pending_.append(buf_.data(), n);
    const auto self = shared_from_this();
    while (parse())
        on_message();
    read();
}

void client::impl::connection::on_end_of_stream(const error_code& ec)
{
    if (number_ == 0)
    {
        end();
        return;
    }
    reusable_ = false;
    if (ec == asio::error::eof && parser_->got_some())
    {
        error_code incomplete;
        parser_->put_eof(incomplete);
        if (!incomplete && parser_->is_done())
        {
            on_message();
            if (!ended_ && number_ != 0)
                fail(exchange_failure::lost);
            return;
        }
        fail(exchange_failure::malformed);
        return;
    }
    fail(exchange_failure::lost);
}

// Whether a whole response is there.
bool client::impl::connection::parse()
{
    if (ended_ || number_ == 0)
        return false;
    error_code ec;
    const auto outcome = feed(*parser_, pending_, ec);
    if (outcome == parse_outcome::broken)
        fail(exchange_failure::malformed);
    return outcome == parse_outcome::whole;
}

void client::impl::connection::on_message()
{
    const bool kept = parser_->keep_alive();
    auto reply = to_response(parser_->release());
    start_parser();
    if (reply.status < first_final_status)
        return;
    switch (owner_->on.match(number_, reply))
    {
    case reply_match::stray:
        reusable_ = false;
        return;
    case reply_match::unusable:
        fail(exchange_failure::malformed);
        return;
    case reply_match::belongs:
        break;
    }
    reusable_ = reusable_ && kept && pending_.empty();
    finish(std::move(reply));
}

void client::impl::connection::finish(response&& reply)
{
    const auto self = shared_from_this();
    const auto number = std::exchange(number_, 0);
    last_use_ = std::chrono::steady_clock::now();
    owner_->busy.erase(number);
    if (const auto stated = stated_idle_time(reply))
        idle_time_ = std::max(*stated - idle_margin, base::milliseconds(0));
    if (reusable_ && idle_time_.count() > 0)
        owner_->idle[to_].push_back(self);
    else
        end();
    owner_->on.on_reply(number, std::move(reply));
}

void client::impl::connection::fail(exchange_failure why)
{
    const auto self = shared_from_this();
    const auto number = std::exchange(number_, 0);
    owner_->busy.erase(number);
    end();
    if (number != 0)
        owner_->on.on_failure(number, why);
}

void client::impl::connection::end()
{
    if (ended_)
        return;
    ended_ = true;
    number_ = 0;
    close(socket_);
    owner_->remove(shared_from_this());
}

void client::impl::connection::sweep_idle(base::instant now)
{
    if (now - last_use_ >= idle_time_)
        end();
}

void client::impl::connection::sweep_busy(base::instant now)
{
    if (!connected_ && now - last_use_ >= owner_->options.connect_time)
        fail(exchange_failure::not_sent);
}

client::impl::connection_ptr client::impl::take_idle(const tcp::endpoint& to,
                                                     base::instant used_since)
{
    const auto it = idle.find(to);
    if (it == idle.end() || it->second.empty() ||
        it->second.back()->last_use() < used_since)
        return nullptr;
    auto out = it->second.back();
    it->second.pop_back();
    return out;
}

void client::impl::remove(const connection_ptr& it)
{
    const auto found = idle.find(it->peer());
    if (found == idle.end())
        return;
    std::erase(found->second, it);
    if (found->second.empty())
        idle.erase(found);
}

client::client(asio::io_context& io, handlers h, client_options options)
    : impl_(std::make_shared<impl>(io, std::move(h), options))
{
}

client::~client()
{
    impl_->on.on_reply = [](exchange_number, response&&) {};
    impl_->on.on_failure = [](exchange_number, exchange_failure) {};
    const auto busy = impl_->busy;
    for (const auto& [number, it] : busy)
        it->end();
    impl_->busy.clear();
    const auto idle = impl_->idle;
    for (const auto& [peer, kept] : idle)
        std::ranges::for_each(kept, [](const auto& it) { it->end(); });
}

void client::send(exchange_number number, const tcp::endpoint& to,
                  const request& message, send_options options)
{
    const auto now = std::chrono::steady_clock::now();
    const auto used_since = options.most_idle == base::milliseconds::max()
                                ? base::instant::min()
                                : now - options.most_idle;
    auto it = impl_->take_idle(to, used_since);
    if (!it)
        it = std::make_shared<impl::connection>(impl_, to);
    impl_->busy.emplace(number, it);
    it->start(number, message);
}

void client::drop(exchange_number number)
{
    const auto it = impl_->busy.find(number);
    if (it == impl_->busy.end())
        return;
    const auto connection = it->second;
    impl_->busy.erase(it);
    connection->end();
}

void client::close_idle(const tcp::endpoint& to)
{
    const auto it = impl_->idle.find(to);
    if (it == impl_->idle.end())
        return;
    const auto kept = it->second;
    std::ranges::for_each(kept, [](const auto& c) { c->end(); });
}

void client::sweep(base::instant now)
{
    const auto idle = impl_->idle;
    for (const auto& [peer, kept] : idle)
        std::ranges::for_each(kept,
                              [now](const auto& it) { it->sweep_idle(now); });
    const auto busy = impl_->busy;
    for (const auto& [number, it] : busy)
        it->sweep_busy(now);
}

std::uint64_t client::opened() const
{
    return impl_->opened;
}

traffic client::moved() const
{
    return impl_->moved;
}

} // namespace mimosacroft::http
