// A fake of the platform's store for tests.
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

struct request_target
{
    std::string kind;
    std::string name; ///< empty if the target is the whole kind
    std::map<std::string, std::string> fields;
};

request_target parse_target(const std::string& target)
{
    request_target out;
    const auto question = target.find('?');
    const auto path = base::split(target.substr(0, question), '/');
    // The path is "/objects/KIND" or "/objects/KIND/NAME".
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
    : io_(io), server_(io, at,
                       {.on_request = [this](auto number, auto&& message)
                        { on_request(number, message); },
                        .on_leave = [this](auto number)
                        { pending_watches_.erase(number); }})
{
}

bool store_standin::has(const std::string& kind, const std::string& name) const
{
    const auto it = objects_by_kind_.find(kind);
    return it != objects_by_kind_.end() && it->second.contains(name);
}

void store_standin::reply(http::request_number number, unsigned status,
                          const json& body)
{
    reply_text(number, status, body.dump());
}

void store_standin::reply_text(http::request_number number, unsigned status,
                               std::string body)
{
    if (mode_ == store_mode::loses_answers)
        return;
    server_.answer(number, {status,
                            {{"Content-Type", "application/json"},
                             {"Store-Era", std::to_string(era_)}},
                            std::move(body)});
}

void store_standin::on_request(http::request_number number,
                               const http::request& message)
{
    ++request_count_;
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
    auto parts = parse_target(message.target);
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
    const auto& all = objects_by_kind_[kind];
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

bool store_standin::has_events_after(const std::string& kind,
                                     std::uint64_t after) const
{
    return std::ranges::any_of(
        history_, [&](const event& it)
        { return it.kind == kind && it.revision > after; });
}

std::string store_standin::events_after(const std::string& kind,
                                        std::uint64_t after) const
{
    std::string out;
    for (const auto& it : history_)
        if (it.kind == kind && it.revision > after)
            out.append(out.empty() ? "" : ",").append(it.text);
    return out;
}

void store_standin::watch(http::request_number number, const std::string& kind,
                          std::uint64_t after, base::milliseconds wait)
{
    if (after < compacted_revision_ || after > revision_)
    {
        reply(number, status_gone, json::object());
        return;
    }
    pending_watch added{kind, after,
                        std::make_shared<http::asio::steady_timer>(io_, wait)};
    added.timer->async_wait(
        [this, number, timer = added.timer](const http::error_code& ec)
        {
            if (!ec)
                end_watch(number);
        });
    pending_watches_.emplace(number, std::move(added));
    if (has_events_after(kind, after))
        end_watch(number);
}

void store_standin::end_watch(http::request_number number)
{
    const auto it = pending_watches_.find(number);
    if (it == pending_watches_.end())
        return;
    const auto ended = std::move(it->second);
    pending_watches_.erase(it);
    ended.timer->cancel();
    if (mode_ == store_mode::is_silent)
        return;
    reply_text(number, status_ok,
               R"({"events":[)" + events_after(ended.kind, ended.after) +
                   R"(],"storeRevision":)" + std::to_string(revision_) + "}");
}

void store_standin::write(http::request_number number,
                          const http::request& message, const std::string& kind,
                          const std::string& name)
{
    if (message.method == "DELETE")
    {
        const bool existed = has(kind, name);
        remove(kind, name);
        reply(number, existed ? status_ok : status_not_found, json::object());
        return;
    }
    auto in = json::parse(message.body);
    const bool is_create = message.method == "POST";
    const auto object =
        is_create ? in.at("meta").at("name").get<std::string>() : name;
    if (has(kind, object) == is_create)
    {
        reply(number, is_create ? status_conflict : status_not_found,
              json::object());
        return;
    }
    before_write(kind, in["spec"]);
    put(kind, object, in["spec"]);
    reply(number, status_ok, objects_by_kind_[kind][object]);
}

void store_standin::append_event(const std::string& kind, const json& object,
                                 bool deleted)
{
    history_.push_back({revision_, kind,
                        R"({"object":)" + object.dump() + R"(,"deleted":)" +
                            (deleted ? "true}" : "false}")});
    std::vector<http::request_number> matching;
    for (const auto& [number, it] : pending_watches_)
        if (it.kind == kind)
            matching.push_back(number);
    std::ranges::for_each(matching, [this](auto number) { end_watch(number); });
}

void store_standin::put(const std::string& kind, const std::string& name,
                        json spec)
{
    auto& object = objects_by_kind_[kind][name];
    if (!object.is_null() && object["spec"] == spec)
        return;
    object = {{"meta", {{"name", name}, {"rev", ++revision_}}},
              {"spec", std::move(spec)}};
    append_event(kind, object, false);
}

void store_standin::remove(const std::string& kind, const std::string& name)
{
    const auto it = objects_by_kind_[kind].find(name);
    if (it == objects_by_kind_[kind].end())
        return;
    const auto object = std::move(it->second);
    objects_by_kind_[kind].erase(it);
    ++revision_;
    append_event(kind, object, true);
}

void store_standin::compact_history()
{
    history_.clear();
    compacted_revision_ = ++revision_;
    end_all_watches();
}

std::shared_ptr<const store_standin::store_copy> store_standin::copy() const
{
    return std::make_shared<const store_copy>(
        store_copy{revision_, compacted_revision_, objects_by_kind_, history_});
}

void store_standin::restore(const store_copy& from)
{
    ++era_;
    revision_ = from.revision;
    compacted_revision_ = from.compacted_revision;
    objects_by_kind_ = from.objects;
    history_ = from.history;
    end_all_watches();
}

void store_standin::end_all_watches()
{
    auto ended_watches = std::move(pending_watches_);
    pending_watches_.clear();
    for (auto& [number, it] : ended_watches)
    {
        it.timer->cancel();
        reply(number, status_gone, json::object());
    }
}

} // namespace mimosacroft::tests
