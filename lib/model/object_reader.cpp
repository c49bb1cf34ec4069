// Reads the fields of a JSON object against what is allowed.
#include "mimosacroft/model/object_reader.hpp"

#include <algorithm>

namespace mimosacroft::model
{

namespace
{

constexpr std::size_t max_name_length = 64;
constexpr std::size_t max_shown_length = 80;

bool is_name(const std::string& text)
{
    const auto allowed = [](unsigned char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
               c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= max_name_length &&
           std::ranges::all_of(text, allowed);
}

// What is shown of a value in an error; safe for values that are not UTF-8.
std::string shown(const nlohmann::json& value)
{
    std::string out =
        value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    if (out.size() > max_shown_length)
        out = out.substr(0, max_shown_length) + "...";
    return out;
}

} // namespace

object_reader::object_reader(const nlohmann::json& value, std::string path,
                             std::optional<std::string>& problem)
    : value_(value), path_(std::move(path)), problem_(problem)
{
    if (!value_.is_object())
        complain("", shown(value_), "an object");
}

std::string object_reader::path_of(const std::string& field) const
{
    if (path_.empty() || field.empty())
        return path_.empty() && field.empty() ? "resource" : path_ + field;
    return path_ + "." + field;
}

void object_reader::complain(const std::string& field, const std::string& found,
                             const std::string& allowed)
{
    if (!problem_)
        problem_ = "field " + path_of(field) + ": found " + found +
                   ", allowed is " + allowed;
}

const nlohmann::json* object_reader::find(const std::string& field)
{
    asked_.insert(field);
    if (!value_.is_object())
        return nullptr;
    const auto it = value_.find(field);
    return it == value_.end() ? nullptr : &*it;
}

const nlohmann::json* object_reader::require(const std::string& field,
                                             const std::string& allowed)
{
    const auto* out = find(field);
    if (!out)
        complain(field, "nothing", allowed);
    return out;
}

std::string object_reader::text(const std::string& field)
{
    const auto* value = require(field, "a text");
    if (!value)
        return {};
    if (value->is_string() && !value->get_ref<const std::string&>().empty())
        return value->get<std::string>();
    complain(field, shown(*value), "a text");
    return {};
}

std::string object_reader::name(const std::string& field)
{
    static const std::string allowed = "a name of 1 to 64 of a-z 0-9 - _ .";
    const auto* value = require(field, allowed);
    if (!value)
        return {};
    if (value->is_string() && is_name(value->get<std::string>()))
        return value->get<std::string>();
    complain(field, shown(*value), allowed);
    return {};
}

std::string object_reader::text_or(const std::string& field,
                                   std::string fallback)
{
    const auto* value = find(field);
    if (!value)
        return fallback;
    if (value->is_string())
        return value->get<std::string>();
    complain(field, shown(*value), "a text");
    return fallback;
}

std::uint64_t object_reader::number(const std::string& field,
                                    std::uint64_t least, std::uint64_t most)
{
    const std::string allowed = "a whole number from " + std::to_string(least) +
                                " to " + std::to_string(most);
    const auto* value = require(field, allowed);
    if (!value)
        return least;
    if (value->is_number_unsigned())
    {
        const auto n = value->get<std::uint64_t>();
        if (n >= least && n <= most)
            return n;
    }
    complain(field, shown(*value), allowed);
    return least;
}

std::uint64_t object_reader::number_or(const std::string& field,
                                       std::uint64_t least, std::uint64_t most,
                                       std::uint64_t fallback)
{
    return find(field) ? number(field, least, most) : fallback;
}

double object_reader::share_or(const std::string& field, double fallback)
{
    const auto* value = find(field);
    if (!value)
        return fallback;
    if (value->is_number())
    {
        const auto share = value->get<double>();
        if (share >= 0 && share <= 1)
            return share;
    }
    complain(field, shown(*value), "a number from 0 to 1");
    return fallback;
}

bool object_reader::flag_or(const std::string& field, bool fallback)
{
    const auto* value = find(field);
    if (!value)
        return fallback;
    if (value->is_boolean())
        return value->get<bool>();
    complain(field, shown(*value), "true or false");
    return fallback;
}

const nlohmann::json* object_reader::any(const std::string& field)
{
    return require(field, "any JSON");
}

std::vector<std::string> object_reader::names(const std::string& field)
{
    static const std::string allowed = "a list of one or more texts";
    const auto* value = require(field, allowed);
    if (!value)
        return {};
    const auto is_text = [](const nlohmann::json& it)
    { return it.is_string() && !it.get_ref<const std::string&>().empty(); };
    if (value->is_array() && !value->empty() &&
        std::ranges::all_of(*value, is_text))
        return value->get<std::vector<std::string>>();
    complain(field, shown(*value), allowed);
    return {};
}

void object_reader::each(const std::string& field,
                         const std::function<void(object_reader&)>& fn)
{
    static const std::string allowed = "a list of one or more objects";
    const auto* value = require(field, allowed);
    if (!value)
        return;
    if (!value->is_array() || value->empty())
        return complain(field, shown(*value), allowed);
    std::size_t n = 0;
    for (const auto& element : *value)
    {
        object_reader in(element,
                         path_of(field) + "[" + std::to_string(n++) + "]",
                         problem_);
        fn(in);
        in.refuse_unknown_fields();
    }
}

void object_reader::nested(const std::string& field,
                           const std::function<void(object_reader&)>& fn)
{
    const auto* value = require(field, "an object");
    if (!value)
        return;
    object_reader in(*value, path_of(field), problem_);
    fn(in);
    in.refuse_unknown_fields();
}

void object_reader::refuse_unknown_fields()
{
    if (!value_.is_object())
        return;
    for (const auto& [field, value] : value_.items())
    {
        if (asked_.contains(field))
            continue;
        std::string allowed;
        for (const auto& it : asked_)
            allowed += (allowed.empty() ? "" : ", ") + it;
        complain(field, "an unknown field", allowed);
    }
}

} // namespace mimosacroft::model
