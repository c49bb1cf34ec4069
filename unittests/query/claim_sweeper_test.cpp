// Tests of the removal of old claims, against a platform that is played here.
#include "mimosacroft/query/claim_sweeper.hpp"

#include "mimosacroft/base/utc_time.hpp"
#include "mimosacroft/query/claims.hpp"
#include "query_fixture.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <array>
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
using base::seconds;
using nlohmann::json;
using query::claim_lifetime;
using query::claim_verdict;

namespace
{

constexpr std::int64_t today_s = 1'796'400'000;
constexpr std::int64_t hour_s = 3600;
constexpr std::int64_t day_s = 24 * hour_s;

std::string name_at(std::int64_t s, const std::string& rest = "x")
{
    return "t" + std::to_string(s) + "-" + rest;
}

wire::http_reply reply_at(unsigned status, const json& body,
                          std::int64_t platform_s)
{
    return {
        status, {{"date", base::format_http_date(platform_s)}}, body.dump()};
}

/// Three VMs that claim and sweep, with clocks that are off, and a platform
/// whose writes may take effect days late, on virtual time.
class sweep_world
{
public:
    explicit sweep_world(std::uint64_t seed) : random_(seed)
    {
        const seconds retentions[] = {query::least_retention, seconds(day_s),
                                      query::longest_retention};
        for (auto& it : vms_)
        {
            const auto n = static_cast<std::size_t>(&it - vms_.data());
            it.clock_off_s = between(-6 * hour_s, 6 * hour_s);
            it.claims = std::make_unique<query::claims>(
                query::claims_options{.vm = std::to_string(n),
                                      .platform_address = "127.0.0.1:1",
                                      .retention = retentions[n]},
                random_());
            it.sweeper = std::make_unique<query::claim_sweeper>(
                query::claim_sweeper_options{.platform_address = "127.0.0.1:1",
                                             .fleet_period = seconds(hour_s)},
                random_(), [](base::instant) { return true; });
        }
    }

    /// Sends a key that is made at `made_s` once then and again at random
    /// times, up to the end of its claim and later.
    void use_key(std::int64_t made_s)
    {
        const auto key = name_at(today_s + made_s, std::to_string(made_s));
        for (int n = 0; n < 8; ++n)
        {
            const auto after = n == 0 ? 0 : between(0, 6 * day_s);
            at(made_s + after, any_vm(),
               [this, key, made_s](vm& to)
               {
                   const auto id = to.claims->acquire(
                       {key, "f", wall_s(to), now_ + milliseconds(1000),
                        today_s + made_s},
                       now_, out_);
                   to.keys[id] = key;
               });
        }
    }

    void pause(std::int64_t from_s)
    {
        at(from_s, any_vm(), [this](vm& it)
           { it.paused_until = now_ + seconds(between(1, 5 * day_s)); });
    }

    void step_platform_clock(std::int64_t at_s)
    {
        at(at_s, any_vm(),
           [this](vm&) { platform_off_s_ = between(-hour_s, hour_s); });
    }

    void outage(std::int64_t from_s)
    {
        at(from_s, any_vm(), [this](vm&) { down_ = true; });
        at(from_s + between(1, day_s), any_vm(),
           [this](vm&) { down_ = false; });
    }

    /// From `calm_s` on no write is lost and all clocks are right.
    void run(std::int64_t calm_s, std::int64_t end_s)
    {
        run_until(test_start + seconds(calm_s));
        calm_ = true;
        down_ = false;
        platform_off_s_ = 0;
        for (auto& it : vms_)
            it.clock_off_s = 0;
        run_until(test_start + seconds(end_s));
    }

    std::size_t stored() const { return objects_.size(); }
    int most_runs() const
    {
        int most = 0;
        for (const auto& [key, n] : runs_)
            most = std::max(most, n);
        return most;
    }
    int removed() const { return removed_; }
    int removed_young() const { return removed_young_; }

private:
    struct vm
    {
        std::unique_ptr<query::claims> claims;
        std::unique_ptr<query::claim_sweeper> sweeper;
        std::int64_t clock_off_s = 0;
        base::instant paused_until;
        std::map<std::uint64_t, std::string> keys; ///< by id of the claim
    };
    using input = std::function<void(vm&)>;

