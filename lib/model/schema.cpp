// The schema of the resources.
#include "mimosacroft/model/schema.hpp"

#include "mimosacroft/base/text.hpp"
#include "mimosacroft/model/object_reader.hpp"

#include <algorithm>
#include <set>

namespace mimosacroft::model
{

namespace
{

constexpr std::uint64_t max_deadline_ms = 60'000;
constexpr std::uint64_t max_slots = 10'000;
constexpr std::uint64_t max_connections = 100'000;
constexpr std::uint64_t max_epoch = 1ULL << 53; // exact in JSON
constexpr std::size_t token_hash_digits = 64;

bool is_token_hash(const std::string& text)
{
    return text.size() == token_hash_digits &&
           std::ranges::all_of(
               text, [](char c)
               { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

// Complains about the second of two equal names in a list.
template <typename Items>
void refuse_doubles(object_reader& in, const std::string& field,
                    const Items& items)
{
    std::set<std::string> seen;
    for (const auto& it : items)
        if (!seen.insert(it.name).second)
            in.complain(field, "the name " + it.name + " twice",
                        "each name once");
}

search read_search(object_reader& in)
{
    search out;
    out.index = in.name("index");
    out.scope = in.choice_or("scope", out.scope);
    out.repeatable = in.flag_or("repeatable", out.repeatable);
    out.max_deadline_ms = static_cast<std::uint32_t>(in.number_or(
        "max_deadline_ms", 1, max_deadline_ms, out.max_deadline_ms));
    out.default_deadline_ms = static_cast<std::uint32_t>(
        in.number_or("default_deadline_ms", 1, out.max_deadline_ms,
                     std::min(out.default_deadline_ms, out.max_deadline_ms)));
    out.least_coverage = in.share_or("least_coverage", out.least_coverage);
    return out;
}

server read_server(object_reader& in)
{
    server out;
    out.name = in.name("name");
    out.address = in.text("address");
    if (!out.address.empty() && !base::is_address(out.address))
        in.complain("address", out.address, "ip:port");
    out.leaving = in.flag_or("leaving", false);
    return out;
}

upstream read_upstream(object_reader& in)
{
    upstream out;
    out.data_centre = in.name("data_centre");
    in.each("servers", [&out](object_reader& it)
            { out.servers.push_back(read_server(it)); });
    refuse_doubles(in, "servers", out.servers);
    out.slots = static_cast<std::uint32_t>(
        in.number_or("slots", 1, max_slots, out.slots));
    out.connections = static_cast<std::uint32_t>(
        in.number_or("connections", 1, max_connections, out.connections));
    out.connect_ms = static_cast<std::uint32_t>(
        in.number_or("connect_ms", 0, max_deadline_ms, out.connect_ms));
    return out;
}

index read_index(object_reader& in)
{
    index out;
    out.epoch = in.number("epoch", 1, max_epoch);
    in.each("shards",
            [&out](object_reader& it)
            {
                auto& made = out.shards.emplace_back();
                made.name = it.name("name");
                made.upstreams = it.names("upstreams");
            });
    refuse_doubles(in, "shards", out.shards);
    return out;
}

rule read_rule(object_reader& in)
{
    rule out;
    out.token_sha256 = in.text("token_sha256");
    if (!out.token_sha256.empty() && !is_token_hash(out.token_sha256))
        in.complain("token_sha256", "another text",
                    "64 lower-case hexadecimal digits");
    out.searches = in.names("searches");
    out.priority = in.choice_or("priority", out.priority);
    return out;
}

resource read_spec(resource_kind kind, object_reader& in)
{
    switch (kind)
    {
    case resource_kind::search:
        return read_search(in);
    case resource_kind::upstream:
        return read_upstream(in);
    case resource_kind::index:
        return read_index(in);
    case resource_kind::rule:
        return read_rule(in);
    }
    return search{};
}

nlohmann::json spec_of(const search& it)
{
    return {{"index", it.index},
            {"scope", base::name_of(it.scope)},
            {"repeatable", it.repeatable},
            {"default_deadline_ms", it.default_deadline_ms},
            {"max_deadline_ms", it.max_deadline_ms},
            {"least_coverage", it.least_coverage}};
}

nlohmann::json spec_of(const upstream& it)
{
    auto servers = nlohmann::json::array();
    for (const auto& s : it.servers)
        servers.push_back(
            {{"name", s.name}, {"address", s.address}, {"leaving", s.leaving}});
    return {{"data_centre", it.data_centre},
            {"servers", servers},
            {"slots", it.slots},
            {"connections", it.connections},
            {"connect_ms", it.connect_ms}};
}

nlohmann::json spec_of(const index& it)
{
    auto shards = nlohmann::json::array();
    for (const auto& s : it.shards)
        shards.push_back({{"name", s.name}, {"upstreams", s.upstreams}});
    return {{"epoch", it.epoch}, {"shards", shards}};
}

nlohmann::json spec_of(const rule& it)
{
    return {{"token_sha256", it.token_sha256},
            {"searches", it.searches},
            {"priority", base::name_of(it.priority)}};
}

} // namespace

const std::string& name_of(const resource& value)
{
    return std::visit([](const auto& it) -> const std::string&
                      { return it.name; }, value);
}

resource_kind kind_of(const resource& value)
{
    return static_cast<resource_kind>(value.index());
}

base::result<declared> parse_resource(std::string_view json)
{
    const auto refuse = [](std::string text)
    {
        return base::fail(base::error_code::invalid, base::step::parse, "",
                          std::move(text));
    };
    const auto value = nlohmann::json::parse(json, nullptr, false);
    if (value.is_discarded())
        return refuse("resource is not valid JSON");
    std::optional<std::string> problem;
    object_reader in(value, "", problem);
    declared out;
    in.text("kind");
    out.kind = in.choice_or("kind", resource_kind::search);
    out.name = in.name("name");
    if (!problem)
        in.nested("spec", [&out](object_reader& spec)
                  { out.value = read_spec(out.kind, spec); });
    in.refuse_unknown_fields();
    if (problem)
        return refuse(*problem);
    std::visit([&out](auto& it) { it.name = out.name; }, out.value);
    return out;
}

std::string to_json(const resource& value)
{
    const nlohmann::json out = {
        {"kind", base::name_of(kind_of(value))},
        {"name", name_of(value)},
        {"spec",
         std::visit([](const auto& it) { return spec_of(it); }, value)}};
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace mimosacroft::model
