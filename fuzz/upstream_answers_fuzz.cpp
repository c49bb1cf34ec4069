// Fuzzes the reading of an upstream's answer.
#include "mimosacroft/query/upstream_codec.hpp"

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace mimosacroft;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    (void)query::decode_reply(text);
    (void)query::refused_before_start({503, {}, text});
    return 0;
}
