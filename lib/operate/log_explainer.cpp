// From a request's id to its cause.
#include "mimosacroft/operate/log_explainer.hpp"

#include "mimosacroft/base/utc_time.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>

namespace mimosacroft::operate
{

namespace
{

using base::milliseconds;
using nlohmann::ordered_json;

// Of these, the last before the request say most.
constexpr std::size_t most_around = 20;

// Events that may be the cause of what happened to a request.
constexpr auto telling_events = std::to_array<std::string_view>(
    {"started", "stopping", "settings_read", "config_applied", "config_refused",
     "platform_lost", "platform_back", "server_ejected", "server_removed",
     "server_returned", "server_said_leaving", "server_paused",
     "request_harmful", "request_harmless", "vms_counted", "lines_left_out"});

struct meaning
{
    std::string_view word;
    std::string_view text;
};

constexpr auto reasons = std::to_array<meaning>({
    {"no_configuration", "the VM had not read a configuration yet; not run"},
    {"no_such_search", "no search has this host and path"},
    {"bad_request", "the request could not be read"},
    {"no_server", "too few of its services had a server listed; not run"},
    {"no_time", "the caller left no time for it; not run"},
    {"overloaded", "the servers had no room for it in time; not run"},
    {"failed", "the servers that were asked failed; it may have run"},
    {"timed_out", "no server answered in time; it may have run"},
    {"harmful", "servers ended under the same request before; not run"},
    {"stopping", "the VM was being stopped; not run"},
});

constexpr auto outcomes = std::to_array<meaning>({
    {"not executed", "a server refused it before it ran"},
    {"lost", "a connection to a server ended after the request was written"},
    {"malformed", "a server's answer was cut or was none"},
    {"not_sent", "no connection to a server could be made"},
    {"misdirected", "another server answers at the address"},
    {"unsigned", "a server's answer bore no signature"},
    {"silent", "a server owed its answer past the deadline"},
    {"no answer", "a server was still at work when the answer left"},
});

std::string text_of(const ordered_json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

bool is_telling(const log_line& it)
{
    return std::ranges::find(telling_events, it.name) != telling_events.end();
}

void find_words(const log_line& it, std::vector<std::string>& out)
{
    const auto add = [&](std::string_view text)
    {
        auto line = it.vm + ": " + std::string(text);
        if (std::ranges::find(out, line) == out.end())
            out.push_back(std::move(line));
    };
    const auto reason = it.field("reason");
    for (const auto& [word, text] : reasons)
        if (reason == word)
            add(text);
    const auto missing = it.field("missing");
    if (!missing.empty() && missing != "0")
        add(missing + " shards are missing from the answer");
    const auto sends = it.field("sends");
    for (const auto& [word, text] : outcomes)
        if (sends.find(word) != std::string::npos)
            add(text);
    if (const auto relay = it.field("relay");
        relay.find(' ') != std::string::npos)
        add("of the VM that was asked for far shards: " + relay);
}

// Notes of the request's VMs from a little before it to its end.
std::vector<log_line> notes_around(const std::vector<log_line>& notes,
                                   const std::vector<log_line>& of_request)
{
    std::set<std::string> vms;
    for (const auto& it : of_request)
        vms.insert(it.vm);
    const auto from = of_request.front().at - looked_back;
    const auto to = of_request.back().at;
    std::vector<log_line> out;
    std::ranges::copy_if(
        notes, std::back_inserter(out), [&](const log_line& it)
        { return vms.contains(it.vm) && it.at >= from && it.at <= to; });
    std::ranges::stable_sort(out, {}, &log_line::at);
    if (out.size() > most_around)
        out.erase(out.begin(), out.end() - most_around);
    return out;
}

std::string to_text(const log_line& it)
{
    auto out = it.time + " " + it.vm + " " + it.name;
    for (const auto& [key, value] : it.fields)
    {
        out += " ";
        out += key;
        out += "=\"";
        out += value;
        out += "\"";
    }
    return out + "\n";
}

} // namespace

std::string log_line::field(std::string_view key) const
{
    const auto it = std::ranges::find(
        fields, key, &std::pair<std::string, std::string>::first);
    return it == fields.end() ? std::string() : it->second;
}

std::optional<log_line> parse_log_line(std::string_view text)
{
    const auto brace = text.find('{');
    if (brace == std::string_view::npos)
        return std::nullopt;
    const auto in = ordered_json::parse(text.substr(brace), nullptr, false);
    if (!in.is_object() || !in.contains("name"))
        return std::nullopt;
    log_line out;
    for (const auto& [key, value] : in.items())
    {
        if (key == "time")
            out.time = text_of(value);
        else if (key == "vm" && out.vm.empty())
            out.vm = text_of(value);
        else if (key == "name")
            out.name = text_of(value);
        else if (key != "level" && key != "event")
            out.fields.emplace_back(key, text_of(value));
    }
    out.at = base::parse_log_time(out.time).value_or(milliseconds(0));
    return out;
}

explanation explain_request(std::istream& logs, const std::string& request)
{
    explanation out;
    std::vector<log_line> notes;
    for (std::string text; std::getline(logs, text);)
    {
        auto line = parse_log_line(text);
        if (!line)
            continue;
        if (line->field("request") == request)
            out.of_request.push_back(std::move(*line));
        else if (is_telling(*line))
            notes.push_back(std::move(*line));
    }
    if (out.of_request.empty())
        return out;
    std::ranges::stable_sort(out.of_request, {}, &log_line::at);
    out.around = notes_around(notes, out.of_request);
    for (const auto& it : out.of_request)
        find_words(it, out.findings);
    return out;
}

std::string to_text(const explanation& it, const std::string& request)
{
    if (it.of_request.empty())
        return "no line of these logs has the request " + request + "\n";
    std::string out;
    for (const auto& line : it.of_request)
        out += to_text(line);
    for (const auto& text : it.findings)
        out += "  " + text + "\n";
    if (it.around.empty())
        return out;
    out += "what these VMs noted in the " +
           std::to_string(looked_back.count() / 1000) +
           " s before and meanwhile:\n";
    for (const auto& line : it.around)
        out += "  " + to_text(line);
    return out;
}

} // namespace mimosacroft::operate