    std::int64_t between(std::int64_t least, std::int64_t most)
    {
        return std::uniform_int_distribution<std::int64_t>(least,
                                                           most)(random_);
    }
    bool chance(int percent) { return !calm_ && between(0, 99) < percent; }
    std::size_t any_vm() { return random_() % vms_.size(); }

    std::int64_t true_s() const
    {
        return today_s +
               std::chrono::duration_cast<seconds>(now_ - test_start).count();
    }
    std::int64_t wall_s(const vm& it) const
    {
        return true_s() + it.clock_off_s;
    }

    void at(std::int64_t s, std::size_t n, input fn)
    {
        events_.emplace(test_start + seconds(s), std::pair(n, std::move(fn)));
    }

    // The next event or timer up to `end`.
    void run_until(base::instant end)
    {
        for (;;)
        {
            auto when = events_.empty() ? base::never : events_.begin()->first;
            std::size_t timer = vms_.size();
            for (std::size_t n = 0; n < vms_.size(); ++n)
            {
                const auto& it = vms_[n];
                const auto due = std::max(std::min(it.claims->next_wakeup(),
                                                   it.sweeper->next_wakeup()),
                                          it.paused_until);
                if (due >= when)
                    continue;
                when = due;
                timer = n;
            }
            if (when > end)
                return;
            now_ = std::max(now_, when);
            if (timer < vms_.size())
                step(timer,
                     [this](vm& it)
                     {
                         it.claims->on_tick(now_, out_);
                         it.sweeper->on_tick(vms_.size(), now_, out_);
                     });
            else
            {
                auto [n, fn] =
                    std::move(events_.extract(events_.begin()).mapped());
                deliver(n, std::move(fn));
            }
        }
    }

    void deliver(std::size_t n, input fn)
    {
        const auto& it = vms_[n];
        if (it.paused_until > now_)
            events_.emplace(it.paused_until, std::pair(n, std::move(fn)));
        else
            step(n, fn);
    }

    void step(std::size_t n, const input& fn)
    {
        auto& it = vms_[n];
        it.sweeper->on_wall_clock(wall_s(it), now_);
        fn(it);
        for (const auto& decision : it.claims->take_decisions())
            if (decision.verdict == claim_verdict::won)
                run_request(it, decision.id);
        (void)it.claims->take_closed();
        for (const auto& effect : std::exchange(out_, {}))
            if (const auto* call = std::get_if<core::http_call>(&effect))
                carry_out(n, *call);
    }

    void run_request(vm& it, std::uint64_t id)
    {
        ++runs_[it.keys.at(id)];
        it.sweeper->on_claim_won(now_);
        it.claims->record(id, {}, now_, out_);
    }

    void carry_out(std::size_t n, const core::http_call& call)
    {
        base::result<wire::http_reply> reply = base::fail(
            base::error_code::broken, base::step::wait, "platform", "lost");
        if (down_)
            reply = wire::http_reply{503, {}, "{}"};
        else if (chance(10))
            events_.emplace(now_ + seconds(between(1, 5 * day_s)),
                            std::pair(n, [this, call](vm&) { apply(call); }));
        else if (const auto done = apply(call); !chance(10))
            reply = done;
        events_.emplace(
            now_ + milliseconds(between(1, 50)),
            std::pair(n,
                      [this, owner = call.owner, id = call.id, reply](vm& to)
                      {
                          if (owner == core::call_owner::claims)
                              to.claims->on_http_reply(id, reply, now_, out_);
                          else
                              to.sweeper->on_http_reply(id, reply, now_, out_);
                      }));
    }

    wire::http_reply apply(const core::http_call& call)
    {
        const auto& request = call.request;
        const auto platform_s = true_s() + platform_off_s_;
        if (request.path == "/v1/objects/dated-claim")
        {
            json list = json::array();
            for (const auto& [path, it] : objects_)
                list.push_back({{"name", path.substr(path.rfind('/') + 1)},
                                {"version", it.first}});
            return reply_at(200, {{"objects", list}}, platform_s);
        }
        const auto found = objects_.find(request.path);
        const auto version = found == objects_.end() ? 0 : found->second.first;
        const json object =
            version == 0 ? json()
                         : json{{"version", version},
                                {"value", json::parse(found->second.second)}};
        if (request.method == "GET")
            return reply_at(version == 0 ? 404 : 200, object, platform_s);
        if (request.headers.at("if-match") != std::to_string(version))
            return reply_at(409, {{"object", object}}, platform_s);
        if (request.method == "DELETE")
            remove(call);
        else
            objects_[request.path] = {version_ + 1, request.body};
        return reply_at(200, {{"version", ++version_}}, platform_s);
    }

