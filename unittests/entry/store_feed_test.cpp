// Tests of how soon a VM knows what it needs, against the stand-in of the store
// over sockets on loopback.
#include "mimosacroft/entry/store_feed.hpp"

#include "../platform/standin_wire.hpp"
#include "../platform/store_standin.hpp"
#include "../support/loopback.hpp"
#include "platform/store.hpp"

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <optional>
#include <unistd.h>

using namespace mimosacroft;
using base::milliseconds;
using tests::free_endpoint;
using tests::text_of;

TEST_GROUP(store_feed)
{
    http::asio::io_context io;
    http::tcp::endpoint store_at = free_endpoint(io);
    tests::store_standin store{io, store_at};
    /// Takes connections and never answers, as a VM without power seems to.
    http::tcp::acceptor silent_vm{io,
                                  {http::asio::ip::address_v4::loopback(), 0}};
    gateway::gateway decisions{gateway::gateway_options{}};
    int nowhere = ::open("/dev/null", O_WRONLY);
    entry::event_writer log{nowhere, "vm-5"};
    std::optional<entry::store_feed> feed;

    TEST_TEARDOWN()
    {
        feed.reset();
        ::close(nowhere);
    }

    entry::settings settings()
    {
        entry::settings out;
        out.vm = "vm-5";
        out.data_centre = "north";
        out.peer_address = text_of(free_endpoint(io));
        out.store_address = text_of(store_at);
        return out;
    }

    void list_vm(const std::string& name, const std::string& address)
    {
        store.put(std::string(platform::vms_kind), name,
                  {{"address", address}, {"data_centre", "north"}});
    }

    void put_configuration(std::uint64_t version)
    {
        store.put(std::string(platform::configuration_kind),
                  tests::configuration_name,
                  tests::configuration_object(version, {}, {}));
    }

    void start(const entry::settings& with)
    {
        feed.emplace(
            io, with, decisions, log,
            entry::store_feed::handlers{.on_catalog = [](const auto&) {},
                                        .on_servers = [] {},
                                        .on_call_ended = [](const auto&) {}});
    }

    /// How long until it holds; nothing if it never does.
    std::optional<milliseconds> time_until(const std::function<bool()>& holds)
    {
        const auto begin = base::now();
        if (!tests::run_until(io, holds,
                              [this](base::instant now) { feed->tick(now); }))
            return std::nullopt;
        return std::chrono::duration_cast<milliseconds>(base::now() - begin);
    }

    bool knows(std::uint64_t version) const
    {
        return decisions.current() && decisions.current()->version() >= version;
    }
};

// Pattern: power is lost everywhere, and one VM is back before the others that
// the store still lists.
TEST(store_feed, a_vm_that_comes_back_does_not_wait_for_others_that_are_down)
{
    put_configuration(1);
    list_vm("vm-1", text_of(silent_vm.local_endpoint()));
    start(settings());
    const auto took = time_until([this] { return knows(1); });
    CHECK(took.has_value());
    // A call to a VM that is down takes more than this to be given up.
    CHECK(*took < milliseconds(300));
}

// Pattern: the VM that this one reads from falls silent.
TEST(store_feed, a_change_is_known_in_time_though_the_source_is_silent)
{
    put_configuration(1);
    start(settings());
    CHECK(time_until([this] { return knows(1); }).has_value());
    list_vm("vm-1", text_of(silent_vm.local_endpoint()));
    CHECK(
        time_until([this] { return decisions.fleet_size() == 2; }).has_value());
    put_configuration(2);
    const auto took = time_until([this] { return knows(2); });
    CHECK(took.has_value());
    CHECK(*took < milliseconds(3'000));
}

// Pattern: a whole fleet starts for the first time.
TEST(store_feed, at_a_first_start_the_vms_are_listed_before_all_else)
{
    put_configuration(1);
    auto with = settings();
    with.is_first_start = true;
    start(with);
    const auto own = [this]
    { return store.has(std::string(platform::vms_kind), "vm-5"); };
    CHECK(time_until(own).has_value());
    // Only its own entry was written so far.
    LONGS_EQUAL(1, store.calls());
    CHECK(time_until([this] { return knows(1); }).has_value());
}
