// An HTTP/1.1 client on one event loop.
#include "mimosacroft/http/client.hpp"

#include "message_stream.hpp"

#include "mimosacroft/base/clock.hpp"
#include "mimosacroft/base/text.hpp"

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <iterator>
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

// A kept connection is ended this much before the peer would end it, so that no
// request crosses the peer's close.
constexpr base::milliseconds idle_margin{500};
constexpr std::uint64_t max_idle_seconds = 3'600;
constexpr unsigned status_switching_protocols = 101;
constexpr unsigned first_status = 100;
constexpr unsigned first_final_status = 200;
constexpr unsigned last_status = 599;
// What may come for one exchange beside the largest body: heads, interim
// answers and answers of other requests.
constexpr std::size_t max_overhead_bytes = std::size_t{64} * 1024;
// What a parser may leave for later: lines of a head, or the size of a chunk,
// which have no end in sight beyond that.
constexpr std::size_t max_unparsed_bytes = std::size_t{64} * 1024;

// A server in trouble may send any three digits. What follows a status that is
// none, or that leaves HTTP, is no answer to the request.
bool is_usable(unsigned status)
{
    return status >= first_status && status <= last_status &&
           status != status_switching_protocols;
}

// A late copy of an old answer may be cut anywhere; the next answer then begins
// in the middle of its head.
bool is_of_two_answers(const parser_type::value_type& message)
{
    const auto holds = [](const auto& text)
    { return holds_status_line({text.data(), text.size()}); };
    return holds(message.reason()) ||
           std::ranges::any_of(message, [&holds](const auto& field)
                               { return holds(field.value()); });
}

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
    return base::seconds(std::min<std::uint64_t>(*seconds, max_idle_seconds));
}

/// What a connection is doing. Answers are read while `writing` and `waiting`.
enum class connection_state
{
    starting, ///< connects, or is about to write: no byte of the request left
    writing,  ///< a part of the request may still wait to be written
    waiting,  ///< the whole request is written
    idle,
    ended
};

/// The exchanges that a connection carried, the oldest of which are forgotten.
class exchange_history
{
public:
    void add(exchange_number number)
    {
        if (first_ == 0)
            first_ = number;
        if (latest_.size() == max_known)
            latest_.pop_front();
        latest_.push_back(number);
    }

    /// True for each exchange that the connection carried.
    bool may_contain(exchange_number number) const
    {
        if (latest_.empty() || number < first_)
            return false;
        const bool is_forgotten =
            latest_.front() != first_ && number < latest_.front();
        return is_forgotten ||
               std::ranges::find(latest_, number) != latest_.end();
    }

private:
    static constexpr std::size_t max_known = 32;
    exchange_number first_ = 0;
    std::deque<exchange_number> latest_; ///< ascending
};

} // namespace

struct client::impl : std::enable_shared_from_this<client::impl>
{
    class connection;
    using connection_ptr = std::shared_ptr<connection>;

    impl(asio::io_context& i, handlers h, client_options o)
        : io(i), on(std::move(h)), options(o)
    {
    }

    template <typename Predicate>
    connection_ptr pop_idle(const tcp::endpoint& to, Predicate may_carry);
    connection_ptr take_idle(const tcp::endpoint& to, base::instant used_since,
                             const std::vector<exchange_number>& earlier);
    void end_carriers(const tcp::endpoint& to,
                      const std::vector<exchange_number>& earlier);
    void remove(const connection_ptr& it);
    void fail_largest_if_full();
    bool make_room();

