// The schema of the resources: parsing with a clear error for each field, and
// writing. Operators' tools and the daemon use this same code.
#ifndef MIMOSACROFT_MODEL_SCHEMA_HPP
#define MIMOSACROFT_MODEL_SCHEMA_HPP

#include "mimosacroft/base/error.hpp"
#include "mimosacroft/model/resources.hpp"

#include <string>
#include <string_view>

namespace mimosacroft::model
{

/// A resource with its place in the platform.
struct declared
{
    resource_kind kind = resource_kind::search;
    std::string name;
    model::resource value;
};

/// Checks and parses the JSON of one resource:
/// {"kind": ..., "name": ..., "spec": {...}}. The error's text names the field,
/// what was found and what is allowed.
base::result<declared> parse_resource(std::string_view json);

/// The same JSON, normalised.
std::string to_json(const resource& value);

const std::string& name_of(const resource& value);
resource_kind kind_of(const resource& value);

} // namespace mimosacroft::model

#endif
