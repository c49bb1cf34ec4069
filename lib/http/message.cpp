// HTTP/1.1 messages as values.
#include "mimosacroft/http/message.hpp"

#include "mimosacroft/base/text.hpp"

#include <algorithm>
#include <array>
#include <utility>

// Boost.Utility prints strings without including the stream it prints to.
#include <ostream>

#include <boost/beast/http/status.hpp>

namespace mimosacroft::http
{

namespace
{

constexpr auto hop_by_hop_names = std::to_array<std::string_view>(
    {"connection", "keep-alive", "proxy-connection", "te", "trailer",
     "transfer-encoding", "upgrade", "content-length", "expect"});

void append_headers(std::string& out, const header_list& headers)
{
    for (const auto& it : headers)
    {
        out += it.name;
        out += ": ";
        out += it.value;
        out += "\r\n";
    }
}

bool has_no_body(unsigned status)
{
    return status < 200 || status == 204 || status == 304;
}

} // namespace

bool same_name(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, {}, base::to_lower, base::to_lower);
}

std::optional<std::string_view> find(const header_list& headers,
                                     std::string_view name)
{
    const auto it =
        std::ranges::find_if(headers, [name](const header& candidate)
                             { return same_name(candidate.name, name); });
    if (it == headers.end())
        return std::nullopt;
    return it->value;
}

bool is_hop_by_hop(std::string_view name)
{
    return std::ranges::any_of(hop_by_hop_names, [name](std::string_view it)
                               { return same_name(it, name); });
}

bool holds_status_line(std::string_view text)
{
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t digits_at = version.size() + 2; // as in "HTTP/1.1 "
    constexpr std::size_t size = digits_at + 3;
    for (auto at = text.find(version); at != std::string_view::npos;
         at = text.find(version, at + 1))
    {
        const auto line = text.substr(at, size);
        if (line.size() == size && line[digits_at - 1] == ' ' &&
            std::ranges::all_of(line.substr(digits_at),
                                [](char c) { return c >= '0' && c <= '9'; }))
            return true;
    }
    return false;
}

std::string serialize_head(const request& it, std::size_t body_size)
{
    std::string out = it.method + " " + it.target + " HTTP/1.1\r\n";
    append_headers(out, it.headers);
    if (body_size > 0 || (it.method != "GET" && it.method != "HEAD"))
        out += "Content-Length: " + std::to_string(body_size) + "\r\n";
    out += "\r\n";
    return out;
}

std::string serialize(const request& it)
{
    return serialize_head(it, it.body.size()) + it.body;
}

std::size_t memory_of(const request& it)
{
    std::size_t out =
        it.method.capacity() + it.target.capacity() + it.body.capacity();
    for (const auto& field : it.headers)
        out += sizeof(field) + field.name.capacity() + field.value.capacity();
    return out;
}

std::string serialize(const response& it, response_context context)
{
    const auto reason = boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(static_cast<unsigned>(it.status)));
    std::string out = "HTTP/1.1 " + std::to_string(it.status) + " ";
    out.append(reason.data(), reason.size());
    out += "\r\n";
    append_headers(out, it.headers);
    if (context.closes)
        out += "Connection: close\r\n";
    // The length of an answer to HEAD is that of the answer to GET, which is
    // not known where a server answered without a body.
    const bool states_length = !context.is_head || !it.body.empty();
    if (!has_no_body(it.status) && states_length)
        out += "Content-Length: " + std::to_string(it.body.size()) + "\r\n";
    out += "\r\n";
    if (!has_no_body(it.status) && !context.is_head)
        out += it.body;
    return out;
}

} // namespace mimosacroft::http
