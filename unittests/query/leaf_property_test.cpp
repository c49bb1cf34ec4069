// Random interleavings of forwards, replies, faults, cancels and ticks against
// one leaf, compared with a model that keeps only what must hold.
#include "leaf_fixture.hpp"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace mimosacroft;
using namespace mimosacroft::tests;
using base::milliseconds;

namespace
{

constexpr std::uint32_t slot_share = 2;
constexpr std::size_t connection_share = 25 / 2;
constexpr double budget_burst = 10;
constexpr double budget_share = 0.05;
constexpr double reserve_burst = 320;

enum class event
{
    forward,
    reply_ok,
    reply_refused,
    reply_broken,
    reply_unreachable,
    reply_error,
    reply_wrong,
    reply_not_yet,
    confirm_cancel,
    lose_cancel,
    cancel,
    tick,
    long_tick,
    count
};

struct step
{
    event what;
    unsigned pick;
};

rc::Gen<step> any_step()
{
    return rc::gen::map(
        rc::gen::pair(rc::gen::inRange(0, static_cast<int>(event::count)),
                      rc::gen::inRange(0U, 1'000'000U)),
        [](const std::pair<int, unsigned>& it)
        { return step{static_cast<event>(it.first), it.second}; });
}

// What happened to one shard of one query.
struct shard_record
{
    int sent = 0;
    int harmless = 0;   ///< attempts that provably did not run
    bool right = false; ///< a true answer came
    int reported = 0;
};

struct forward_record
{
    std::uint32_t shards = 0;
    bool repeatable = true;
    bool canceled = false;
};

struct abandoned_call
{
    std::string address;
    base::instant until;
    std::uint64_t cancel = 0;
};

using shard_key = std::pair<std::uint32_t, std::string>; // query, shard

class model_run
{
public:
    explicit model_run(std::size_t servers)
        : servers_(servers), rig_({}, servers)
    {
    }

    void run(const step& it)
    {
        apply(it);
        watch();
        check_limits();
        check_reports();
    }

    void finish()
    {
        run({event::long_tick, 0});
        run({event::long_tick, 0});
        for (const auto& [query, forward] : forwards_)
            for (std::uint32_t n = 0; n < forward.shards; ++n)
            {
                const shard_key key(query, "s" + std::to_string(n));
                RC_ASSERT(forward.canceled || shards_[key].reported == 1);
            }
        RC_ASSERT(rig_.leaf.open() == 0U);
        RC_ASSERT(rig_.leaf.next_wakeup() == base::never);
        const auto budget = budget_burst + budget_share * first_;
        const auto reserve = reserve_burst + budget_share * first_;
        RC_ASSERT(extra_ - unsent_ - without_work_ <= budget);
        RC_ASSERT(extra_ - unsent_ <= budget + reserve);
    }

private:
    void apply(const step& it)
    {
        const auto work = rig_.work();
        const auto call = work.empty() ? 0 : work[it.pick % work.size()];
        const auto cancels = rig_.cancels();
        const auto cancel =
            cancels.empty() ? 0 : cancels[it.pick % cancels.size()];
        switch (it.what)
        {
        case event::forward:
            return start(it.pick);
        case event::cancel:
            return give_up(it.pick);
        case event::tick:
            return pass(milliseconds(it.pick % 40));
        case event::long_tick:
            return pass(milliseconds(400));
        case event::confirm_cancel:
        case event::lose_cancel:
            if (cancel != 0)
                end_cancel(cancel, it.what == event::confirm_cancel);
            return;
        default:
            if (call != 0)
                answer(call, it.what);
        }
    }

    void start(unsigned pick)
    {
        const auto query = ++last_query_;
        forward_record made;
        made.shards = 1 + pick % 5;
        made.repeatable = pick % 3 != 0;
        forwards_[query] = made;
        rig_.forward(query, made.shards, 20 + static_cast<int>(pick % 280),
                     made.repeatable,
                     pick % 2 == 0 ? model::priority::urgent
                                   : model::priority::ordinary);
    }

    void give_up(unsigned pick)
    {
        if (last_query_ == 0)
            return;
        const auto query = 1 + pick % last_query_;
        // What was answered before the cancel came stays answered.
        check_reports();
        forwards_[query].canceled = true;
        rig_.cancel(query);
    }

    // Time passes; calls past their deadline end as the client ends them.
    void pass(base::duration time)
    {
        rig_.tick(time);
        watch();
        for (const auto& [id, call] : std::map(rig_.sent))
            if (call.deadline <= rig_.now)
                rig_.fail(id, base::error_code::timeout);
        std::erase_if(abandoned_, [this](const auto& it)
                      { return it.second.until <= rig_.now; });
    }

    void end_cancel(std::uint64_t id, bool confirmed)
    {
        if (confirmed)
            std::erase_if(abandoned_, [id](const auto& it)
                          { return it.second.cancel == id; });
        if (confirmed)
            rig_.reply(id, {{"ok", true}});
        else
            rig_.fail(id, base::error_code::broken);
    }

