// Fuzzes the reading of the platform's replies.
#include "mimosacroft/fleet/platform_codec.hpp"

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace mimosacroft;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    (void)fleet::parse_changes(text);
    (void)fleet::parse_vms(text);
    return 0;
}
