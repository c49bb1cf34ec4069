// An HTTP/1.1 server on one event loop.
#include "mimosacroft/http/server.hpp"

#include "mimosacroft/base/clock.hpp"

#include "message_stream.hpp"

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string_view>
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
// After its last answer a connection is read for this long, so that the caller
// gets the answer and not a reset.
constexpr base::milliseconds linger_time{1'000};
// A caller that has taken nothing of its answer for so long may be turned away
// in favour of another one, and so may one whose request takes so long.
constexpr base::milliseconds stall_time{1'000};
// Callers are not accepted for so long after the system could not.
constexpr base::milliseconds accept_pause{100};
// What the parser keeps for a field of a head, beside its bytes.
constexpr std::size_t field_overhead_bytes = 96;
// A request that is worked on is held, and a copy of it while it is written to
// another process.
constexpr std::size_t copies_of_request = 2;
// A body grows in steps that leave room; less than this is not worth a copy.
constexpr std::size_t max_slack_bytes = std::size_t{4} * 1024;

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_request_timeout = 408;
constexpr unsigned status_body_too_large = 413;
constexpr unsigned status_headers_too_large = 431;
constexpr unsigned status_unavailable = 503;
constexpr auto retry_after_overload_s = "1";

request to_request(parser_type::value_type&& message)
{
    request out;
    const auto method = message.method_string();
    out.method.assign(method.data(), method.size());
    out.target.assign(message.target().data(), message.target().size());
    out.headers = to_headers(message);
    out.body = std::move(message.body());
    if (out.body.capacity() > out.body.size() + max_slack_bytes)
        out.body.shrink_to_fit();
    return out;
}

// The parser passes over a transfer coding that it does not know, and takes the
// body for the next request. Another reader may see a body there (RFC 9112,
// section 6.3); one that both read alike is "chunked" alone, since HTTP/1.1.
bool has_ambiguous_framing(const parser_type::value_type& message)
{
    const auto length = message[beast_http::field::content_length];
    const bool is_one_number =
        message.count(beast_http::field::content_length) <= 1 &&
        std::ranges::all_of(length,
                            [](char c) { return c >= '0' && c <= '9'; });
    if (!is_one_number)
        return true;
    const auto codings = message.count(beast_http::field::transfer_encoding);
    if (codings == 0)
        return false;
    constexpr unsigned version_1_1 = 11;
    const auto value = message[beast_http::field::transfer_encoding];
    return codings > 1 || message.version() < version_1_1 ||
           !same_name({value.data(), value.size()}, "chunked");
}

// What the parser holds of a head.
std::size_t head_memory_of(const parser_type::value_type& message)
{
    std::size_t out = 0;
    for (const auto& it : message)
        out +=
            field_overhead_bytes + it.name_string().size() + it.value().size();
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
         server_limits l, std::shared_ptr<server_budget> b)
        : acceptor(io), accept_timer(io), on(std::move(h)), limits(l),
          budget(std::move(b))
    {
        listen(acceptor, at);
    }

    void accept();
    void accept_later();
    void add(tcp::socket socket);
    bool make_room();
    void remove(const std::shared_ptr<connection>& it);
    std::shared_ptr<connection> take_open(request_number number);

    tcp::acceptor acceptor;
    asio::steady_timer accept_timer;
    handlers on;
    server_limits limits;
    std::shared_ptr<server_budget> budget;
    bool closing = false;
    request_number last_number = 0;
    traffic moved;
    std::unordered_map<request_number, std::shared_ptr<connection>> open;
    // At most limits.connections: each new one beyond takes the place of
    // another one, or is closed.
    std::vector<std::shared_ptr<connection>> all;
};

class server::impl::connection
    : public std::enable_shared_from_this<server::impl::connection>
{
public:
    connection(std::shared_ptr<impl> owner, tcp::socket socket)
        : owner_(std::move(owner)), socket_(std::move(socket)),
          account_(*owner_->budget, [this] { shed(); })
    {
        prepare(socket_, unconfirmed_limit);
        start_parser();
    }

    void read();
    void answer(const response& reply, bool is_last);
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
    /// Whether it may be ended in favour of another one.
    bool may_make_room(base::instant now) const;
    /// The greater, the sooner it makes room.
    double order(base::instant now) const;
    /// Whether a request of it has been worked on for long enough to be
    /// answered with what there is.
    bool may_give_up(base::instant now) const;
    base::instant since() const { return since_; }
    /// Has its request answered, and ends. False if there is no answer yet.
    bool give_up();

    std::size_t index = 0; ///< place in impl::all

private:
    void start_parser();
    void on_read(const error_code& ec, std::size_t n);
    void parse();
    void hand_out();
    void refuse(unsigned status);
    void write(const response& reply);
    void on_written();
    void begin(connection_state next);
    bool throws_input_away() const;
    void sweep_request(base::instant now);
    void estimate_head();
    std::size_t held_bytes() const;
    base::instant waiting_since() const;
    void count_held();
    void shed();

    std::shared_ptr<impl> owner_;
    tcp::socket socket_;
    read_buffer in_;
    std::optional<parser_type> parser_;
    write_buffer out_;
    // Requests are handed out while `receiving` only, and `lingering` is never
    // left but by the end: after a refusal, or an answer that announced the end
    // of the connection, nothing more is handed out, whatever comes.
    // sweep() ends each state but `handed_out`, which the answer ends.
    connection_state state_ = connection_state::receiving;
    request_number number_ = 0; ///< not 0 while handed_out
    bool keep_alive_ = true;    ///< after the answer
    bool is_head_ = false;      ///< the request that is answered is HEAD
    /// Memory of the head: an estimate from its lines until it is whole.
    std::size_t head_bytes_ = 0;
    bool is_head_counted_ = false; ///< head_bytes_ is no estimate
    std::size_t seen_ = 0; ///< bytes of in_.pending that were parsed before
    /// When the state began, or the first byte of a request came.
    base::instant since_ = base::now();
    base::instant last_use_ = base::now();
    // All that the connection holds is counted there, but for the free part:
    // what was read, the request as it is parsed, the answer while it is
    // written, and a request that is handed out until it is answered.
    budget_account account_;
};

void server::impl::connection::start_parser()
{
    parser_.emplace();
    parser_->header_limit(
        static_cast<std::uint32_t>(owner_->limits.header_bytes));
    parser_->body_limit(owner_->limits.body_bytes);
    parser_->eager(true);
    head_bytes_ = seen_ = 0;
    is_head_counted_ = false;
}

void server::impl::connection::begin(connection_state next)
{
    state_ = next;
    since_ = last_use_ = base::now();
}

// Nothing that comes after the last request of a connection is of any use.
bool server::impl::connection::throws_input_away() const
{
    return state_ == connection_state::lingering || (busy() && !keep_alive_);
}

void server::impl::connection::read()
{
    const bool reads_on = state_ == connection_state::receiving ||
                          in_.pending.size() <= max_read_ahead;
    if (state_ != connection_state::ended && reads_on)
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
    if (throws_input_away())
        in_.clear();
    parse();
    count_held();
    read();
}

void server::impl::connection::parse()
{
    while (state_ == connection_state::receiving && !in_.pending.empty())
    {
        if (!parser_->got_some())
        {
            start_parser(); // with the limits of now
            is_head_ = false;
            since_ = last_use_;
        }
        estimate_head();
        error_code ec;
        const auto outcome = feed(*parser_, in_.pending, ec);
        seen_ = in_.pending.size();
        // What the parser leaves is a head, trailers or the size of a chunk.
        const bool is_endless =
            outcome == parse_outcome::needs_more &&
            in_.pending.size() > owner_->limits.header_bytes;
        const bool is_ambiguous =
            parser_->is_header_done() && has_ambiguous_framing(parser_->get());
        if (is_ambiguous && outcome != parse_outcome::broken)
            refuse(status_bad_request);
        else if (outcome == parse_outcome::whole)
            hand_out();
        else if (is_endless)
            refuse(status_headers_too_large);
        else if (outcome == parse_outcome::broken)
            refuse(status_of(ec));
        else
            return;
    }
}

void server::impl::connection::hand_out()
{
    keep_alive_ = parser_->keep_alive();
    is_head_ = parser_->get().method() == beast_http::verb::head;
    auto message = to_request(parser_->release());
    start_parser();
    const auto held = copies_of_request * http::memory_of(message);
    const auto counted =
        held - std::min(held, server_budget::free_bytes_per_connection);
    if (!keep_alive_)
        in_.clear();
    // From here on, shedding leaves the request alone.
    begin(connection_state::handed_out);
    count_held();
    if (counted > 0 && !account_.keep(counted))
    {
        owner_->budget->count(shed_reason::bytes);
        refuse(status_unavailable);
        return;
    }
    number_ = ++owner_->last_number;
    owner_->open.emplace(number_, shared_from_this());
    owner_->on.on_request(number_, std::move(message));
}

// The bytes after a request that can't be read mean nothing, so the connection
// ends with the refusal. Nothing of the request is kept.
void server::impl::connection::refuse(unsigned status)
{
    // After hand_out() the method is known from there.
    is_head_ = is_head_ || parser_->get().method() == beast_http::verb::head;
    in_.clear();
    start_parser();
    keep_alive_ = false;
    auto reply = owner_->on.make_refusal(status);
    if (status == status_unavailable)
        reply.headers.push_back({"Retry-After", retry_after_overload_s});
    write(reply);
}

void server::impl::connection::answer(const response& reply, bool is_last)
{
    number_ = 0;
    account_.release_kept();
    if (state_ != connection_state::handed_out)
        return;
    keep_alive_ = keep_alive_ && !is_last && !owner_->closing;
    write(reply);
}

void server::impl::connection::write(const response& reply)
{
    out_.set(serialize(reply, {!keep_alive_, is_head_}), nullptr);
    owner_->moved.sent += out_.size();
    begin(connection_state::writing);
    out_.write(socket_,
               [self = shared_from_this()](const error_code& ec)
               {
                   if (ec)
                       self->end();
                   else
                       self->on_written();
               });
    count_held();
}

void server::impl::connection::on_written()
{
    if (state_ == connection_state::ended)
        return;
    if (!keep_alive_)
    {
        // The caller reads the answer first: only the sending side ends here.
        begin(connection_state::lingering);
        in_.clear();
        close_sending_side(socket_);
        count_held();
        read();
        return;
    }
    begin(connection_state::receiving);
    count_held();
    if (in_.pending.empty())
        return;
    asio::post(socket_.get_executor(),
               [self = shared_from_this()]
               {
                   self->parse();
                   self->count_held();
                   self->read();
               });
}

void server::impl::connection::sweep(base::instant now)
{
    const auto& limits = owner_->limits;
    switch (state_)
    {
    case connection_state::receiving:
        if (!is_idle())
            sweep_request(now);
        else if (now - since_ >= limits.idle_time)
            end();
        return;
    case connection_state::writing:
        count_held();
        if (state_ != connection_state::writing ||
            now - since_ < limits.transfer_time())
            return;
        owner_->budget->count(shed_reason::slow_answer);
        end();
        return;
    case connection_state::lingering:
        if (now - since_ >= linger_time)
            end();
        return;
    case connection_state::handed_out:
    case connection_state::ended:
        return;
    }
}

void server::impl::connection::sweep_request(base::instant now)
{
    const auto& limits = owner_->limits;
    const auto most =
        parser_->is_header_done() ? limits.transfer_time() : limits.header_time;
    if (now - since_ < most && now - last_use_ < limits.header_time)
        return;
    owner_->budget->count(shed_reason::slow_request);
    refuse(status_request_timeout);
}

// The parser keeps the fields of a head that is not whole yet.
void server::impl::connection::estimate_head()
{
    if (parser_->is_header_done())
        return;
    const auto fresh = std::string_view(in_.pending).substr(seen_);
    const auto lines =
        static_cast<std::size_t>(std::ranges::count(fresh, '\n'));
    head_bytes_ += fresh.size() + lines * field_overhead_bytes;
}

std::size_t server::impl::connection::held_bytes() const
{
    return in_.pending.capacity() + out_.held_bytes() + head_bytes_ +
           parser_->get().body().capacity();
}

void server::impl::connection::count_held()
{
    if (state_ == connection_state::ended)
        return;
    if (!is_head_counted_ && parser_->is_header_done())
    {
        head_bytes_ = head_memory_of(parser_->get());
        is_head_counted_ = true;
    }
    const auto held = held_bytes();
    const auto counted =
        held - std::min(held, server_budget::free_bytes_per_connection);
    account_.set_sheddable(counted, waiting_since());
}

// An answer waits since its caller last took some of it.
base::instant server::impl::connection::waiting_since() const
{
    return state_ == connection_state::writing ? out_.last_progress() : since_;
}

// The caller holds more than its share of what all callers may hold. A request
// that is handed out is answered all the same.
void server::impl::connection::shed()
{
    const auto self = shared_from_this();
    switch (state_)
    {
    case connection_state::receiving:
        refuse(status_unavailable);
        break;
    case connection_state::handed_out:
        keep_alive_ = false;
        in_.clear();
        read();
        break;
    case connection_state::writing:
    case connection_state::lingering:
        end();
        break;
    case connection_state::ended:
        break;
    }
    count_held();
}

bool server::impl::connection::may_make_room(base::instant now) const
{
    switch (state_)
    {
    case connection_state::receiving:
    case connection_state::lingering:
        return true;
    case connection_state::writing:
        return now - out_.last_progress() >= stall_time;
    case connection_state::handed_out:
    case connection_state::ended:
        break;
    }
    return false;
}

double server::impl::connection::order(base::instant now) const
{
    const auto held =
        std::max(held_bytes(), server_budget::free_bytes_per_connection);
    return shed_order(held, waiting_since(), now);
}

bool server::impl::connection::may_give_up(base::instant now) const
{
    return state_ == connection_state::handed_out && now - since_ >= stall_time;
}

bool server::impl::connection::give_up()
{
    const auto self = shared_from_this();
    keep_alive_ = false;
    in_.clear();
    owner_->on.on_give_up(number_);
    if (state_ == connection_state::handed_out)
        return false;
    end();
    return true;
}

void server::impl::connection::end()
{
    if (state_ == connection_state::ended)
        return;
    state_ = connection_state::ended;
    const auto self = shared_from_this();
    close(socket_);
    in_.clear();
    start_parser();
    account_.set_sheddable(0, since_);
    account_.release_kept();
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
            if (ec)
            {
                self->accept_later();
                return;
            }
            self->add(std::move(socket));
            self->accept();
        });
}

