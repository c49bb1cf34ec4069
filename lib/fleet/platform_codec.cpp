// Reads the JSON of the platform's object API.
#include "mimosacroft/fleet/platform_codec.hpp"

#include "mimosacroft/model/store_era.hpp"

#include <nlohmann/json.hpp>

namespace mimosacroft::fleet
{

namespace
{

template <typename T, typename Fn>
base::result<T> guarded(const std::string& json, Fn read)
{
    try
    {
        return read(nlohmann::json::parse(json));
    }
    catch (const nlohmann::json::exception& ex)
    {
        return base::fail(base::error_code::invalid, base::step::receive,
                          "platform", ex.what());
    }
}

model::store_era parse_era(const nlohmann::json& in)
{
    return {in.value("era", std::uint64_t{0}),
            in.value("since", std::uint64_t{0})};
}

} // namespace

base::result<wire::config_push> parse_changes(const std::string& json)
{
    return guarded<wire::config_push>(
        json,
        [](const nlohmann::json& in)
        {
            wire::config_push out;
            const auto era = parse_era(in);
            out.through = era.number * model::era_span +
                          in.at("version").get<std::uint64_t>();
            for (const auto& it : in.at("objects"))
            {
                auto& entry = out.entries.emplace_back();
                entry.kind = it.at("kind").get<std::string>();
                entry.name = it.at("name").get<std::string>();
                entry.version = model::ordered_version(
                    it.at("version").get<std::uint64_t>(), era);
                entry.deleted = it.value("deleted", false);
                if (!entry.deleted)
                    entry.body = it.at("value").dump();
            }
            return out;
        });
}

base::result<wire::view_push> parse_vms(const std::string& json)
{
    return guarded<wire::view_push>(
        json,
        [](const nlohmann::json& in)
        {
            wire::view_push out;
            out.version = in.at("version").get<std::uint64_t>();
            if (in.value("unchanged", false))
            {
                out.base = out.version;
                return out;
            }
            for (const auto& it : in.at("vms"))
                out.entries.push_back({it.at("vm").get<std::string>(),
                                       it.at("data_centre").get<std::string>(),
                                       it.at("peer_address").get<std::string>(),
                                       it.value("leaving", false)});
            return out;
        });
}

} // namespace mimosacroft::fleet
