// Fuzzes the framing and unpacking of a peer link's bytes.
#include "mimosacroft/wire/frame.hpp"
#include "mimosacroft/wire/messages.hpp"

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace mimosacroft;

namespace
{

constexpr std::size_t max_frame_bytes = 1 << 16;

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    wire::frame_decoder decoder(max_frame_bytes);
    decoder.append(text);
    for (auto it = decoder.next(); it && *it; it = decoder.next())
        (void)wire::unpack(**it);
    (void)wire::unpack(text);
    return 0;
}
