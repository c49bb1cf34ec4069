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
    (void)query::decode_refusal({503, {}, text});
    (void)query::decode_health({200, {}, text});
    return 0;
}
