// A stand-in for the platform's store.
#include "store_standin.hpp"

#include "mimosacroft/base/text.hpp"

#include <algorithm>

namespace mimosacroft::tests
{

namespace
{

using nlohmann::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_gone = 410;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_unavailable = 503;

struct target_parts
{
    std::string kind;
    std::string name; ///< empty: the whole kind
    std::map<std::string, std::string> fields;
};

target_parts parts_of(const std::string& target)
{
    target_parts out;
    const auto question = target.find('?');
    const auto path = base::split(target.substr(0, question), '/');
    // "/objects/KIND" or "/objects/KIND/NAME"
    out.kind = path.size() > 1 ? path[1] : "";
    out.name = path.size() > 2 ? path[2] : "";
    if (question == std::string::npos)
        return out;
    const auto query = target.substr(question + 1);
    for (const auto& field : base::split(query, '&'))
    {
        const auto equals = std::min(field.find('='), field.size() - 1);
        out.fields[std::string(field.substr(0, equals))] =
            field.substr(equals + 1);
    }
    return out;
}

} // namespace

store_standin::store_standin(http::asio::io_context& io,
                             const http::tcp::endpoint& at)
    : io_(io),
      server_(io, at,
              {.on_request = [this](auto number, auto&& message)
               { on_request(number, message); },
               .on_leave = [this](auto number) { waiters_.erase(number); }})
{
}

bool store_standin::has(const std::string& kind, const std::string& name) const
{
    const auto it = kinds_.find(kind);
    return it != kinds_.end() && it->second.contains(name);
}

void store_standin::reply(http::request_number number, unsigned status,
                          const json& body)
{
    if (mode_ == store_mode::loses_answers)
        return;
    server_.answer(
        number, {status, {{"Content-Type", "application/json"}}, body.dump()});
}

void store_standin::on_request(http::request_number number,
                               const http::request& message)
{
    ++calls_;
    if (mode_ == store_mode::is_silent)
        return;
    if (mode_ == store_mode::refuses || mode_ == store_mode::limits)
    {
        reply(number,
              mode_ == store_mode::limits ? status_too_many
                                          : status_unavailable,
              json::object());
        return;
    }
    auto parts = parts_of(message.target);
    if (message.method != "GET")
        write(number, message, parts.kind, parts.name);
    else if (parts.fields.contains("watch"))
        watch(number, parts.kind,
              base::to_number(parts.fields["watch"]).value_or(0),
              base::milliseconds(static_cast<long long>(
                  base::to_number(parts.fields["waitMs"]).value_or(0))));
    else
        list(number, parts.kind, parts.fields["after"]);
}

void store_standin::list(http::request_number number, const std::string& kind,
                         const std::string& after)
{
    json out = {{"items", json::array()},
                {"hasMore", false},
                {"storeRevision", revision_}};
    const auto& all = kinds_[kind];
    for (auto it = all.upper_bound(after); it != all.end(); ++it)
    {
        if (out["items"].size() == page_size_)
        {
            out["hasMore"] = true;
            break;
        }
        out["items"].push_back(it->second);
    }
    reply(number, status_ok, out);
}

json store_standin::events_of(const std::string& kind,
                              std::uint64_t after) const
{
    auto out = json::array();
    for (const auto& it : history_)
        if (it.kind == kind && it.revision > after)
            out.push_back({{"object", it.object}, {"deleted", it.deleted}});
    return out;
}

void store_standin::watch(http::request_number number, const std::string& kind,
                          std::uint64_t after, base::milliseconds wait)
{
    if (after < forgotten_)
    {
        reply(number, status_gone, json::object());
        return;
    }
    waiter fresh{kind, after,
                 std::make_shared<http::asio::steady_timer>(io_, wait)};
    fresh.timer->async_wait(
        [this, number, timer = fresh.timer](const http::error_code& ec)
        {
            if (!ec)
                end_watch(number);
        });
    waiters_.emplace(number, std::move(fresh));
    if (!events_of(kind, after).empty())
        end_watch(number);
}

void store_standin::end_watch(http::request_number number)
{
    const auto it = waiters_.find(number);
    if (it == waiters_.end())
        return;
    const auto ended = std::move(it->second);
    waiters_.erase(it);
    ended.timer->cancel();
    if (mode_ == store_mode::is_silent)
        return;
    reply(number, status_ok,
          {{"events", events_of(ended.kind, ended.after)},
           {"storeRevision", revision_}});
}

void store_standin::write(http::request_number number,
                          const http::request& message, const std::string& kind,
                          const std::string& name)
{
    if (message.method == "DELETE")
    {
        const bool known = has(kind, name);
        remove(kind, name);
        reply(number, known ? status_ok : status_not_found, json::object());
        return;
    }
    auto in = json::parse(message.body);
    const bool creates = message.method == "POST";
    const auto object =
        creates ? in.at("meta").at("name").get<std::string>() : name;
    if (has(kind, object) == creates)
    {
        reply(number, creates ? status_conflict : status_not_found,
              json::object());
        return;
    }
    on_write(kind, in["spec"]);
    put(kind, object, in["spec"]);
    reply(number, status_ok, kinds_[kind][object]);
}

void store_standin::record(const std::string& kind, json object, bool deleted)
{
    history_.push_back({revision_, kind, std::move(object), deleted});
    std::vector<http::request_number> woken;
    for (const auto& [number, it] : waiters_)
        if (it.kind == kind)
            woken.push_back(number);
    std::ranges::for_each(woken, [this](auto number) { end_watch(number); });
}

void store_standin::put(const std::string& kind, const std::string& name,
                        json spec)
{
    auto& object = kinds_[kind][name];
    if (!object.is_null() && object["spec"] == spec)
        return;
    object = {{"meta", {{"name", name}, {"rev", ++revision_}}},
              {"spec", std::move(spec)}};
    record(kind, object, false);
}

void store_standin::remove(const std::string& kind, const std::string& name)
{
    const auto it = kinds_[kind].find(name);
    if (it == kinds_[kind].end())
        return;
    auto object = std::move(it->second);
    kinds_[kind].erase(it);
    ++revision_;
    record(kind, std::move(object), true);
}

void store_standin::forget_history()
{
    history_.clear();
    forgotten_ = ++revision_;
    auto cut = std::move(waiters_);
    waiters_.clear();
    for (auto& [number, it] : cut)
    {
        it.timer->cancel();
        reply(number, status_gone, json::object());
    }
}

} // namespace mimosacroft::tests
