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

/// Errors: invalid, if the bytes are not msgpack or don't fit `Message`.
template <typename Message>
base::result<Message> unpack(const std::string& bytes)
{
    try
    {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size());
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
