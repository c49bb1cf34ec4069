// Encodes and decodes the msgpack bodies of HTTP messages between entry VMs.
#ifndef MIMOSACROFT_ENTRY_MSGPACK_BODY_HPP
#define MIMOSACROFT_ENTRY_MSGPACK_BODY_HPP

#include "mimosacroft/base/error.hpp"

#include <exception>
#include <msgpack.hpp>
#include <string>

namespace mimosacroft::entry
{

template <typename Message>
std::string pack(const Message& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}

/// Errors: invalid, if the bytes are not msgpack or don't fit `Message`. The
/// bytes may state any length for what follows, but no more than there are of
/// them is made room for.
template <typename Message>
base::result<Message> unpack(const std::string& bytes)
{
    try
    {
        constexpr std::size_t max_depth = 16;
        const auto n = bytes.size();
        const auto handle =
            msgpack::unpack(bytes.data(), n, nullptr, nullptr,
                            msgpack::unpack_limit(n, n, n, n, n, max_depth));
        return handle.get().as<Message>();
    }
    catch (const std::exception& error)
    {
        return base::fail(base::error_code::invalid, base::step::spread, "vm",
                          error.what());
    }
}

} // namespace mimosacroft::entry

#endif
