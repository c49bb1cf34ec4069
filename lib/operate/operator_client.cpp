// The operators' side of the API.
#include "mimosacroft/operate/operator_client.hpp"

#include "mimosacroft/base/time.hpp"
#include "mimosacroft/model/schema.hpp"
#include "mimosacroft/net/blocking_http.hpp"

#include <chrono>
#include <thread>
#include <utility>

namespace mimosacroft::operate
{

using nlohmann::json;

namespace
{

constexpr base::milliseconds call_timeout{5000};
constexpr base::milliseconds poll_period{200};
constexpr base::milliseconds read_back_limit{3000};

tl::unexpected<base::error>
apply_error(base::error_code code, const std::string& path, std::string why)
{
    return base::fail(code, base::step::apply, path, std::move(why));
}

std::string describe(const current_state& it)
{
    if (it.version == 0)
        return "it is now deleted";
    return "it is now version " + std::to_string(it.version) + ": " +
           it.value.dump();
}

// Finds out what became of a write whose answer did not come. `wanted` is null
// for a delete. Gives the version that holds what was wanted.
base::result<std::uint64_t> read_back(const operator_client& to,
                                      const std::string& path,
                                      const json& wanted, std::uint64_t base,
                                      const std::string& why)
{
    const auto due = std::chrono::steady_clock::now() + read_back_limit;
    auto current = read_current(to, path);
    while (!current && std::chrono::steady_clock::now() < due)
    {
        std::this_thread::sleep_for(poll_period);
        current = read_current(to, path);
    }
    if (!current)
        return apply_error(base::error_code::broken, path,
                           "it is not known whether the change was made, read "
                           "it back later; " +
                               why);
    if (current->value == wanted && current->version != base)
        return current->version;
    if (current->version == base)
        return apply_error(base::error_code::broken, path,
                           "the change was not made up to now; " + why);
    return apply_error(base::error_code::conflict, path,
                       "it is not known whether the change was made before "
                       "another one; " +
                           describe(*current) + "; " + why);
}

} // namespace

operator_client::operator_client(std::string server, std::string token)
    : server_(std::move(server)), token_(std::move(token))
{
}

base::result<wire::http_reply>
operator_client::call(const std::string& method, const std::string& path,
                      const std::string& body, const std::string& version) const
{
    wire::http_request out;
    out.method = method;
    out.path = path.substr(0, path.find('?'));
    if (out.path.size() < path.size())
        out.query = path.substr(out.path.size() + 1);
    out.body = body;
    out.headers["authorization"] = "Bearer " + token_;
    if (!version.empty())
        out.headers["if-match"] = version;
    return net::exchange(server_, out, call_timeout);
}

std::string error_text(const wire::http_reply& reply)
{
    const auto in = json::parse(reply.body, nullptr, false);
    if (in.is_object() && in.contains("error"))
        return in["error"].get<std::string>();
    return "status " + std::to_string(reply.status);
}

std::string path_of(const std::string& kind, const std::string& name)
{
    return "/v1/resources/" + kind + "/" + name;
}

base::result<current_state> read_current(const operator_client& to,
                                         const std::string& path)
{
    const auto reply = to.call("GET", path);
    if (!reply)
        return tl::unexpected<base::error>(reply.error());
    if (reply->status == wire::status_not_found)
        return current_state{};
    const auto in = json::parse(reply->body, nullptr, false);
    if (reply->status != wire::status_ok || !in.is_object())
        return apply_error(base::error_code::unavailable, path,
                           error_text(*reply));
    return current_state{in.value("version", std::uint64_t{0}),
                         in.value("value", json())};
}

base::result<std::uint64_t> write_on(const operator_client& to,
                                     const std::string& path,
                                     const json& wanted, std::uint64_t base)
{
    const bool remove = wanted.is_null();
    const auto reply =
        to.call(remove ? "DELETE" : "PUT", path, remove ? "" : wanted.dump(),
                std::to_string(base));
    if (!reply && reply.error().code == base::error_code::unreachable)
        return tl::unexpected<base::error>(reply.error());
    if (!reply)
        return read_back(to, path, wanted, base,
                         base::to_string(reply.error()));
    const auto in = json::parse(reply->body, nullptr, false);
    if (reply->status == wire::status_ok)
        return in.value("version", std::uint64_t{0});
    if (reply->status == wire::status_conflict)
    {
        const auto now = read_current(to, path);
        return apply_error(
            base::error_code::conflict, path,
            "version " + std::to_string(base) +
                " is not current any more, nothing was overwritten; " +
                (now ? describe(*now) : "the current one cannot be read"));
    }
    if (reply->status >= wire::status_internal_error &&
        in.value("written", "unknown") != "no")
        return read_back(to, path, wanted, base, error_text(*reply));
    return apply_error(base::error_code::invalid, path, error_text(*reply));
}

base::result<applied_resource> apply_one(const operator_client& to,
                                         const file_resource& it)
{
    const auto path =
        path_of(std::string(base::name_of(it.declared.kind)), it.declared.name);
    const auto current = read_current(to, path);
    if (!current)
        return apply_error(current.error().code, path,
                           "nothing was written, the current version cannot be "
                           "read; " +
                               current.error().text);
    const auto wanted = json::parse(model::to_json(it.declared.value));
    if (current->version != 0 && current->value == wanted)
        return applied_resource{current->version, false};
    const auto version =
        write_on(to, path, wanted, it.version.value_or(current->version));
    if (!version)
        return tl::unexpected<base::error>(version.error());
    return applied_resource{*version, true};
}

} // namespace mimosacroft::operate
