// A property test of queries on several nodes: messages, links, upstreams and
// the platform are played here, on virtual time and with random faults.
#include "mimosacroft/node/node.hpp"

#include "../query/query_fixture.hpp"

#include <CppUTest/TestHarness.h>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <rapidcheck.h>
#include <set>

using namespace mimosacroft;
using namespace mimosacroft::tests;
using base::milliseconds;
using nlohmann::json;

namespace
{

const std::vector<std::pair<std::string, std::string>> all_vms = {
    {"a0", "a"}, {"a1", "a"}, {"b0", "b"}, {"b1", "b"}};

constexpr std::size_t shard_count = 4;
constexpr milliseconds deadline{500};
constexpr milliseconds run_time{12'000};

model::index index_at(std::uint64_t epoch)
{
    auto out = index_of("all", epoch, shard_count, {"ua", "ub"});
    out.shards[0].upstreams = {"ua", "ub"};
    out.shards[1].upstreams = {"ub", "ua"};
    return out;
}

struct sent_request
{
    std::string key; ///< empty for a lookup
    std::string body;
    base::instant due;
    std::vector<query::search_answer> answers;
};

/// Four nodes, their links, the upstreams' servers and the platform.
class world
{
public:
    explicit world(std::uint64_t seed) : random_(seed)
    {
        for (const auto& [vm, data_centre] : all_vms)
        {
            auto options = options_of(vm, data_centre);
            options.incarnation = nodes_.size() + 1;
            nodes_[vm].self = std::make_unique<node::node>(options, random_());
            configure(vm, 1);
        }
    }

    void run()
    {
        const auto end = test_start + run_time;
        for (int n = 0; n < 200'000; ++n)
        {
            const auto [wake, vm] = next_wakeup();
            const auto event =
                events_.empty() ? base::never : events_.begin()->first;
            if (std::min(wake, event) > end)
                return;
            now_ = std::max(now_, std::min(wake, event));
            if (wake < event)
            {
                step(vm, [this](node::node& it, core::effects& out)
                     { it.on_tick(now_, out); });
                continue;
            }
            const auto fn =
                std::move(events_.extract(events_.begin()).mapped());
            fn();
        }
        FAIL("the nodes do not come to rest");
    }

    void request_at(milliseconds when, const std::string& key,
                    const std::string& body)
    {
        const auto ticket = requests_.size() + 1;
        auto& made = requests_[ticket];
        made.key = key;
        made.body = body;
        const auto vm = any_vm();
        at(test_start + when,
           [this, ticket, vm]
           {
               auto& it = requests_.at(ticket);
               it.due = now_ + deadline;
               const bool lookup = it.key.empty() && it.body[0] == 'l';
               query::search_request request;
               request.ticket = ticket;
               request.search = lookup ? "lookup" : "booking";
               request.body = it.body;
               request.idempotency_key = it.key;
               request.routing_key = "board";
               request.deadline = deadline;
               deliver(vm, [request](node::node& to, base::instant now,
                                     core::effects& out)
                       { to.on_search(request, now, out); });
           });
    }

    /// Epoch 2 comes into force at each VM and server at a time of its own.
    void change_epoch(milliseconds when)
    {
        for (const auto& [vm, data_centre] : all_vms)
            at(test_start + when + some(300),
               [this, vm = vm] { configure(vm, 2); });
        for (const auto* server : {"127.0.0.1:11", "127.0.0.1:12"})
            at(test_start + when + some(300),
               [this, server] { server_epoch_[server] = 2; });
    }

    void pause(milliseconds when)
    {
        at(test_start + when,
           [this, vm = any_vm(), until = test_start + when + some(3000)]
           {
               auto& it = nodes_.at(vm);
               it.paused_until = until;
               it.was_paused = true;
           });
    }

    const std::map<std::uint64_t, sent_request>& requests() const
    {
        return requests_;
    }
    /// Times that the servers ran a body, for the shard that ran it most.
    int runs(const std::string& body) const
    {
        int out = 0;
        for (const auto& [key, n] : runs_)
            if (key.first == body)
                out = std::max(out, n);
        return out;
    }
    int late_answers() const { return late_; }

private:
    using node_input =
        std::function<void(node::node&, base::instant, core::effects&)>;

    struct member
    {
        std::unique_ptr<node::node> self;
        base::instant paused_until;
        bool was_paused = false;
    };

    struct link
    {
        bool up = false;
        bool breaking = false; ///< what is sent on it is lost
    };

    struct claim
    {
        std::uint64_t version = 0;
        std::string body;
    };

    bool chance(int percent)
    {
        return static_cast<int>(random_() % 100) < percent;
    }
    milliseconds some(int most)
    {
        return milliseconds(1 + random_() % static_cast<unsigned>(most));
    }
    std::string any_vm() { return all_vms[random_() % all_vms.size()].first; }

    void at(base::instant when, std::function<void()> fn)
    {
        events_.emplace(when, std::move(fn));
    }

    std::pair<base::instant, std::string> next_wakeup() const
    {
        std::pair<base::instant, std::string> out(base::never, "");
        for (const auto& [vm, it] : nodes_)
            out = std::min(
                out, {std::max(it.self->next_wakeup(), it.paused_until), vm});
        return out;
    }

    // Gives a node an input, once it is not paused.
    void deliver(const std::string& vm, node_input fn)
    {
        const auto& it = nodes_.at(vm);
        if (it.paused_until > now_)
            return at(it.paused_until,
                      [this, vm, fn = std::move(fn)] { deliver(vm, fn); });
        step(vm,
             [&](node::node& to, core::effects& out) { fn(to, now_, out); });
    }

    template <typename Fn>
    void step(const std::string& vm, Fn fn)
    {
        auto& it = nodes_.at(vm);
        core::effects out;
        fn(*it.self, out);
        for (auto& effect : out)
            std::visit([&](auto& e) { carry_out(vm, e); }, effect);
        for (auto& answer : it.self->take_answers())
        {
            auto& request = requests_.at(answer.ticket);
            if (now_ > request.due && !it.was_paused)
                ++late_;
            request.answers.push_back(std::move(answer));
        }
    }

    void configure(const std::string& vm, std::uint64_t epoch)
    {
        auto booking = search_of("booking", "all");
        booking.scope = model::scope::one;
        booking.repeatable = false;
        wire::config_push push;
        push.through = epoch;
        const std::vector<model::resource> all = {
            upstream_of("ua", "a"), upstream_of("ub", "b"), index_at(epoch),
            search_of("lookup", "all"), booking};
        for (const auto& it : all)
            push.entries.push_back(
                {std::string(base::name_of(model::kind_of(it))),
                 model::name_of(it), epoch, false, model::to_json(it)});
        wire::view_push view;
        view.version = 1;
        for (const auto& [name, data_centre] : all_vms)
            view.entries.push_back({name, data_centre, "127.0.0.1:9", false});
        deliver(
            vm,
            [push, view](node::node& to, base::instant now, core::effects& out)
            {
                to.on_message("a0", 1, view, now, out);
                to.on_message("a0", 1, push, now, out);
            });
    }

    void carry_out(const std::string&, const core::log_event&) {}

    void carry_out(const std::string& vm, const core::abandon_call& it)
    {
        abandoned_.insert({vm, it.owner, it.id});
    }

    void carry_out(const std::string& from, const core::send_peer& it)
    {
        auto& on = links_[{from, it.vm}];
        if (on.breaking)
            return;
        if (chance(on.up ? 4 : 12))
        {
            on.breaking = true;
            at(now_ + some(20), [this, from, to = it.vm] { cut(from, to); });
            // On a link that is up, the message may yet have got through.
            if (!on.up || chance(50))
                return;
        }
        on.up = true;
        pass_on(from, it);
        if (std::holds_alternative<wire::forward_answer>(it.msg) && chance(20))
            pass_on(from, it);
    }

    void pass_on(const std::string& from, const core::send_peer& it)
    {
        at(now_ + some(chance(5) ? 400 : 12),
           [this, from, to = it.vm, msg = it.msg]
           {
               deliver(to, [from, msg](node::node& node, base::instant now,
                                       core::effects& out)
                       { node.on_message(from, 1, msg, now, out); });
           });
    }

    void cut(const std::string& from, const std::string& to)
    {
        const bool was_up = links_[{from, to}].up;
        links_[{from, to}] = {};
        deliver(from, [to, was_up](node::node& node, base::instant now,
                                   core::effects& out)
                { node.on_link_down(to, was_up, now, out); });
    }

    void carry_out(const std::string& vm, const core::http_call& it)
    {
        if (it.owner == core::call_owner::fleet)
            return answer_fleet(vm, it);
        if (it.owner == core::call_owner::claims)
            return call_platform(vm, it);
        if (it.request.path != "/v1/subqueries")
            return answer(vm, it, wire::http_reply{}, some(5));
        call_server(vm, it);
    }

    // The list of VMs; there are no changes of the configuration to wait for.
    void answer_fleet(const std::string& vm, const core::http_call& call)
    {
        if (call.request.path != "/v1/vms")
            return;
        auto list = json::array();
        for (const auto& [name, data_centre] : all_vms)
            list.push_back({{"vm", name},
                            {"data_centre", data_centre},
                            {"peer_address", "127.0.0.1:9"}});
        const json body = {{"version", 1}, {"vms", std::move(list)}};
        answer(vm, call, wire::http_reply{200, {}, body.dump()}, some(5));
    }

    void answer(const std::string& vm, const core::http_call& call,
                base::result<wire::http_reply> reply, milliseconds delay)
    {
        auto when = now_ + delay;
        if (when > call.deadline)
        {
            when = call.deadline;
            reply = base::fail(base::error_code::timeout, base::step::wait, "",
                               "no reply");
        }
        at(std::max(when, now_),
           [this, vm, owner = call.owner, id = call.id, reply]
           {
               deliver(vm,
                       [this, vm, owner, id, reply](node::node& to,
                                                    base::instant now,
                                                    core::effects& out)
                       {
                           if (!abandoned_.contains({vm, owner, id}))
                               to.on_http_reply(owner, id, reply, now, out);
                       });
           });
    }

    static base::result<wire::http_reply> failure(base::error_code code)
    {
        return base::fail(code, base::step::wait, "", "played");
    }

    void call_server(const std::string& vm, const core::http_call& call)
    {
        if (chance(8))
            return answer(vm, call, failure(base::error_code::unreachable),
                          some(5));
        if (chance(8))
            return answer(
                vm, call,
                wire::http_reply{503, {}, R"({"refused":"overload"})"},
                some(5));
        const auto in = json::parse(call.request.body);
        auto list = json::array();
        for (const auto& it : in.at("subqueries"))
            list.push_back(serve(call.address, it));
        if (chance(5))
            return answer(vm, call, failure(base::error_code::broken),
                          some(40));
        answer(vm, call,
               wire::http_reply{
                   200, {}, json{{"answers", std::move(list)}}.dump()},
               some(chance(5) ? 700 : 30));
    }

    json serve(const std::string& address, const json& it)
    {
        const auto epoch = it.at("epoch").get<std::uint64_t>();
        const auto shard = it.at("shard").get<std::string>();
        json out = {{"id", it.at("id")}, {"shard", shard}, {"epoch", epoch}};
        const auto found = server_epoch_.find(address);
        const std::uint64_t held =
            found == server_epoch_.end() ? 1 : found->second;
        if (epoch != held)
        {
            out["status"] = epoch > held ? "not_yet" : "no_longer";
            return out;
        }
        const auto body = it.at("body").get<std::string>();
        ++runs_[{body, shard}];
        out["status"] = "ok";
        out["result"] = {{"epoch", epoch}, {"shard", shard}, {"body", body}};
        return out;
    }

    void call_platform(const std::string& vm, const core::http_call& call)
    {
        if (chance(10))
            return answer(vm, call, failure(base::error_code::unreachable),
                          some(5));
        if (chance(10) && call.request.method != "GET")
        {
            // The write takes effect late, and its answer is lost.
            at(now_ + some(800), [this, call] { (void)write(call); });
            return answer(vm, call, failure(base::error_code::broken), some(9));
        }
        const auto reply = write(call);
        if (chance(15))
            return answer(vm, call, wire::http_reply{500, {}, ""}, some(9));
        answer(vm, call, reply, some(9));
    }

    wire::http_reply write(const core::http_call& call)
    {
        const auto& request = call.request;
        auto found = claims_.find(request.path);
        const auto current = found == claims_.end() ? 0 : found->second.version;
        const auto object = [&]
        {
            return json{{"version", current},
                        {"value", json::parse(found->second.body)}};
        };
        if (request.method == "GET")
            return current == 0 ? wire::http_reply{404, {}, "{}"}
                                : wire::http_reply{200, {}, object().dump()};
        if (request.headers.at("if-match") != std::to_string(current))
            return {409,
                    {},
                    json{{"object", current == 0 ? json() : object()}}.dump()};
        if (request.method == "DELETE")
            claims_.erase(found);
        else
            claims_[request.path] = {++version_, request.body};
        return {200, {}, json{{"version", version_}}.dump()};
    }

    std::mt19937_64 random_;
    base::instant now_ = test_start;
    std::multimap<base::instant, std::function<void()>> events_;
    std::map<std::string, member> nodes_;
    std::map<std::pair<std::string, std::string>, link> links_;
    std::set<std::tuple<std::string, core::call_owner, std::uint64_t>>
        abandoned_;
    std::map<std::string, std::uint64_t> server_epoch_; ///< by address
    std::map<std::string, claim> claims_;
    std::uint64_t version_ = 0;
    std::map<std::pair<std::string, std::string>, int> runs_; ///< body, shard
    std::map<std::uint64_t, sent_request> requests_;
    int late_ = 0;
};

void check_answer(const sent_request& asked, const query::search_answer& got)
{
    std::set<std::string> names;
    for (const auto& it : got.included)
    {
        RC_ASSERT(names.insert(it.name).second);
        const auto payload = json::parse(it.payload);
        RC_ASSERT(payload.at("epoch").get<std::uint64_t>() == got.epoch);
        RC_ASSERT(payload.at("shard").get<std::string>() == it.name);
        RC_ASSERT(payload.at("body").get<std::string>() == asked.body);
    }
    for (const auto& it : got.lacking)
        RC_ASSERT(names.insert(it.name).second);
    const bool admitted = got.epoch != 0;
    const std::size_t all = got.search == "lookup" ? shard_count : 1;
    RC_ASSERT(names.size() == (admitted ? all : std::size_t{0}));
    RC_ASSERT((admitted || got.outcome == model::outcome::not_run ||
               got.outcome == model::outcome::unknown));
}

void check_spans(const query::search_answer& got)
{
    std::set<std::uint64_t> ids;
    for (const auto& it : got.spans)
        RC_ASSERT(ids.insert(it.id).second);
    for (const auto& it : got.spans)
        RC_ASSERT(
            (it.parent == 0 ? it.name == "query" : ids.contains(it.parent)));
}

} // namespace

TEST_GROUP(query_property){};

TEST(query_property, promises_hold_under_random_faults)
{
    std::map<model::outcome, int> outcomes;
    int replayed = 0;
    int restarted = 0;
    const bool ok = rc::check(
        [&](std::uint64_t seed)
        {
            std::mt19937_64 random(seed);
            world all(random());
            const auto when = [&random]
            { return milliseconds(1 + random() % 1500); };
            for (int n = 0; n < 10; ++n)
                all.request_at(when(), "", "l" + std::to_string(n));
            for (int n = 0; n < 4; ++n)
                all.request_at(when(), "", "once" + std::to_string(n));
            for (int n = 0; n < 12; ++n)
            {
                const auto key = "key" + std::to_string(n % 4);
                all.request_at(when(), key, key);
            }
            all.change_epoch(when());
            all.pause(when());
            all.run();

            std::map<std::string, bool> all_not_run;
            for (const auto& [ticket, asked] : all.requests())
            {
                RC_ASSERT(asked.answers.size() == 1U);
                const auto& got = asked.answers.front();
                check_answer(asked, got);
                check_spans(got);
                ++outcomes[got.outcome];
                replayed += got.replayed ? 1 : 0;
                restarted += got.spans.front().note.empty() ? 0 : 1;
                all_not_run.try_emplace(asked.body, true).first->second &=
                    got.outcome == model::outcome::not_run;
            }
            for (const auto& [body, none] : all_not_run)
            {
                const auto runs = all.runs(body);
                RC_ASSERT((!none || runs == 0));
                RC_ASSERT((body[0] == 'l' || runs <= 1));
            }
            RC_ASSERT(all.late_answers() == 0);
        });
    CHECK(ok);
    // The faults leave every kind of outcome to be checked.
    for (const auto it : {model::outcome::answered, model::outcome::partial,
                          model::outcome::not_run, model::outcome::unknown})
        CHECK_TRUE(outcomes[it] > 10);
    CHECK_TRUE(replayed > 10);
    CHECK_TRUE(restarted > 10);
}
