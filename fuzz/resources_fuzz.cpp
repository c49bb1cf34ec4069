// Fuzzes the reading of a resource; what is read must survive writing.
#include "mimosacroft/model/schema.hpp"

#include <cstdint>
#include <cstdlib>
#include <string>

using namespace mimosacroft;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    const auto read = model::parse_resource(text);
    if (read && !model::parse_resource(model::to_json(read->value)))
        std::abort();
    return 0;
}
