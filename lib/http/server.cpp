// An HTTP/1.1 server on one event loop.
#include "mimosacroft/http/server.hpp"

#include "mimosacroft/base/clock.hpp"

#include "message_stream.hpp"

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <unordered_map>
#include <vector>

namespace mimosacroft::http
{

namespace
{

namespace beast_http = boost::beast::http;
using parser_type = beast_http::request_parser<beast_http::string_body>;

// A caller that sends on while its request is worked on is read no further
// than this; what it sends then waits in the network.
constexpr std::size_t max_read_ahead = std::size_t{64} * 1024;
constexpr base::milliseconds unconfirmed_limit{10'000};

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_request_timeout = 408;
constexpr unsigned status_body_too_large = 413;
constexpr unsigned status_headers_too_large = 431;

request to_request(parser_type::value_type&& message)
{
    request out;
    const auto method = message.method_string();
    out.method.assign(method.data(), method.size());
    out.target.assign(message.target().data(), message.target().size());
    out.headers = to_headers(message);
    out.body = std::move(message.body());
    return out;
}

unsigned status_of(const error_code& ec)
{
    if (ec == beast_http::error::header_limit)
        return status_headers_too_large;
    if (ec == beast_http::error::body_limit)
        return status_body_too_large;
    return status_bad_request;
}

/// What a connection is doing. A refusal by the server itself goes from
/// `receiving` to `writing`.
enum class connection_state
{
    receiving,  ///< waits for a request, or has a part of one
    handed_out, ///< the request waits for its answer
    writing,    ///< the answer, or a refusal
    lingering,  ///< the last answer is written; what comes is thrown away
    ended
};

} // namespace

struct server::impl : std::enable_shared_from_this<server::impl>
{
    class connection;

