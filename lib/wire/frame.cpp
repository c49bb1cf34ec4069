// Framing of a peer link.
#include "mimosacroft/wire/frame.hpp"

#include <cstdint>

namespace mimosacroft::wire
{

namespace
{

constexpr std::size_t header_bytes = 4;

std::uint32_t read_length(std::string_view header)
{
    std::uint32_t n = 0;
    for (const char c : header)
        n = n << 8 | static_cast<unsigned char>(c);
    return n;
}

} // namespace

std::string make_frame(std::string_view bytes)
{
    const auto n = static_cast<std::uint32_t>(bytes.size());
    std::string out;
    out.reserve(header_bytes + bytes.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        out += static_cast<char>(n >> shift & 0xff);
    out += bytes;
    return out;
}

void frame_decoder::append(std::string_view bytes)
{
    buf_.erase(0, offset_);
    offset_ = 0;
    buf_ += bytes;
}

base::result<std::optional<std::string>> frame_decoder::next()
{
    const auto left = std::string_view(buf_).substr(offset_);
    if (left.size() < header_bytes)
        return std::nullopt;
    const std::size_t n = read_length(left.substr(0, header_bytes));
    if (n > max_frame_bytes_)
        return base::fail(base::error_code::too_large, base::step::receive, "",
                          "frame of " + std::to_string(n) +
                              " bytes, allowed are " +
                              std::to_string(max_frame_bytes_));
    if (left.size() < header_bytes + n)
        return std::nullopt;
    offset_ += header_bytes + n;
    return std::string(left.substr(header_bytes, n));
}

} // namespace mimosacroft::wire
