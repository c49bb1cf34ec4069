// How bytes of messages come in and go out, which is the same for both sides.
#ifndef MIMOSACROFT_LIB_HTTP_MESSAGE_STREAM_HPP
#define MIMOSACROFT_LIB_HTTP_MESSAGE_STREAM_HPP

#include "mimosacroft/http/asio.hpp"
#include "mimosacroft/http/message.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
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
    /// of bytes that were added.
    template <typename Handler>
    void read(tcp::socket& socket, Handler then)
    {
        if (reading_)
            return;
        reading_ = true;
        socket.async_read_some(
            asio::buffer(bytes_),
            [this, then = std::move(then)](const error_code& ec, std::size_t n)
            {
                reading_ = false;
                pending.append(bytes_.data(), n);
                then(ec, n);
            });
    }

    std::string pending; ///< read and not yet parsed

private:
    std::array<char, std::size_t{8} * 1024> bytes_{};
    bool reading_ = false;
};

/// Writes what fits at once and the rest as the other side takes it. `bytes`
/// must stay until `done` is called with the outcome, maybe before this
/// returns.
template <typename Handler>
void write_all(tcp::socket& socket, std::string& bytes, Handler done)
{
    error_code ec;
    const auto n = socket.write_some(asio::buffer(bytes), ec);
    if (ec && ec != asio::error::would_block)
    {
        done(ec);
        return;
    }
    if (!ec && n == bytes.size())
    {
        done(error_code());
        return;
    }
    bytes.erase(0, ec ? 0 : n);
    asio::async_write(socket, asio::buffer(bytes),
                      [done = std::move(done)](const error_code& failed,
                                               std::size_t) { done(failed); });
}

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
