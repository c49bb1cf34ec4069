// Tests of store_watch, spread_server and registration against a stand-in of
// the store over loopback sockets: paged lists, changes, faults of the store,
// and other VMs as sources.
#include "mimosacroft/entry/registration.hpp"
#include "mimosacroft/entry/spread_server.hpp"
#include "mimosacroft/entry/store_watch.hpp"

#include "../platform/store_standin.hpp"
#include "../support/loopback.hpp"
#include "platform/store.hpp"

#include <CppUTest/TestHarness.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>

using namespace mimosacroft;
using base::milliseconds;
using tests::free_endpoint;
using tests::store_mode;
using tests::text_of;

namespace
{

using change_list = std::vector<gateway::object_change>;

// The objects of one kind as a VM has read them, and the watch that reads them.
struct object_reader
{
    object_reader(http::asio::io_context& io, const std::string& store)
        : watch(io, "things", store, {.min_call_interval = milliseconds(20)},
                {milliseconds(300), milliseconds(200)},
                {.on_changes = [this](const change_list& changes)
                 { apply(changes); },
                 .on_list =
                     [this](const std::set<std::string>& names)
                 {
                     ++completed_lists;
                     std::erase_if(objects, [&names](const auto& it)
                                   { return !names.contains(it.first); });
                 },
                 .on_failure = [this](const std::string&) { ++failures; },
                 .on_call_ended = [this] { on_call_ended(); }},
                1)
    {
    }

    void apply(const change_list& changes)
    {
        for (const auto& change : changes)
            if (change.deleted)
                objects.erase(change.name);
            else
                objects[change.name] = change.content;
    }

    std::map<std::string, std::string> objects;
    int completed_lists = 0;
    int failures = 0;
    std::function<void()> on_call_ended = [] {};
    entry::store_watch watch;
};

} // namespace

TEST_GROUP(store_watch)
{
    http::asio::io_context io;
    http::tcp::endpoint store_endpoint = free_endpoint(io);
    tests::store_standin store{io, store_endpoint};
    object_reader vm{io, text_of(store_endpoint)};

    bool run_until(const std::function<bool()>& holds)
    {
        return tests::run_until(io, holds, [this](base::instant now)
                                { vm.watch.tick(now); });
    }
};

TEST(store_watch, a_paged_list_and_the_changes_after_it)
{
    store.set_page_size(2);
    for (const auto* name : {"a", "b", "c", "d", "e"})
        store.put("things", name, {{"n", 1}});
    CHECK(run_until([this] { return vm.watch.is_complete(); }));
    LONGS_EQUAL(5, vm.objects.size());
    store.put("things", "a", {{"n", 2}});
    store.remove("things", "b");
    CHECK(run_until([this] { return vm.objects.size() == 4; }));
    STRCMP_EQUAL(R"({"n":2})", vm.objects["a"].c_str());
    LONGS_EQUAL(1, vm.completed_lists);
}

// The store discards its history of changes while a watch waits: the objects
// are listed again, and those removed in the meantime are dropped.
TEST(store_watch, a_lost_history_causes_a_new_list)
{
    store.put("things", "a", {{"n", 1}});
    CHECK(run_until([this] { return vm.watch.is_complete(); }));
    store.put("things", "b", {{"n", 1}});
    store.remove("things", "a");
    store.compact_history();
    CHECK(run_until([this] { return vm.completed_lists == 2; }));
    CHECK(vm.objects.contains("b"));
    CHECK_FALSE(vm.objects.contains("a"));
}