    void answer(std::uint64_t id, event how)
    {
        auto body = rig_.answer_to(id);
        for (auto& it : body["answers"])
        {
            auto& shard = shards_[key_of(it)];
            if (how == event::reply_ok)
                shard.right = true;
            if (how == event::reply_refused || how == event::reply_not_yet ||
                how == event::reply_unreachable)
                ++shard.harmless;
            if (how == event::reply_unreachable)
                ++unsent_;
            if (how == event::reply_refused ||
                (how == event::reply_error && is_quick(id)))
                ++without_work_;
            if (how == event::reply_wrong)
                it["epoch"] = epoch_of_tests + 1;
            if (how == event::reply_not_yet)
                it["status"] = "not_yet";
        }
        if (how == event::reply_ok)
            longest_ = std::max(longest_, rig_.now - sent_at_.at(id));
        open_.erase(id);
        if (how == event::reply_refused)
            rig_.refuse(id);
        else if (how == event::reply_broken)
            rig_.fail(id, base::error_code::broken);
        else if (how == event::reply_unreachable)
            rig_.fail(id, base::error_code::unreachable);
        else if (how == event::reply_error)
            rig_.reply(id, {{"error", "failed"}}, 500);
        else
            rig_.reply(id, body);
    }

    // Whether a call may count as one that failed at once: none that took
    // longer than every answered or canceled one does.
    bool is_quick(std::uint64_t id) const
    {
        return rig_.now - sent_at_.at(id) < longest_;
    }

    static shard_key key_of(const nlohmann::json& subquery)
    {
        const auto id = subquery["id"].get<std::string>();
        const auto query = id.substr(id.find('-') + 1);
        return {static_cast<std::uint32_t>(std::stoul(query)),
                subquery["shard"].get<std::string>()};
    }

    // Reads the effects in order, so that a call made and given up within one
    // step is seen too.
    void watch()
    {
        for (; read_ < rig_.out.size(); ++read_)
        {
            const auto& it = rig_.out[read_];
            if (const auto* call = std::get_if<core::http_call>(&it))
                note_call(*call);
            if (const auto* gone = std::get_if<core::abandon_call>(&it))
                note_abandoned(gone->id);
        }
    }

    void note_abandoned(std::uint64_t id)
    {
        const auto& call = open_.at(id);
        abandoned_[id] = {call.address, call.deadline, id};
        longest_ = std::max(longest_, rig_.now - sent_at_.at(id));
    }

    void note_call(const core::http_call& call)
    {
        if (leaf_rig::is_cancel(call))
        {
            // It follows the call that it cancels.
            for (auto& [id, it] : abandoned_)
                if (it.cancel == id)
                    it.cancel = call.id;
            return;
        }
        open_[call.id] = call;
        sent_at_[call.id] = rig_.now;
        const auto list = nlohmann::json::parse(call.request.body);
        for (const auto& it : list["subqueries"])
        {
            const auto key = key_of(it);
            auto& shard = shards_[key];
            ++(shard.sent == 0 ? first_ : extra_);
            if (!forwards_[key.first].repeatable)
            {
                RC_ASSERT(call.fresh_connection);
                RC_ASSERT(list["subqueries"].size() == 1U);
                RC_ASSERT(shard.sent == shard.harmless);
            }
            ++shard.sent;
        }
    }

    void check_limits()
    {
        for (std::size_t n = 0; n < servers_; ++n)
        {
            const auto address = "127.0.0.1:" + std::to_string(11 + n);
            std::size_t connections = 0;
            std::size_t slots = 0;
            for (const auto& [id, call] : rig_.sent)
            {
                if (call.address != address)
                    continue;
                ++connections;
                slots += leaf_rig::is_cancel(call) ? 0 : 1;
            }
            for (const auto& [id, it] : abandoned_)
                slots += it.address == address ? 1 : 0;
            RC_ASSERT(slots <= slot_share);
            RC_ASSERT(connections <= connection_share);
        }
    }

    void check_reports()
    {
        for (const auto& answer : rig_.leaf.take_answers())
        {
            const auto& forward = forwards_[answer.msg.attempt];
            RC_ASSERT(!forward.canceled);
            RC_ASSERT(answer.msg.shards.size() == forward.shards);
            for (const auto& it : answer.msg.shards)
            {
                auto& shard = shards_[{answer.msg.attempt,
                                       "s" + std::to_string(it.shard)}];
                RC_ASSERT(++shard.reported == 1);
                RC_ASSERT(!it.included || shard.right);
                RC_ASSERT(it.included || it.lack != 0);
                RC_ASSERT(it.maybe_run || shard.sent == shard.harmless);
            }
        }
    }

    std::size_t servers_;
    leaf_rig rig_;
    std::uint32_t last_query_ = 0;
    std::map<std::uint32_t, forward_record> forwards_;
    std::map<shard_key, shard_record> shards_;
    std::map<std::uint64_t, core::http_call> open_; ///< and ended ones
    std::map<std::uint64_t, abandoned_call> abandoned_;
    std::size_t read_ = 0;
    double first_ = 0;
    double extra_ = 0;
    double unsent_ = 0;
    double without_work_ = 0; ///< refused, or failed at once
    std::map<std::uint64_t, base::instant> sent_at_; ///< by call
    base::duration longest_{}; ///< of the answered and canceled calls
};

} // namespace

TEST_GROUP(leaf_property){};

TEST(leaf_property, every_interleaving_keeps_limits_truth_and_at_most_once)
{
    CHECK(rc::check(
        []
        {
            const auto steps =
                *rc::gen::container<std::vector<step>>(any_step());
            const auto servers = *rc::gen::inRange<std::size_t>(1, 4);
            model_run it(servers);
            for (const auto& s : steps)
                it.run(s);
            it.finish();
        }));
}

TEST(leaf_property, long_runs_keep_limits_truth_and_at_most_once)
{
    CHECK(rc::check(
        []
        {
            const auto steps =
                *rc::gen::container<std::vector<step>>(600, any_step());
            model_run it(2);
            for (const auto& s : steps)
                it.run(s);
            it.finish();
        }));
}
