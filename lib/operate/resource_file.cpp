// Resources in files.
#include "mimosacroft/operate/resource_file.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace mimosacroft::operate
{

using nlohmann::json;

namespace
{

// Takes the field "version" out of a resource.
base::result<std::optional<std::uint64_t>> take_version(json& value)
{
    if (!value.is_object() || !value.contains("version"))
        return std::nullopt;
    const auto it = value["version"];
    if (!it.is_number_unsigned())
        return base::fail(base::error_code::invalid, base::step::parse, "",
                          "field version: found " + it.dump() +
                              ", allowed is a whole number from 0");
    value.erase("version");
    return it.get<std::uint64_t>();
}

} // namespace

std::vector<std::string> files_of(const std::string& path)
{
    std::vector<std::string> out;
    if (!std::filesystem::is_directory(path))
        return {path};
    for (const auto& it : std::filesystem::directory_iterator(path))
        if (it.path().extension() == ".json")
            out.push_back(it.path().string());
    std::ranges::sort(out);
    return out;
}

base::result<std::vector<file_resource>> read_file(const std::string& path)
{
    const auto refuse = [&path](const std::string& why)
    {
        return base::fail(base::error_code::invalid, base::step::parse, path,
                          why);
    };
    std::ifstream in(path);
    if (!in)
        return refuse("file cannot be read");
    std::stringstream text;
    text << in.rdbuf();
    auto value = json::parse(text.str(), nullptr, false);
    if (value.is_discarded())
        return refuse("file is not valid JSON");
    if (!value.is_array())
        value = json::array({value});
    std::vector<file_resource> out;
    for (auto& it : value)
    {
        const auto version = take_version(it);
        if (!version)
            return refuse(version.error().text);
        auto parsed = model::parse_resource(it.dump());
        if (!parsed)
            return refuse(parsed.error().text);
        out.push_back({std::move(*parsed), *version});
    }
    return out;
}

} // namespace mimosacroft::operate
