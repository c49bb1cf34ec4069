// Agents of many VMs in one process with virtual time: a queue of deliveries
// and a fake of the platform behind the agents' effects. Faults are members
// that a test sets between steps.
#ifndef MIMOSACROFT_UNITTESTS_FLEET_VIRTUAL_FLEET_HPP
#define MIMOSACROFT_UNITTESTS_FLEET_VIRTUAL_FLEET_HPP

#include "mimosacroft/fleet/agent.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mimosacroft::tests
{

/// A search as the platform holds it, told apart by its deadline.
inline nlohmann::json search_value(const std::string& name, unsigned deadline)
{
    return {{"kind", "search"},
            {"name", name},
            {"spec",
             {{"index", "i"},
              {"max_deadline_ms", 60000},
              {"default_deadline_ms", deadline}}}};
}

/// The upstream "u" of the data centre "dc-0", with one server.
inline nlohmann::json upstream_value(const std::string& server = "a")
{
    return {{"kind", "upstream"},
            {"name", "u"},
            {"spec",
             {{"data_centre", "dc-0"},
              {"servers", {{{"name", server}, {"address", "127.0.0.1:3"}}}}}}};
}

/// The platform's object API as the agents see it.
struct fake_platform
{
    struct object
    {
        std::string kind;
        std::string name;
        std::uint64_t version = 0;
        bool deleted = false;
        nlohmann::json value;
    };

    std::map<std::pair<std::string, std::string>, object> objects;
    std::uint64_t version = 0;
    std::vector<wire::view_entry> vms;
    std::uint64_t vms_version = 1;
    std::uint64_t era = 0;   ///< how often it came back from a copy
    std::uint64_t since = 0; ///< version of the latest copy
    bool down = false;

    std::uint64_t put(const std::string& kind, const std::string& name,
                      nlohmann::json value)
    {
        objects[{kind, name}] = {kind, name, ++version, false,
                                 std::move(value)};
        return version;
    }

    void remove(const std::string& kind, const std::string& name)
    {
        objects[{kind, name}] = {kind, name, ++version, true, {}};
    }

    void set_vms(std::vector<wire::view_entry> next)
    {
        vms = std::move(next);
        ++vms_version;
    }

    std::string changes(std::uint64_t after) const
    {
        auto list = nlohmann::json::array();
        for (const auto& [key, it] : objects)
            if (it.version > after)
                list.push_back({{"kind", it.kind},
                                {"name", it.name},
                                {"version", it.version},
                                {"deleted", it.deleted},
                                {"value", it.value}});
        nlohmann::json out = {{"version", version}, {"objects", list}};
        if (era > 0)
            out.update({{"era", era}, {"since", since}});
        return out.dump();
    }

    std::string list(std::uint64_t after) const
    {
        if (after == vms_version)
            return nlohmann::json{{"version", vms_version}, {"unchanged", true}}
                .dump();
        auto list = nlohmann::json::array();
        for (const auto& it : vms)
            list.push_back({{"vm", it.vm},
                            {"data_centre", it.data_centre},
                            {"peer_address", it.peer_address},
                            {"leaving", it.leaving}});
        return nlohmann::json{{"version", vms_version}, {"vms", list}}.dump();
    }
};

class virtual_fleet
{
public:
    /// Kinds of traffic: the messages between VMs in the order of
    /// wire::message, then the two calls to the platform.
    static constexpr auto list_kind = std::variant_size_v<wire::message>;
    static constexpr auto changes_kind = list_kind + 1;
    static constexpr auto kinds = list_kind + 2;

    struct traffic
    {
        std::uint64_t messages_sent = 0;
        std::uint64_t bytes_sent = 0;
        std::uint64_t bytes_received = 0;

        std::uint64_t bytes() const { return bytes_sent + bytes_received; }
    };

    struct member
    {
        fleet::agent_options options;
        std::unique_ptr<fleet::agent> agent; ///< null while it is not running
        bool paused = false;
        std::uint64_t life = 0; ///< grows with each start
        base::instant wake = base::never;
        std::array<traffic, kinds> traffic_of{}; ///< by kind
        std::uint64_t platform_calls = 0;
        /// Inputs that came while it was paused.
        std::vector<std::function<void()>> waiting;
    };

    virtual_fleet(std::size_t vms, std::size_t data_centres, std::uint64_t seed)
        : random_(seed)
    {
        std::vector<wire::view_entry> list;
        for (std::size_t n = 0; n < vms; ++n)
        {
            member it;
            it.options.data_centre = "dc-" + std::to_string(n % data_centres);
            it.options.vm = it.options.data_centre + "-" +
                            std::to_string(1000 + n / data_centres);
            it.options.peer_address = "127.0.0.1:" + std::to_string(2000 + n);
            it.options.platform_address = "127.0.0.1:1";
            list.push_back({it.options.vm, it.options.data_centre,
                            it.options.peer_address, false});
            index_[it.options.vm] = n;
            members.push_back(std::move(it));
        }
        platform.set_vms(std::move(list));
    }

    void start(std::size_t n)
    {
        auto& it = members[n];
        it.options.incarnation = random_();
        it.agent = std::make_unique<fleet::agent>(it.options, random_());
        it.paused = false;
        it.waiting.clear();
        ++it.life;
        it.wake = base::never;
        with(n, [&](auto& agent, auto& out) { agent.on_tick(now, out); });
    }

    /// Starts every member and lets them run for a while.
    void start_all(base::duration settling = {})
    {
        for (std::size_t n = 0; n < members.size(); ++n)
            start(n);
        run(settling);
    }

    void stop(std::size_t n) { members[n].agent.reset(); }

    void pause(std::size_t n) { members[n].paused = true; }

    /// Inputs that came in the pause are taken first, as from full sockets.
    void resume(std::size_t n)
    {
        members[n].paused = false;
        for (const auto& it : std::exchange(members[n].waiting, {}))
            it();
        wake(n);
    }

    /// Runs until virtual time has passed by `length`.
    void run(base::duration length, const std::function<void()>& check = {})
    {
        const auto due = now + length;
        while (!queue_.empty() && queue_.top().at <= due)
        {
            const auto next = queue_.top();
            queue_.pop();
            now = next.at;
            next.fn();
            if (check)
                check();
        }
        now = due;
    }

    /// Calls an input of an agent and carries out its effects.
    template <typename Fn>
    void with(std::size_t n, Fn fn)
    {
        auto& it = members[n];
        if (!it.agent)
            return;
        core::effects out;
        fn(*it.agent, out);
        for (auto& effect : out)
            carry_out(n, effect);
        arm(n);
    }

    /// Answers waiting watches at once after a change.
    void changed()
    {
        for (auto& fn : std::exchange(watches_, {}))
            fn();
    }

    std::vector<member> members;
    fake_platform platform;
    base::instant now{base::seconds(1000)};
    double loss = 0;      ///< share of messages between VMs
    double duplicate = 0; ///< the same
    base::milliseconds least_delay{1};
    base::milliseconds most_delay{8};
    /// Whether a message can pass; by sender and receiver, or the platform's
    /// number, which is members.size().
    std::function<bool(std::size_t, std::size_t)> passes =
        [](std::size_t, std::size_t) { return true; };
    std::function<void(std::size_t, const core::log_event&)> on_event =
        [](std::size_t, const core::log_event&) {};

private:
    struct item
    {
        base::instant at;
        std::uint64_t number = 0; ///< breaks ties, so that runs repeat
        std::function<void()> fn;
        friend bool operator<(const item& a, const item& b)
        {
            return std::tie(a.at, a.number) > std::tie(b.at, b.number);
        }
    };

    void at(base::instant when, std::function<void()> fn)
    {
        queue_.push({when, ++number_, std::move(fn)});
    }

    base::milliseconds delay()
    {
        std::uniform_int_distribution<long long> it(least_delay.count(),
                                                    most_delay.count());
        return base::milliseconds(it(random_));
    }

    bool happens(double chance)
    {
        return chance > 0 &&
               std::uniform_real_distribution<>(0, 1)(random_) < chance;
    }

    void arm(std::size_t n)
    {
        auto& it = members[n];
        const auto due = std::max(it.agent->next_wakeup(), now);
        if (due >= it.wake)
            return;
        it.wake = due;
        at(due,
           [this, n, life = it.life]
           {
               if (members[n].life == life)
                   wake(n);
           });
    }

    void wake(std::size_t n)
    {
        auto& it = members[n];
        if (!it.agent || it.paused)
            return;
        it.wake = base::never;
        with(n, [&](auto& agent, auto& out) { agent.on_tick(now, out); });
    }

    // An input for a VM: dropped with its process, delayed by a pause.
    void input(std::size_t n, std::uint64_t life, std::function<void()> fn)
    {
        auto& it = members[n];
        if (!it.agent || it.life != life)
            return;
        if (it.paused)
            it.waiting.push_back(std::move(fn));
        else
            fn();
    }

    void carry_out(std::size_t n, core::effect& effect)
    {
        if (auto* msg = std::get_if<core::send_peer>(&effect))
            send(n, *msg);
        else if (auto* call = std::get_if<core::http_call>(&effect))
            request(n, *call);
        else if (auto* event = std::get_if<core::log_event>(&effect))
            on_event(n, *event);
    }

    void send(std::size_t n, const core::send_peer& it)
    {
        const auto found = index_.find(it.vm);
        const auto bytes = wire::pack(it.msg);
        note_sent(n, it.msg.index(), bytes.size() + frame_header);
        if (found == index_.end() || happens(loss))
            return;
        const int copies = happens(duplicate) ? 2 : 1;
        for (int k = 0; k < copies; ++k)
            deliver(n, found->second, it.msg.index(), bytes);
    }

    void note_sent(std::size_t n, std::size_t kind, std::uint64_t bytes)
    {
        auto& it = members[n].traffic_of[kind];
        ++it.messages_sent;
        it.bytes_sent += bytes;
    }

    void deliver(std::size_t n, std::size_t to, std::size_t kind,
                 const std::string& bytes)
    {
        const auto incarnation = members[n].options.incarnation;
        at(now + delay(),
           [=, this]
           {
               if (!passes(n, to) || !members[to].agent)
                   return;
               members[to].traffic_of[kind].bytes_received +=
                   bytes.size() + frame_header;
               input(to, members[to].life,
                     [=, this]
                     {
                         with(to,
                              [&](auto& agent, auto& out)
                              {
                                  agent.on_message(
                                      members[n].options.vm, incarnation,
                                      *wire::unpack(bytes), now, out);
                              });
                     });
           });
    }

    void request(std::size_t n, const core::http_call& call)
    {
        const auto life = members[n].life;
        const auto id = call.id;
        ++members[n].platform_calls;
        const bool watch = call.request.path == "/v1/changes";
        const auto kind = watch ? changes_kind : list_kind;
        note_sent(n, kind, http_overhead);
        at(now + delay(),
           [=, this, query = call.request.query]
           {
               if (!reachable(n))
                   return reply(n, life, id, kind, {});
               if (!watch)
                   return reply(n, life, id, kind,
                                platform.list(number_of(query, "after=")));
               const auto after = number_of(query, "after=");
               if (platform.version > after ||
                   number_of(query, "wait_ms=") == 0)
                   return reply(n, life, id, kind, platform.changes(after));
               wait(n, life, id, after, number_of(query, "wait_ms="));
           });
    }

    void wait(std::size_t n, std::uint64_t life, std::uint64_t id,
              std::uint64_t after, std::uint64_t wait_ms)
    {
        const auto done = std::make_shared<bool>(false);
        const auto finish = [=, this]
        {
            if (std::exchange(*done, true))
                return;
            reply(n, life, id, changes_kind,
                  reachable(n) ? platform.changes(after) : std::string());
        };
        watches_.push_back(finish);
        at(now + base::milliseconds(wait_ms), finish);
    }

    bool reachable(std::size_t n) const
    {
        return !platform.down && passes(n, members.size()) &&
               passes(members.size(), n);
    }

    // An empty body stands for a lost reply.
    void reply(std::size_t n, std::uint64_t life, std::uint64_t id,
               std::size_t kind, const std::string& body)
    {
        at(now + delay(),
           [=, this]
           {
               if (members[n].life == life)
                   members[n].traffic_of[kind].bytes_received +=
                       body.size() + http_overhead;
               base::result<wire::http_reply> result =
                   base::fail(base::error_code::timeout, base::step::receive,
                              "platform", "no reply");
               if (!body.empty())
                   result = wire::http_reply{200, {}, body};
               input(n, life,
                     [=, this]
                     {
                         with(n, [&](auto& agent, auto& out)
                              { agent.on_http_reply(id, result, now, out); });
                     });
           });
    }

    static std::uint64_t number_of(const std::string& query,
                                   const std::string& key)
    {
        const auto at = query.find(key);
        return at == std::string::npos
                   ? 0
                   : std::strtoull(query.c_str() + at + key.size(), nullptr,
                                   10);
    }

    static constexpr std::uint64_t http_overhead = 120; ///< bytes of headers
    static constexpr std::uint64_t frame_header = 4;    ///< bytes

    std::mt19937_64 random_;
    std::priority_queue<item> queue_;
    std::uint64_t number_ = 0;
    std::map<std::string, std::size_t> index_;
    std::vector<std::function<void()>> watches_; ///< waiting ones
};

} // namespace mimosacroft::tests

#endif