// Guards against LOST by memory: configurations followed one another faster
// than a VM with a small share of a processor read them. The answer to each of
// its watches held all changes since the last one, so each was larger, and took
// longer, than the one before.
TEST(store_watch, a_vm_that_fell_behind_does_not_read_every_change)
{
    const std::string large(350'000, 'x');
    store.put("things", "main", {{"n", 0}, {"text", large}});
    CHECK(run_until([this] { return vm.watch.is_complete(); }));
    const auto before = vm.watch.moved().received;
    constexpr int changes = 60;
    for (int n = 1; n <= changes; ++n)
        store.put("things", "main", {{"n", n}, {"text", large}});
    const auto is_current = [this, changes]
    {
        return vm.objects["main"].starts_with(R"({"n":)" +
                                              std::to_string(changes) + ",");
    };
    CHECK(run_until(is_current));
    // The watch that is given up, and the list that takes its place.
    CHECK(vm.watch.moved().received - before < 4'000'000);
    LONGS_EQUAL(2, vm.completed_lists);
    LONGS_EQUAL(0, vm.failures);
    LONGS_EQUAL(1, vm.watch.lists_again(entry::list_reason::too_many_changes));
    // Later changes come by watches again.
    store.put("things", "a", {{"n", 1}});
    CHECK(run_until([this] { return vm.objects.contains("a"); }));
    LONGS_EQUAL(2, vm.completed_lists);
}

// One change of the largest object that the store takes is not too much.
TEST(store_watch, a_change_of_the_largest_object_comes_by_a_watch)
{
    store.put("things", "main", {{"n", 0}});
    CHECK(run_until([this] { return vm.watch.is_complete(); }));
    store.put("things", "main", {{"text", std::string(1'048'000, 'x')}});
    CHECK(run_until([this] { return vm.objects["main"].size() > 1'000'000; }));
    LONGS_EQUAL(1, vm.completed_lists);
}

// The store fails in each possible way, then recovers: objects read before are
// kept, and the change made meanwhile arrives without a new list.
TEST(store_watch, known_objects_are_kept_while_the_store_is_unavailable)
{
    store.put("things", "a", {{"n", 1}});
    CHECK(run_until([this] { return vm.watch.is_complete(); }));
    int n = 1;
    for (const auto mode : {store_mode::refuses, store_mode::limits,
                            store_mode::is_silent, store_mode::loses_answers})
    {
        const auto failures = vm.failures;
        store.set_mode(mode);
        store.put("things", "a", {{"n", ++n}});
        CHECK(run_until([&] { return vm.failures > failures; }));
        CHECK(vm.objects.contains("a"));
        store.set_mode(store_mode::serves);
        const auto wanted = R"({"n":)" + std::to_string(n) + "}";
        CHECK(run_until([&] { return vm.objects["a"] == wanted; }));
    }
    LONGS_EQUAL(1, vm.completed_lists);
}

// Guards against CONFIG of 2026-12-04: the store comes back from a copy, and by
// the next call of the VM its revisions have passed the one that the VM knows,
// so no call fails with 410. Nothing may be missed.
TEST(store_watch, changes_after_a_copy_are_not_missed_when_revisions_pass)
{
    store.put("things", "a", {{"n", 1}});
    const auto copy = store.copy();
    store.put("things", "b", {{"n", 1}});
    CHECK(run_until([this] { return vm.objects.size() == 2; }));
    const auto failures = vm.failures;
    store.set_mode(store_mode::refuses);
    store.restore(*copy);
    CHECK(run_until([&] { return vm.failures > failures; }));
    store.put("things", "c", {{"n", 1}});
    store.put("things", "a", {{"n", 2}});
    store.put("things", "d", {{"n", 1}});
    store.set_mode(store_mode::serves);
    const auto is_current = [this]
    {
        return vm.objects.size() == 3 && vm.objects.contains("c") &&
               vm.objects["a"] == R"({"n":2})" && vm.objects.contains("d");
    };
    CHECK(run_until(is_current));
}

TEST_GROUP(spread_server)
{
    http::asio::io_context io;
    http::tcp::endpoint store_endpoint = free_endpoint(io);
    http::tcp::endpoint parent_endpoint = free_endpoint(io);
    tests::store_standin store{io, store_endpoint};
    object_reader parent{io, text_of(store_endpoint)};
    object_reader child{io, text_of(store_endpoint)};
    std::optional<http::server> parent_server;
    std::unique_ptr<entry::spread_server> spread;

    TEST_SETUP()
    {
        spread = std::make_unique<entry::spread_server>(
            std::vector<const entry::store_watch*>{&parent.watch},
            [this](auto number, const auto& reply)
            { parent_server->answer(number, reply); });
        parent.on_call_ended = [this]
        { spread->answer_waiting("things", base::now()); };
        parent_server.emplace(
            io, parent_endpoint,
            http::server::handlers{
                .on_request =
                    [this](auto number, http::request&& message)
                {
                    const auto request = entry::decode_spread_request(message);
                    CHECK(request.has_value());
                    spread->on_request(number, *request, base::now());
                },
                .on_leave = [this](auto number) { spread->on_leave(number); }});
        child.watch.sources().set({"vm-2", "127.0.0.1:1", "dc", 0},
                                  {{"vm-1", text_of(parent_endpoint), "dc", 0}},
                                  {});
    }

    bool run_until(const std::function<bool()>& holds,
                   bool parent_is_running = true)
    {
        const auto step = [this, parent_is_running](base::instant now)
        {
            if (parent_is_running)
                parent.watch.tick(now);
            child.watch.tick(now);
            spread->answer_due(now);
        };
        return tests::run_until(io, holds, step);
    }
};

// When a fleet starts, each VM asks one that is starting as well. That one
// delays its answer instead of refusing, so the child need not call the store.
TEST(spread_server, a_starting_vm_holds_requests_until_it_has_the_objects)
{
    store.put("things", "a", {{"n", 1}});
    CHECK(run_until([this] { return child.watch.is_complete(); }));
    LONGS_EQUAL(0, child.watch.store_calls());
    CHECK(child.objects.contains("a"));
}

TEST(spread_server, a_change_is_passed_on_at_once)
{
    CHECK(run_until([this] { return child.watch.is_complete(); }));
    const auto started_at = base::now();
    store.put("things", "a", {{"n", 1}});
    CHECK(run_until([this] { return child.objects.contains("a"); }));
    const auto elapsed = base::now() - started_at;
    // Far less than the time until the next call of the child.
    CHECK(elapsed < milliseconds(150));
    LONGS_EQUAL(0, child.watch.store_calls());
}

// Guards against answers between VMs that hold an object once for each change
// that the VM which asks has missed.
TEST(spread_server, a_vm_that_fell_behind_gets_each_object_once)
{
    const std::string large(100'000, 'x');
    store.put("things", "main", {{"n", 0}, {"text", large}});
    CHECK(run_until([this] { return child.watch.is_complete(); }));
    const auto before = child.watch.moved().received;
    constexpr int changes = 20;
    for (int n = 1; n <= changes; ++n)
    {
        store.put("things", "main", {{"n", n}, {"text", large}});
        const auto wanted = R"({"n":)" + std::to_string(n) + ",";
        // The child stands still.
        CHECK(tests::run_until(
            io, [&] { return parent.objects["main"].starts_with(wanted); },
            [this](base::instant now) { parent.watch.tick(now); }));
    }
    const auto wanted = R"({"n":)" + std::to_string(changes) + ",";
    CHECK(run_until([&] { return child.objects["main"].starts_with(wanted); }));
    LONGS_EQUAL(0, child.watch.store_calls());
    CHECK(child.watch.moved().received - before < 4 * large.size());
}

// The only VM of a data centre that reads from the store hangs: a VM that reads
// from it must switch to the store.
TEST(spread_server, a_vm_reads_from_the_store_when_its_source_hangs)
{
    CHECK(run_until([this] { return child.watch.is_complete(); }));
    store.put("things", "a", {{"n", 1}});
    CHECK(run_until([this] { return child.objects.contains("a"); }, false));
    CHECK(child.watch.store_calls() > 0);
}

// Guards against CONFIG of 2026-12-04: after the store came back from a copy, a
// VM that reads from another one got no changes any more.
TEST(spread_server, changes_after_a_copy_reach_a_vm_that_reads_from_another)
{
    store.put("things", "a", {{"n", 1}});
    const auto copy = store.copy();
    for (int n = 0; n < 20; ++n)
        store.put("things", "b", {{"n", n}});
    CHECK(run_until([this] { return child.objects.size() == 2; }));
    store.restore(*copy);
    CHECK(run_until([this] { return child.objects.size() == 1; }));
    store.put("things", "a", {{"n", 2}});
    CHECK(run_until([this] { return child.objects["a"] == R"({"n":2})"; }));
    LONGS_EQUAL(0, child.watch.store_calls());
}

TEST_GROUP(registration)
{
    http::asio::io_context io;
    http::tcp::endpoint store_endpoint = free_endpoint(io);
    tests::store_standin store{io, store_endpoint};
    entry::registration vm_registration{
        io, text_of(store_endpoint), {"vm-1", "127.0.0.1:1", "dc", 0}, 1};

    bool run_until(const std::function<bool()>& holds)
    {
        return tests::run_until(io, holds,
                                [this](base::instant now)
                                {
                                    if (vm_registration.next_due() <= now)
                                        vm_registration.tick(now);
                                });
    }
    bool is_listed() const
    {
        return store.has(std::string(platform::vms_kind), "vm-1");
    }
};

TEST(registration, an_entry_left_by_an_earlier_start_is_replaced)
{
    store.put(std::string(platform::vms_kind), "vm-1", {{"address", "old"}});
    const auto before = store.revision();
    CHECK(run_until([&] { return store.revision() > before; }));
    CHECK(is_listed());
}

TEST(registration, the_entry_is_written_once_the_store_recovers)
{
    store.set_mode(store_mode::loses_answers);
    CHECK(run_until([this] { return is_listed(); }));
    const auto before = store.request_count();
    // The answer was lost, so the call is retried and finds the entry written
    // by the first attempt.
    store.set_mode(store_mode::refuses);
    CHECK(run_until([&] { return store.request_count() > before; }));
    store.set_mode(store_mode::serves);
    const auto last = store.request_count();
    CHECK(run_until([&] { return store.request_count() > last + 1; }));
    CHECK(is_listed());
}

TEST(registration, withdraw_removes_the_entry)
{
    CHECK(run_until([this] { return is_listed(); }));
    CHECK(run_until(
        [this]
        {
            return vm_registration.next_due() > base::now() + base::seconds(10);
        }));
    vm_registration.withdraw();
    CHECK(run_until([this] { return !is_listed(); }));
}