    impl(asio::io_context& io, const tcp::endpoint& at, handlers h,
         server_limits l)
        : acceptor(io), on(std::move(h)), limits(l)
    {
        acceptor.open(at.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(at);
        acceptor.listen();
    }

    void accept();
    void add(tcp::socket socket);
    void remove(const std::shared_ptr<connection>& it);

    tcp::acceptor acceptor;
    handlers on;
    server_limits limits;
    bool closing = false;
    request_number last_number = 0;
    traffic moved;
    std::unordered_map<request_number, std::shared_ptr<connection>> open;
    std::vector<std::shared_ptr<connection>> all;
};

class server::impl::connection
    : public std::enable_shared_from_this<server::impl::connection>
{
public:
    connection(std::shared_ptr<impl> owner, tcp::socket socket)
        : owner_(std::move(owner)), socket_(std::move(socket))
    {
        prepare(socket_, unconfirmed_limit);
        start_parser();
    }

    void read();
    void answer(const response& reply);
    void sweep(base::instant now);
    void end();
    bool busy() const
    {
        return state_ == connection_state::handed_out ||
               state_ == connection_state::writing;
    }
    /// Whether nothing of a request has come since the last answer.
    bool is_idle() const
    {
        return state_ == connection_state::receiving && in_.pending.empty() &&
               !parser_->got_some();
    }

    std::size_t index = 0; ///< place in impl::all

private:
    void start_parser();
    void on_read(const error_code& ec, std::size_t n);
    void parse();
    void hand_out();
    void refuse(unsigned status);
    void write(std::string bytes);
    void on_written();

    std::shared_ptr<impl> owner_;
    tcp::socket socket_;
    read_buffer in_;
    std::optional<parser_type> parser_;
    std::string out_;
    // Requests are handed out while `receiving` only, and `lingering` is never
    // left but by the end: after a refusal, or an answer that announced the end
    // of the connection, nothing more is handed out, whatever comes.
    connection_state state_ = connection_state::receiving;
    request_number number_ = 0; ///< not 0 while handed_out
    bool keep_alive_ = true;    ///< after the answer
    base::instant last_use_ = base::now();
};

void server::impl::connection::start_parser()
{
    parser_.emplace();
    parser_->header_limit(
        static_cast<std::uint32_t>(owner_->limits.header_bytes));
    parser_->body_limit(owner_->limits.body_bytes);
    parser_->eager(true);
}

void server::impl::connection::read()
{
    if (state_ != connection_state::ended &&
        in_.pending.size() <= max_read_ahead)
        in_.read(socket_, [self = shared_from_this()](const error_code& ec,
                                                      std::size_t n)
                 { self->on_read(ec, n); });
}

void server::impl::connection::on_read(const error_code& ec, std::size_t n)
{
    if (state_ == connection_state::ended)
        return;
    if (ec)
    {
        end();
        return;
    }
    owner_->moved.received += n;
    last_use_ = base::now();
    if (state_ == connection_state::lingering)
        in_.pending.clear();
    parse();
    read();
}

void server::impl::connection::parse()
{
    while (state_ == connection_state::receiving)
    {
        error_code ec;
        const auto outcome = feed(*parser_, in_.pending, ec);
        if (outcome == parse_outcome::needs_more)
            return;
        if (outcome == parse_outcome::whole)
            hand_out();
        else
            refuse(status_of(ec));
    }
}

void server::impl::connection::hand_out()
{
    keep_alive_ = parser_->keep_alive();
    auto message = to_request(parser_->release());
    start_parser();
    state_ = connection_state::handed_out;
    number_ = ++owner_->last_number;
    owner_->open.emplace(number_, shared_from_this());
    owner_->on.on_request(number_, std::move(message));
}

// The bytes after a request that can't be read mean nothing, so the connection
// ends with the refusal.
void server::impl::connection::refuse(unsigned status)
{
    in_.pending.clear();
    keep_alive_ = false;
    response reply;
    reply.status = status;
    write(serialize(reply, true));
}

void server::impl::connection::answer(const response& reply)
{
    number_ = 0;
    if (state_ != connection_state::handed_out)
        return;
    keep_alive_ = keep_alive_ && !owner_->closing;
    write(serialize(reply, !keep_alive_));
}

void server::impl::connection::write(std::string bytes)
{
    owner_->moved.sent += bytes.size();
    out_ = std::move(bytes);
    state_ = connection_state::writing;
    write_all(socket_, out_,
              [self = shared_from_this()](const error_code& ec)
              {
                  if (ec)
                      self->end();
                  else
                      self->on_written();
              });
}

void server::impl::connection::on_written()
{
    if (state_ == connection_state::ended)
        return;
    out_.clear();
    last_use_ = base::now();
    if (!keep_alive_)
    {
        // The caller reads the answer first: only the sending side ends here.
        state_ = connection_state::lingering;
        in_.pending.clear();
        close_sending_side(socket_);
        read();
        return;
    }
    state_ = connection_state::receiving;
    if (in_.pending.empty())
        return;
    asio::post(socket_.get_executor(),
               [self = shared_from_this()]
               {
                   self->parse();
                   self->read();
               });
}

void server::impl::connection::sweep(base::instant now)
{
    if (state_ == connection_state::ended || busy())
        return;
    const auto idle = now - last_use_;
    const bool halfway = parser_->got_some();
    if (state_ == connection_state::lingering ||
        idle >= owner_->limits.idle_time)
        end();
    else if (halfway && idle >= owner_->limits.header_time)
        refuse(status_request_timeout);
}

void server::impl::connection::end()
{
    if (state_ == connection_state::ended)
        return;
    state_ = connection_state::ended;
    const auto self = shared_from_this();
    close(socket_);
    const auto number = std::exchange(number_, 0);
    owner_->open.erase(number);
    owner_->remove(self);
    if (number != 0)
        owner_->on.on_leave(number);
}

void server::impl::accept()
{
    acceptor.async_accept(
        [self = shared_from_this()](const error_code& ec, tcp::socket socket)
        {
            if (ec == asio::error::operation_aborted ||
                !self->acceptor.is_open())
                return;
            if (!ec)
                self->add(std::move(socket));
            self->accept();
        });
}

void server::impl::add(tcp::socket socket)
{
    auto it =
        std::make_shared<connection>(shared_from_this(), std::move(socket));
    it->index = all.size();
    all.push_back(it);
    it->read();
}

void server::impl::remove(const std::shared_ptr<connection>& it)
{
    const auto index = it->index;
    all.back()->index = index;
    std::swap(all[index], all.back());
    all.pop_back();
}

server::server(asio::io_context& io, const tcp::endpoint& at, handlers h,
               server_limits limits)
    : impl_(std::make_shared<impl>(io, at, std::move(h), limits))
{
    impl_->accept();
}

server::~server()
{
    close(impl_->acceptor);
    impl_->on.on_leave = [](request_number) {};
    impl_->on.on_request = [](request_number, request&&) {};
    const auto all = impl_->all;
    for (const auto& it : all)
        it->end();
}

void server::answer(request_number number, const response& reply)
{
    const auto it = impl_->open.find(number);
    if (it == impl_->open.end())
        return;
    const auto connection = it->second;
    impl_->open.erase(it);
    connection->answer(reply);
}

void server::set_limits(const server_limits& limits)
{
    impl_->limits = limits;
}

void server::announce_close()
{
    impl_->closing = true;
}

void server::close_idle()
{
    close(impl_->acceptor);
    const auto all = impl_->all;
    for (const auto& it : all)
        if (it->is_idle())
            it->end();
}

void server::sweep(base::instant now)
{
    const auto all = impl_->all;
    for (const auto& it : all)
        it->sweep(now);
}

std::size_t server::in_flight() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        impl_->all, [](const auto& it) { return it->busy(); }));
}

std::size_t server::connections() const
{
    return impl_->all.size();
}

traffic server::moved() const
{
    return impl_->moved;
}

} // namespace mimosacroft::http