// What keeps the system from accepting, such as a lack of descriptors, does not
// pass at once.
void server::impl::accept_later()
{
    budget->count(shed_reason::connections);
    accept_timer.expires_after(accept_pause);
    accept_timer.async_wait(
        [self = shared_from_this()](const error_code& ec)
        {
            if (!ec && self->acceptor.is_open())
                self->accept();
        });
}

void server::impl::add(tcp::socket socket)
{
    if (all.size() >= limits.connections && !make_room())
    {
        close(socket);
        return;
    }
    auto it =
        std::make_shared<connection>(shared_from_this(), std::move(socket));
    it->index = all.size();
    all.push_back(it);
    it->read();
}

// Ends the connection that holds most for longest. If a request is worked on
// for each, the one that takes longest is answered. False if there is none.
bool server::impl::make_room()
{
    budget->count(shed_reason::connections);
    const auto now = base::now();
    const auto order = [now](const auto& it)
    { return it->may_make_room(now) ? it->order(now) : -1; };
    const auto held = std::ranges::max_element(all, {}, order);
    if (held == all.end())
        return false;
    if ((*held)->may_make_room(now))
    {
        // It leaves the list.
        const auto first = std::shared_ptr(*held);
        first->end();
        return true;
    }
    const auto begun = [now](const auto& it)
    { return it->may_give_up(now) ? it->since() : base::never; };
    const auto oldest =
        std::shared_ptr(*std::ranges::min_element(all, {}, begun));
    return oldest->may_give_up(now) && oldest->give_up();
}