    void remove(const core::http_call& call)
    {
        const auto& path = call.request.path;
        objects_.erase(path);
        if (call.owner != core::call_owner::sweeper)
            return;
        ++removed_;
        const auto made_s =
            query::time_of_key(path.substr(path.rfind('/') + 1));
        if (true_s() - *made_s <= query::longest_retention.count())
            ++removed_young_;
    }

    std::mt19937_64 random_;
    std::array<vm, 3> vms_;
    std::multimap<base::instant, std::pair<std::size_t, input>> events_;
    std::map<std::string, std::pair<std::uint64_t, std::string>> objects_;
    std::uint64_t version_ = 0;
    std::map<std::string, int> runs_; ///< by key
    core::effects out_;
    base::instant now_ = test_start;
    std::int64_t platform_off_s_ = 0;
    bool down_ = false;
    bool calm_ = false;
    int removed_ = 0;
    int removed_young_ = 0;
};

} // namespace

TEST_GROUP(claim_sweeper)
{
    bool may_call = true;
    query::claim_sweeper sweeper{{.platform_address = "127.0.0.1:1"},
                                 7,
                                 [this](base::instant) { return may_call; }};
    core::effects out;
    base::instant now = test_start;

    void setup() override
    {
        sweeper.on_wall_clock(today_s, now);
        sweeper.on_tick(3, now, out);
    }

    /// Runs the timer up to `most`; the call that was made, if any.
    std::optional<core::http_call> next_call(seconds most = seconds(3600))
    {
        const auto end = now + most;
        while (count_of<core::http_call>(out) == 0 &&
               sweeper.next_wakeup() <= end)
        {
            now = std::max(now, sweeper.next_wakeup());
            sweeper.on_tick(3, now, out);
        }
        const auto* found = first_of<core::http_call>(out);
        std::optional<core::http_call> call;
        if (found)
            call = *found;
        out.clear();
        return call;
    }

    void answer(const core::http_call& call, unsigned status, const json& body,
                std::int64_t platform_s = today_s)
    {
        sweeper.on_http_reply(call.id, reply_at(status, body, platform_s), now,
                              out);
    }

    /// Answers the list of a sweep with names, versions counted from 10.
    void answer_list(const std::vector<std::string>& names,
                     std::int64_t platform_s = today_s)
    {
        const auto call = next_call();
        CHECK_TRUE(call.has_value());
        STRCMP_EQUAL("GET", call->request.method.c_str());
        json list = json::array();
        for (const auto& it : names)
            list.push_back({{"name", it}, {"version", 10 + list.size()}});
        answer(*call, 200, {{"objects", list}}, platform_s);
    }
};

TEST(claim_sweeper, removes_old_claims_and_no_others)
{
    const auto old_s = today_s - claim_lifetime.count() - hour_s;
    answer_list({name_at(old_s), name_at(old_s + 2 * hour_s), "undated"});
    const auto call = next_call();
    STRCMP_EQUAL("DELETE", call->request.method.c_str());
    STRCMP_EQUAL(("/v1/objects/dated-claim/" + name_at(old_s)).c_str(),
                 call->request.path.c_str());
    STRCMP_EQUAL("10", call->request.headers.at("if-match").c_str());
    answer(*call, 200, {{"version", 20}});
    LONGS_EQUAL(1, sweeper.removed());
    CHECK(first_of<core::log_event>(out)->id == core::event_id::claims_removed);
    STRCMP_EQUAL("GET", next_call()->request.method.c_str());
}

TEST(claim_sweeper, a_clock_an_hour_off_removes_nothing)
{
    for (const auto off : {hour_s, -hour_s})
    {
        // Old by the clock that is ahead only, the platform's or this VM's.
        const auto young = off > 0 ? 60 : -60;
        out.clear();
        answer_list({name_at(today_s - claim_lifetime.count() + young)},
                    today_s + off);
        CHECK(first_of<core::log_event>(out)->id ==
              core::event_id::clock_differs);
        // The next call is a list again, which fails.
        const auto call = next_call();
        STRCMP_EQUAL("GET", call->request.method.c_str());
        answer(*call, 500, {});
    }
}

