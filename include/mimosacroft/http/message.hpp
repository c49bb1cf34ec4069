// HTTP/1.1 messages as values, for both the server and the client side.
#ifndef MIMOSACROFT_HTTP_MESSAGE_HPP
#define MIMOSACROFT_HTTP_MESSAGE_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mimosacroft::http
{

/// Bytes of messages since the start.
struct traffic
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

struct header
{
    std::string name;
    std::string value;
};

using header_list = std::vector<header>;

/// The value of the first header with this name; case does not matter.
std::optional<std::string_view> find(const header_list& headers,
                                     std::string_view name);

/// Whether two header names are the same one.
bool same_name(std::string_view a, std::string_view b);

/// Whether a header concerns one connection only, so that it is not passed on.
/// Length and encoding of the body count as such: each side writes its own.
bool is_hop_by_hop(std::string_view name);

struct request
{
    std::string method;
    std::string target; ///< path and query as sent
    header_list headers;
    std::string body;
};

/// The body of a request that several messages share.
using shared_body = std::shared_ptr<const std::string>;

struct response
{
    unsigned status = 0;
    header_list headers;
    std::string body;
};

/// Whether the text of a head, but for its own first line, holds the beginning
/// of an answer: a version and a status. Then bytes of two answers were read as
/// one head, and it says nothing about either.
bool holds_status_line(std::string_view text);

/// A request as bytes; the length of its body is added.
std::string serialize(const request& it);

/// The head of a request whose body has this length, with its empty line.
std::string serialize_head(const request& it, std::size_t body_size);

/// The memory that a message takes, its bytes and what they are kept in.
std::size_t memory_of(const request& it);

/// What a response is written for.
struct response_context
{
    bool closes = false;  ///< announces that the connection ends after it
    bool is_head = false; ///< answers a HEAD request, so that no body follows
};

/// A response as bytes; the length of its body is added. A status that has no
/// body is written without one.
std::string serialize(const response& it, response_context context);

} // namespace mimosacroft::http

#endif
