// msgpack bodies of the messages between entry VMs.
#ifndef MIMOSACROFT_ENTRY_MSGPACK_BODY_HPP
#define MIMOSACROFT_ENTRY_MSGPACK_BODY_HPP

#include "mimosacroft/base/error.hpp"

#include <exception>
#include <msgpack.hpp>
#include <string>

namespace mimosacroft::entry
{

template <typename Message>
std::string pack(const Message& it)
{
    msgpack::sbuffer buf;
    msgpack::pack(buf, it);
    return {buf.data(), buf.size()};
}

/// Errors: invalid.
template <typename Message>
base::result<Message> unpack(const std::string& bytes)
{
    try
    {
        const auto handle = msgpack::unpack(bytes.data(), bytes.size());
        return handle.get().as<Message>();
    }
    catch (const std::exception& ex)
    {
        return base::fail(base::error_code::invalid, base::step::spread, "vm",
                          ex.what());
    }
}

} // namespace mimosacroft::entry

#endif
