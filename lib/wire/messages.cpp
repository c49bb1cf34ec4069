// Packing and unpacking of the messages between processes.
#include "mimosacroft/wire/messages.hpp"

#include <limits>

namespace mimosacroft::wire
{

namespace
{

// Limits for foreign input; nesting of our own messages stays below them.
const msgpack::unpack_limit unpack_limits(1 << 20, // array
                                          1 << 10, // map
                                          1 << 24, // string, bytes
                                          1 << 24, // binary, bytes
                                          1 << 10, // extension, bytes
                                          16);     // depth

template <std::size_t N = 0>
message to_message(std::size_t type, const msgpack::object& body)
{
    if constexpr (N < std::variant_size_v<message>)
    {
        if (type == N)
            return body.as<std::variant_alternative_t<N, message>>();
        return to_message<N + 1>(type, body);
    }
    else
        throw msgpack::type_error();
}

} // namespace

std::string pack(const message& msg)
{
    msgpack::sbuffer buf;
    msgpack::packer<msgpack::sbuffer> out(buf);
    out.pack_array(2);
    out.pack(static_cast<std::uint32_t>(msg.index()));
    std::visit([&out](const auto& it) { out.pack(it); }, msg);
    return {buf.data(), buf.size()};
}

base::result<message> unpack(std::string_view bytes)
{
    try
    {
        std::size_t used = 0;
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), used,
                                            nullptr, nullptr, unpack_limits);
        const auto& top = handle.get();
        if (used != bytes.size() || top.type != msgpack::type::ARRAY ||
            top.via.array.size != 2)
            throw msgpack::type_error();
        const auto type = top.via.array.ptr[0].as<std::uint32_t>();
        return to_message(type, top.via.array.ptr[1]);
    }
    catch (const std::exception&)
    {
        return base::fail(base::error_code::invalid, base::step::receive, "",
                          "frame holds no known message");
    }
}

} // namespace mimosacroft::wire
