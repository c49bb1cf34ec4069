// Resources in files, as operators write them.
#ifndef MIMOSACROFT_OPERATE_RESOURCE_FILE_HPP
#define MIMOSACROFT_OPERATE_RESOURCE_FILE_HPP

#include "mimosacroft/base/error.hpp"
#include "mimosacroft/model/schema.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mimosacroft::operate
{

/// A resource of a file.
struct file_resource
{
    model::declared declared;
    /// The version that the file was made from, if it says one: the write is
    /// refused when another one is current.
    std::optional<std::uint64_t> version;
};

/// The files of a folder in order of name, or the file itself.
std::vector<std::string> files_of(const std::string& path);

/// The resources of a file: one object or a list of objects.
base::result<std::vector<file_resource>> read_file(const std::string& path);

} // namespace mimosacroft::operate

#endif