    asio::io_context& io;
    handlers on;
    client_options options;
    std::uint64_t opened = 0;
    /// Connections that are not ended, at most options.connections.
    std::size_t connections = 0;
    traffic moved;
    std::size_t unfinished = 0; ///< bytes received by the busy connections
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
        ++owner_->connections;
    }

    const tcp::endpoint& peer() const { return to_; }
    base::instant last_use() const { return last_use_; }
    std::size_t received() const { return received_; }
    void start(exchange_number number, const request& message,
               const send_options& options);
    /// Ends an exchange that has not started, later.
    void refuse(exchange_number number);
    void end();
    /// Whether nothing came on it since its answer, nor the peer's end.
    bool is_silent();
    /// Whether an answer of one of these exchanges may still come on it.
    bool may_have_carried(const std::vector<exchange_number>& any) const;
    /// Idle for longer than the peer keeps it.
    bool is_expired(base::instant now) const;
    /// Takes too long to connect.
    bool is_connect_overdue(base::instant now) const;
    void fail(exchange_failure why);

private:
    void connect();
    void write();
    void read();
    void start_parser();
    void on_read(const error_code& ec, std::size_t n);
    void on_end_of_stream(const error_code& ec);
    bool parse();
    void on_message();
    void count_received(std::size_t n);
    void forget_received();
    void finish(response&& reply);

    std::shared_ptr<impl> owner_;
    tcp::endpoint to_;
    tcp::socket socket_;
    read_buffer in_;
    write_buffer out_; ///< the request until it is written
    std::optional<parser_type> parser_;
    exchange_number number_ = 0; ///< 0 while idle
    // No two exchanges on it belong to the same request: an id tells the
    // answers on one connection apart, whenever they come.
    exchange_history carried_;
    std::size_t received_ = 0; ///< bytes, in this exchange
    bool is_head_ = false;
    std::optional<std::size_t> answer_bytes_; ///< of the exchange's own limit
    // Allowed changes: starting, writing, waiting, idle, starting again; from
    // each to ended. So an idle connection has written its whole request and
    // read its whole answer, and nothing still refers to `out_`.
    connection_state state_ = connection_state::starting;
    bool is_connected_ = false;
    bool reusable_ = true;
    base::milliseconds idle_time_{0};
    base::instant last_use_ = base::now();
};

void client::impl::connection::start(exchange_number number,
                                     const request& message,
                                     const send_options& options)
{
    state_ = connection_state::starting;
    number_ = number;
    carried_.add(number);
    is_head_ = message.method == "HEAD";
    answer_bytes_ = options.answer_bytes;
    const auto& body = options.body;
    auto bytes =
        body ? serialize_head(message, body->size()) : serialize(message);
    out_.set(std::move(bytes), body);
    owner_->moved.sent += out_.size();
    last_use_ = base::now();
    start_parser();
    if (is_connected_)
        asio::post(owner_->io, [self = shared_from_this()] { self->write(); });
    else
        connect();
}

void client::impl::connection::refuse(exchange_number number)
{
    number_ = number;
    asio::post(owner_->io,
               [self = shared_from_this()]
               {
                   if (self->state_ != connection_state::ended)
                       self->fail(exchange_failure::not_sent);
               });
}

void client::impl::connection::start_parser()
{
    parser_.emplace();
    parser_->body_limit(answer_bytes_.value_or(owner_->options.body_bytes));
    // An eager parser reserves the announced length of a body although it
    // exceeds the limit.
    parser_->eager(false);
    parser_->skip(is_head_);
}

void client::impl::connection::connect()
{
    ++owner_->opened;
    idle_time_ = owner_->options.idle_time;
    socket_.async_connect(to_,
                          [self = shared_from_this()](const error_code& ec)
                          {
                              if (self->state_ == connection_state::ended)
                                  return;
                              if (ec)
                              {
                                  self->fail(exchange_failure::not_sent);
                                  return;
                              }
                              self->is_connected_ = true;
                              prepare(self->socket_,
                                      self->owner_->options.unconfirmed_time);
                              self->write();
                          });
}

void client::impl::connection::write()
{
    if (state_ != connection_state::starting)
        return;
    state_ = connection_state::writing;
    const auto number = number_;
    out_.write(socket_,
               [self = shared_from_this()](const error_code& ec)
               {
                   if (self->state_ != connection_state::writing)
                       return;
                   self->state_ = connection_state::waiting;
                   if (ec)
                       self->fail(exchange_failure::lost);
               });
    if (state_ == connection_state::ended)
        return;
    read();
    owner_->on.on_sent(number);
}

