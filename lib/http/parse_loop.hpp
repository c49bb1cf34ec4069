// The reading of messages, which is the same for both sides.
#ifndef MIMOSACROFT_LIB_HTTP_PARSE_LOOP_HPP
#define MIMOSACROFT_LIB_HTTP_PARSE_LOOP_HPP

#include "mimosacroft/http/asio.hpp"
#include "mimosacroft/http/message.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <string>

namespace mimosacroft::http
{

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
