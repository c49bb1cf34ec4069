// How bytes of messages come in and go out, which is the same for both sides.
#ifndef MIMOSACROFT_LIB_HTTP_MESSAGE_STREAM_HPP
#define MIMOSACROFT_LIB_HTTP_MESSAGE_STREAM_HPP

#include "mimosacroft/base/clock.hpp"
#include "mimosacroft/http/asio.hpp"
#include "mimosacroft/http/message.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <string>
#include <utility>

namespace mimosacroft::http
{

/// What was read from a connection and not used yet; at most one read is under
/// way. Whoever waits for it must keep this alive.
class read_buffer
{
public:
    /// Reads on, if no read is under way; `then` gets the error and the number
    /// of bytes that were added. The socket must not block.
    template <typename Handler>
    void read(tcp::socket& socket, Handler then)
    {
        if (reading_)
            return;
        reading_ = true;
        wait(socket, std::move(then));
    }

    /// Throws away what was read, with its memory.
    void clear() { std::string().swap(pending); }

    std::string pending; ///< read and not yet parsed

private:
    static constexpr std::size_t max_read_bytes = std::size_t{8} * 1024;

    // A connection without bytes has no memory for them: there is one place for
    // all of a thread, which is used once there is something to read.
    template <typename Handler>
    void wait(tcp::socket& socket, Handler then)
    {
        socket.async_wait(
            tcp::socket::wait_read,
            [this, &socket, then = std::move(then)](error_code ec) mutable
            {
                static thread_local std::array<char, max_read_bytes> bytes;
                const auto n =
                    ec ? 0 : socket.read_some(asio::buffer(bytes), ec);
                if (ec == asio::error::would_block)
                {
                    wait(socket, std::move(then));
                    return;
                }
                reading_ = false;
                pending.append(bytes.data(), n);
                then(ec, n);
            });
    }

    bool reading_ = false;
};

/// A message while it is written: bytes of its own, and maybe a body that other
/// messages share. Whoever waits for it must keep this alive.
class write_buffer
{
public:
    /// Writes what fits at once and the rest as the other side takes it. `done`
    /// is called with the outcome, maybe before this returns. The socket must
    /// not block.
    template <typename Handler>
    void write(tcp::socket& socket, Handler done)
    {
        error_code ec;
        written_ += socket.write_some(rest(), ec);
        last_progress_ = base::now();
        if ((ec && ec != asio::error::would_block) || is_written())
            finish(ec, done);
        else
            write_on(socket, std::move(done));
    }

    void set(std::string bytes, shared_body body)
    {
        bytes_ = std::move(bytes);
        body_ = std::move(body);
        written_ = 0;
    }

    std::size_t size() const
    {
        return bytes_.size() + (body_ ? body_->size() : 0);
    }
    /// Memory of the bytes that are its own.
    std::size_t held_bytes() const { return bytes_.capacity(); }
    /// When the other side last took something.
    base::instant last_progress() const { return last_progress_; }

private:
    template <typename Handler>
    void write_on(tcp::socket& socket, Handler done)
    {
        socket.async_write_some(rest(),
                                [this, &socket, done = std::move(done)](
                                    const error_code& ec, std::size_t n) mutable
                                {
                                    written_ += n;
                                    last_progress_ = base::now();
                                    if (ec || is_written())
                                        finish(ec, done);
                                    else
                                        write_on(socket, std::move(done));
                                });
    }

    template <typename Handler>
    void finish(const error_code& ec, const Handler& done)
    {
        set({}, nullptr);
        done(ec);
    }

    bool is_written() const { return written_ >= size(); }

    std::array<asio::const_buffer, 2> rest() const
    {
        const auto own = asio::buffer(bytes_) + written_;
        const auto in_body = written_ - std::min(written_, bytes_.size());
        const auto body =
            body_ ? asio::buffer(*body_) + in_body : asio::const_buffer();
        return {own, body};
    }

    std::string bytes_;
    shared_body body_;
    std::size_t written_ = 0;
    base::instant last_progress_{};
};

enum class parse_outcome
{
    needs_more, ///< the message goes on in what is read next
    whole,
    broken
};

/// Feeds what was read to a parser until a message is whole; takes what was
/// used from `pending`. `ec` says why a message is broken.
template <typename Parser>
parse_outcome feed(Parser& parser, std::string& pending, error_code& ec)
{
    namespace beast_http = boost::beast::http;
    while (!pending.empty())
    {
        const auto used = parser.put(asio::buffer(pending), ec);
        pending.erase(0, used);
        if (ec == beast_http::error::need_more)
            return parse_outcome::needs_more;
        if (ec)
            return parse_outcome::broken;
        if (parser.is_done())
            return parse_outcome::whole;
        if (used == 0)
            return parse_outcome::needs_more;
    }
    return parse_outcome::needs_more;
}

/// The headers of a message of Beast.
template <typename Fields>
header_list to_headers(const Fields& fields)
{
    header_list out;
    for (const auto& it : fields)
        out.push_back(
            {std::string(it.name_string().data(), it.name_string().size()),
             std::string(it.value().data(), it.value().size())});
    return out;
}

} // namespace mimosacroft::http

#endif
