// Framing of a peer link: a length of four bytes, most significant first, and
// as many bytes of message.
#ifndef MIMOSACROFT_WIRE_FRAME_HPP
#define MIMOSACROFT_WIRE_FRAME_HPP

#include "mimosacroft/base/error.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace mimosacroft::wire
{

/// The frame for packed bytes.
std::string make_frame(std::string_view bytes);

/// Cuts a byte stream into frames.
class frame_decoder
{
public:
    explicit frame_decoder(std::size_t max_frame_bytes)
        : max_frame_bytes_(max_frame_bytes)
    {
    }

    void append(std::string_view bytes);

    /// The next whole frame without its header; nothing while it is incomplete;
    /// an error if the frame is larger than allowed. After an error the stream
    /// has lost its frame boundaries and the link must be closed.
    base::result<std::optional<std::string>> next();

private:
    std::size_t max_frame_bytes_;
    std::string buf_;
    std::size_t offset_ = 0; ///< bytes of buf_ already handed out
};

} // namespace mimosacroft::wire

#endif