TEST(claim_sweeper, a_platform_without_a_date_removes_nothing)
{
    const auto call = next_call();
    const json list = {{{"name", name_at(1'000'000'000)}, {"version", 1}}};
    sweeper.on_http_reply(
        call->id, wire::http_reply{200, {}, json{{"objects", list}}.dump()},
        now, out);
    STRCMP_EQUAL("GET", next_call()->request.method.c_str());
}

TEST(claim_sweeper, without_a_wall_clock_nothing_is_asked)
{
    query::claim_sweeper blind({}, 7, [](base::instant) { return true; });
    for (int n = 0; n < 20; ++n)
    {
        now = std::max(now, blind.next_wakeup());
        blind.on_tick(1, now, out);
    }
    LONGS_EQUAL(0, count_of<core::http_call>(out));
}

TEST(claim_sweeper, a_sweep_is_bounded_and_asks_for_each_call)
{
    std::vector<std::string> names;
    for (int n = 0; n < 64; ++n)
        names.push_back(name_at(1'000'000'000 + n));
    answer_list(names);
    std::set<std::string> deleted;
    for (;;)
    {
        may_call = false;
        CHECK_FALSE(next_call(seconds(5)).has_value());
        may_call = true;
        const auto call = next_call();
        if (call->request.method == "GET")
            break;
        CHECK(deleted.insert(call->request.path).second);
        answer(*call, 200, {{"version", 99}});
    }
    LONGS_EQUAL(16, deleted.size());
}

TEST(claim_sweeper, a_lost_answer_of_a_delete_is_not_followed_by_another)
{
    answer_list({name_at(1'000'000'000), name_at(1'000'000'001)});
    const auto call = next_call();
    sweeper.on_http_reply(call->id,
                          base::fail(base::error_code::broken, base::step::wait,
                                     "platform", "lost"),
                          now, out);
    // The next list says what is left.
    STRCMP_EQUAL("GET", next_call()->request.method.c_str());
    LONGS_EQUAL(0, sweeper.removed());
}

TEST(claim_sweeper, a_claim_that_another_vm_removed_is_passed_over)
{
    answer_list({name_at(1'000'000'000), name_at(1'000'000'001)});
    answer(*next_call(), 409, {{"version", 0}});
    const auto call = next_call();
    STRCMP_EQUAL("DELETE", call->request.method.c_str());
    answer(*call, 404, {});
    LONGS_EQUAL(0, sweeper.removed());
    LONGS_EQUAL(2, sweeper.lost_races());
}

TEST(claim_sweeper, new_claims_pay_for_removals_unless_none_is_old)
{
    const auto due = sweeper.next_wakeup();
    for (int n = 0; n < 12; ++n)
        sweeper.on_claim_won(now);
    CHECK(sweeper.next_wakeup() == due);
    sweeper.on_claim_won(now);
    CHECK(sweeper.next_wakeup() == now);
    answer_list({name_at(today_s - claim_lifetime.count() + 600)});
    for (int n = 0; n < 100; ++n)
        sweeper.on_claim_won(now);
    CHECK(sweeper.next_wakeup() >= now + seconds(600));
}

TEST(claim_sweeper, a_vm_that_stops_starts_no_call)
{
    sweeper.stop();
    CHECK(sweeper.next_wakeup() == base::never);
    CHECK_FALSE(next_call().has_value());
}

TEST(claim_sweeper, no_key_runs_twice_and_no_young_claim_is_removed)
{
    int removed = 0;
    const bool ok = rc::check(
        [&removed](std::uint64_t seed)
        {
            std::mt19937_64 random(seed);
            sweep_world all(random());
            const auto when = [&random]
            { return static_cast<std::int64_t>(random() % (6 * day_s)); };
            for (int n = 0; n < 6; ++n)
                all.use_key(when());
            all.pause(when());
            all.pause(when());
            all.outage(when());
            for (int n = 0; n < 4; ++n)
                all.step_platform_clock(when());
            all.run(14 * day_s, 20 * day_s);
            RC_ASSERT(all.most_runs() <= 1);
            RC_ASSERT(all.removed_young() == 0);
            RC_ASSERT(all.stored() == 0U);
            removed += all.removed();
        });
    CHECK(ok);
    CHECK_TRUE(removed > 100);
}
