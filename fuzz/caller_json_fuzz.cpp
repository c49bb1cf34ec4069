// Fuzzes the reading of a caller's request.
#include "mimosacroft/daemon/caller_api.hpp"

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace mimosacroft;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    (void)daemon::parse_search_request(text);
    return 0;
}