void server::impl::remove(const std::shared_ptr<connection>& it)
{
    const auto index = it->index;
    all.back()->index = index;
    std::swap(all[index], all.back());
    all.pop_back();
}

// The connection whose request waits for this answer; null if it has ended.
std::shared_ptr<server::impl::connection>
server::impl::take_open(request_number number)
{
    const auto it = open.find(number);
    if (it == open.end())
        return nullptr;
    auto out = it->second;
    open.erase(it);
    return out;
}

server::server(asio::io_context& io, const tcp::endpoint& at, handlers h,
               server_limits limits, std::shared_ptr<server_budget> budget)
    : impl_(std::make_shared<impl>(io, at, std::move(h), limits,
                                   budget ? std::move(budget)
                                          : std::make_shared<server_budget>()))
{
    impl_->accept();
}

server::~server()
{
    close(impl_->acceptor);
    impl_->accept_timer.cancel();
    impl_->on.on_leave = [](request_number) {};
    impl_->on.on_request = [](request_number, request&&) {};
    const auto all = impl_->all;
    for (const auto& it : all)
        it->end();
}

void server::answer(request_number number, const response& reply)
{
    if (const auto connection = impl_->take_open(number))
        connection->answer(reply, false);
}

void server::answer_and_close(request_number number, const response& reply)
{
    if (const auto connection = impl_->take_open(number))
        connection->answer(reply, true);
}

void server::set_limits(const server_limits& limits)
{
    impl_->limits = limits;
}

const server_limits& server::limits() const
{
    return impl_->limits;
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
