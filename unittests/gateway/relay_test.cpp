// Tests of shards that are asked through a VM beside their servers.
#include "gateway_fixture.hpp"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace gateway_test;

namespace
{

const gateway::vm_entry far_vm{"far-1", "10.0.0.9:70", "b", 0};

} // namespace

// Four shards near, four whose servers are all in another region.
TEST_GROUP(relay)
{
    bed b{{scattered(8)}};
    TEST_SETUP()
    {
        for (std::size_t n = 0; n < 8; ++n)
            for (const char* copy : {"x", "y"})
                b.add_server(copy + std::to_string(n), "s" + std::to_string(n),
                             n < 4 ? "a" : "b");
        b.it.set_fleet({far_vm}, 2);
    }

    gateway::effects relay_reply(gateway::exchange_number number,
                                 gateway::answer reply)
    {
        gateway::effects out;
        b.it.on_relay_reply(number, std::move(reply), b.now, out);
        b.written(out);
        return out;
    }

    static gateway::merged far_answer(std::vector<std::uint32_t> shards)
    {
        gateway::merged out;
        for (const auto n : shards)
            out.signatures.push_back("far" + std::to_string(n));
        out.shards = std::move(shards);
        out.records = std::string(16, 'f');
        return out;
    }
};

TEST(relay, far_shards_cross_the_link_in_one_call)
{
    const auto out = b.open("/all/q");
    LONGS_EQUAL(4, out.sends.size());
    LONGS_EQUAL(1, out.relays.size());
    CHECK((out.relays[0].shards == std::vector<std::uint32_t>{4, 5, 6, 7}));
    CHECK(out.relays[0].answer_within < milliseconds(130));
    for (const auto& send : out.sends)
        b.reply(send.number);
    const auto last =
        relay_reply(out.relays[0].number, far_answer({4, 5, 6, 7}));
    const auto* answer = bed::merged_in(last);
    CHECK(answer != nullptr);
    LONGS_EQUAL(8, answer->signatures.size());
    CHECK(answer->records.find('f') != std::string::npos);
}

TEST(relay, a_vm_that_declines_ran_nothing_and_shards_are_asked_directly)
{
    const auto out = b.open("/all/q");
    const auto direct = relay_reply(out.relays[0].number, gateway::declined{});
    LONGS_EQUAL(4, direct.sends.size());
}

TEST(relay, a_vm_that_is_lost_is_replaced_by_direct_sends)
{
    const auto out = b.open("/all/q");
    const auto direct =
        b.fail(out.relays[0].number, gateway::send_failure::lost);
    LONGS_EQUAL(4, direct.sends.size());
    // The next queries pass it over for a while.
    CHECK(b.open("/all/q").relays.empty());
}

// Pattern: a lost packet holds up the one connection to the relay.
TEST(relay, a_late_vm_gets_help_and_each_shard_counts_once)
{
    const auto out = b.open("/all/q");
    for (const auto& send : out.sends)
        b.reply(send.number);
    gateway::effects help;
    for (int n = 0; n < 20 && help.sends.empty(); ++n)
        help = b.tick(milliseconds(5));
    LONGS_EQUAL(4, help.sends.size());
    b.reply(help.sends[0].number, bed::good_reply("0123456789abcdef"));
    const auto last =
        relay_reply(out.relays[0].number, far_answer({4, 5, 6, 7}));
    const auto* answer = bed::merged_in(last);
    CHECK(answer != nullptr);
    const std::set<std::uint32_t> shards(answer->shards.begin(),
                                         answer->shards.end());
    LONGS_EQUAL(8, shards.size());
    LONGS_EQUAL(8, answer->signatures.size());
    // The direct answer's records are in the relay's already.
    CHECK(answer->records.find('0') == std::string::npos);
}

TEST(relay, shards_that_the_vm_lacks_are_asked_directly)
{
    const auto out = b.open("/all/q");
    for (const auto& send : out.sends)
        b.reply(send.number);
    const auto next = relay_reply(out.relays[0].number, far_answer({4, 5, 6}));
    LONGS_EQUAL(1, next.sends.size());
    const auto last = b.reply(next.sends[0].number);
    LONGS_EQUAL(0, bed::merged_in(last)->missing);
}

TEST(relay, an_asked_vm_answers_for_its_shards_only)
{
    gateway::relayed_request request;
    request.shards = {1, 2};
    request.request = bed::request("/all/q", milliseconds(1'000));
    request.version = 1;
    request.answer_within = milliseconds(90);
    gateway::effects out;
    b.it.open_relayed(50, std::move(request), b.now, out);
    b.written(out);
    LONGS_EQUAL(2, out.sends.size());
    CHECK(out.relays.empty());
    b.reply(out.sends[0].number);
    const auto last = b.reply(out.sends[1].number);
    CHECK((bed::merged_in(last)->shards == std::vector<std::uint32_t>{1, 2}));
}

TEST(relay, another_configuration_or_an_unknown_shard_is_declined)
{
    for (const auto& [version, shard] :
         {std::pair<std::uint64_t, std::uint32_t>{2, 1}, {1, 8}})
    {
        gateway::relayed_request request;
        request.shards = {shard};
        request.request = bed::request("/all/q", milliseconds(1'000));
        request.version = version;
        gateway::effects out;
        b.it.open_relayed(50, std::move(request), b.now, out);
        CHECK(
            std::holds_alternative<gateway::declined>(out.answers.at(0).reply));
    }
}

// The VM that took a request and the one that it asked may both send a part:
// together to no more servers than the search allows.
TEST(relay, both_vms_keep_to_the_same_servers_of_a_shard)
{
    for (std::size_t n = 4; n < 8; ++n)
        b.add_server("z" + std::to_string(n), "s" + std::to_string(n), "a2");
    auto options = bed::make_options();
    options.data_centre = "b";
    bed far({scattered(8)}, options);
    for (std::size_t n = 4; n < 8; ++n)
    {
        for (const char* copy : {"x", "y"})
            far.add_server(copy + std::to_string(n), "s" + std::to_string(n),
                           "b");
        far.add_server("z" + std::to_string(n), "s" + std::to_string(n), "a2");
    }
    const auto out = b.open("/all/q");
    gateway::relayed_request request;
    request.shards = out.relays.at(0).shards;
    request.request = bed::request("/all/q", milliseconds(2'000));
    request.version = 1;
    request.answer_within = milliseconds(1'000);
    std::set<std::string> used;
    gateway::effects there;
    far.it.open_relayed(50, std::move(request), far.now, there);
    far.written(there);
    const auto note = [&used](const gateway::effects& e)
    {
        for (const auto& send : e.sends)
            if (send.server_id.ends_with('4'))
                used.insert(send.server_id);
    };
    note(there);
    note(b.fail(out.relays[0].number, gateway::send_failure::lost));
    for (int n = 0; n < 50; ++n)
    {
        note(far.tick(milliseconds(10)));
        note(b.tick(milliseconds(10)));
    }
    LONGS_EQUAL(2, used.size());
}