void client::impl::connection::read()
{
    if (state_ != connection_state::ended)
        in_.read(socket_, [self = shared_from_this()](const error_code& ec,
                                                      std::size_t n)
                 { self->on_read(ec, n); });
}

void client::impl::connection::on_read(const error_code& ec, std::size_t n)
{
    if (state_ == connection_state::ended)
        return;
    // Nothing may come on a connection that waits for no answer.
    if (state_ == connection_state::idle ||
        state_ == connection_state::starting)
    {
        fail(exchange_failure::not_sent);
        return;
    }
    if (ec)
    {
        on_end_of_stream(ec);
        return;
    }
    const auto self = shared_from_this();
    count_received(n);
    while (parse())
        on_message();
    read();
}

// A peer may send bytes without end, as one answer or as many that don't belong
// to the request.
void client::impl::connection::count_received(std::size_t n)
{
    owner_->moved.received += n;
    owner_->unfinished += n;
    received_ += n;
    if (received_ > owner_->options.body_bytes + max_overhead_bytes)
        fail(exchange_failure::malformed);
    else
        owner_->fail_largest_if_full();
}

void client::impl::connection::forget_received()
{
    owner_->unfinished -= std::exchange(received_, 0);
}

void client::impl::connection::on_end_of_stream(const error_code& ec)
{
    reusable_ = false;
    if (ec == asio::error::eof && parser_->got_some())
    {
        error_code incomplete;
        parser_->put_eof(incomplete);
        if (!incomplete && parser_->is_done())
        {
            on_message();
            if (number_ != 0)
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
    if (number_ == 0)
        return false;
    error_code ec;
    const auto outcome = feed(*parser_, in_.pending, ec);
    const bool is_endless = outcome == parse_outcome::needs_more &&
                            in_.pending.size() > max_unparsed_bytes;
    if (ec == beast_http::error::body_limit && answer_bytes_)
        fail(exchange_failure::too_large);
    else if (outcome == parse_outcome::broken || is_endless)
        fail(exchange_failure::malformed);
    return outcome == parse_outcome::whole;
}

void client::impl::connection::on_message()
{
    const bool kept = parser_->keep_alive();
    const bool is_mixed = is_of_two_answers(parser_->get());
    auto reply = to_response(parser_->release());
    if (is_mixed || !is_usable(reply.status))
    {
        fail(exchange_failure::malformed);
        return;
    }
    if (reply.status < first_final_status)
    {
        start_parser();
        return;
    }
    switch (owner_->on.match(number_, reply))
    {
    case reply_match::stray:
        reusable_ = false;
        start_parser();
        return;
    case reply_match::unusable:
        fail(exchange_failure::malformed);
        return;
    case reply_match::belongs:
        break;
    }
    // A server may answer before it has read the whole request.
    reusable_ = reusable_ && kept && in_.pending.empty() &&
                state_ == connection_state::waiting;
    finish(std::move(reply));
}

void client::impl::connection::finish(response&& reply)
{
    const auto self = shared_from_this();
    const auto number = std::exchange(number_, 0);
    forget_received();
    last_use_ = base::now();
    owner_->busy.erase(number);
    if (const auto stated = stated_idle_time(reply))
        idle_time_ = std::max(*stated - idle_margin, base::milliseconds(0));
    if (reusable_ && idle_time_.count() > 0)
    {
        state_ = connection_state::idle;
        owner_->idle[to_].push_back(self);
    }
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
    if (state_ == connection_state::ended)
        return;
    state_ = connection_state::ended;
    number_ = 0;
    forget_received();
    --owner_->connections;
    in_.clear();
    parser_.reset();
    close(socket_);
    owner_->remove(shared_from_this());
}

bool client::impl::connection::is_silent()
{
    char byte = 0;
    error_code ec;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec == asio::error::would_block;
}

bool client::impl::connection::may_have_carried(
    const std::vector<exchange_number>& any) const
{
    return std::ranges::any_of(any, [this](exchange_number number)
                               { return carried_.may_contain(number); });
}

bool client::impl::connection::is_expired(base::instant now) const
{
    return now - last_use_ >= idle_time_;
}

bool client::impl::connection::is_connect_overdue(base::instant now) const
{
    return !is_connected_ && now - last_use_ >= owner_->options.connect_time;
}

// The connection that was in use last, of those that satisfy the predicate.
template <typename Predicate>
client::impl::connection_ptr client::impl::pop_idle(const tcp::endpoint& to,
                                                    Predicate may_carry)
{
    const auto found = idle.find(to);
    if (found == idle.end())
        return nullptr;
    auto& kept = found->second;
    const auto it = std::find_if(kept.rbegin(), kept.rend(), may_carry);
    if (it == kept.rend())
        return nullptr;
    auto out = *it;
    kept.erase(std::next(it).base());
    return out;
}

client::impl::connection_ptr
client::impl::take_idle(const tcp::endpoint& to, base::instant used_since,
                        const std::vector<exchange_number>& earlier)
{
    const auto may_carry = [&](const connection_ptr& it)
    { return it->last_use() >= used_since && !it->may_have_carried(earlier); };
    while (auto out = pop_idle(to, may_carry))
    {
        if (out->is_silent())
            return out;
        out->end();
    }
    return nullptr;
}

// The connection that is opened in their place would come on top of them, at a
// server that counts connections.
void client::impl::end_carriers(const tcp::endpoint& to,
                                const std::vector<exchange_number>& earlier)
{
    const auto found = idle.find(to);
    if (found == idle.end())
        return;
    std::vector<connection_ptr> carriers;
    std::ranges::copy_if(found->second, std::back_inserter(carriers),
                         [&earlier](const auto& it)
                         { return it->may_have_carried(earlier); });
    std::ranges::for_each(carriers, [](const auto& it) { it->end(); });
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

void client::impl::fail_largest_if_full()
{
    if (unfinished <= options.unfinished_bytes || busy.empty())
        return;
    const auto largest = std::ranges::max_element(
        busy, {}, [](const auto& it) { return it.second->received(); });
    const auto it = largest->second;
    it->fail(exchange_failure::malformed);
}

// Whether there may be one connection more; ends the one that has been idle for
// longest if need be.
bool client::impl::make_room()
{
    if (connections < options.connections)
        return true;
    connection_ptr oldest;
    for (const auto& [peer, kept] : idle)
        for (const auto& it : kept)
            if (!oldest || it->last_use() < oldest->last_use())
                oldest = it;
    if (!oldest)
        return false;
    oldest->end();
    return true;
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
                  const request& message, const send_options& options)
{
    const auto now = base::now();
    const auto used_since = options.max_idle == base::milliseconds::max()
                                ? base::instant::min()
                                : now - options.max_idle;
    auto it = impl_->take_idle(to, used_since, options.earlier);
    const bool is_new = !it;
    if (is_new)
        impl_->end_carriers(to, options.earlier);
    const bool has_room = !is_new || impl_->make_room();
    if (is_new)
        it = std::make_shared<impl::connection>(impl_, to);
    impl_->busy.emplace(number, it);
    if (has_room)
        it->start(number, message, options);
    else
        it->refuse(number);
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

void client::sweep(base::instant now)
{
    std::vector<impl::connection_ptr> expired;
    for (const auto& [peer, kept] : impl_->idle)
        std::ranges::copy_if(kept, std::back_inserter(expired),
                             [now](const auto& it)
                             { return it->is_expired(now); });
    std::vector<impl::connection_ptr> overdue;
    for (const auto& [number, it] : impl_->busy)
        if (it->is_connect_overdue(now))
            overdue.push_back(it);
    // Each of these changes the lists.
    std::ranges::for_each(expired, [](const auto& it) { it->end(); });
    std::ranges::for_each(overdue, [](const auto& it)
                          { it->fail(exchange_failure::not_sent); });
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
