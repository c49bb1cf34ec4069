// Tests how soon a VM gets the configuration and the list of VMs, against a
// stand-in of the store over loopback sockets.
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
    http::tcp::endpoint store_endpoint = free_endpoint(io);
    tests::store_standin store{io, store_endpoint};
    /// Its connections are established by the kernel but never answered: a call
    /// to it times out, like one to a VM that has lost power.
    http::tcp::acceptor silent_vm{io,
                                  {http::asio::ip::address_v4::loopback(), 0}};
    gateway::gateway gateway_under_test{gateway::gateway_options{}};
    int null_fd = ::open("/dev/null", O_WRONLY);
    entry::event_writer log{null_fd, "vm-5"};
    std::optional<entry::store_feed> feed;

    TEST_TEARDOWN()
    {
        feed.reset();
        ::close(null_fd);
    }

    entry::settings settings()
    {
        entry::settings out;
        out.vm = "vm-5";
        out.data_centre = "north";
        out.peer_address = text_of(free_endpoint(io));
        out.store_address = text_of(store_endpoint);
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
                  tests::configuration_object_name,
                  tests::configuration_spec(version, {}, {}));
    }

    void start(const entry::settings& initial_settings)
    {
        feed.emplace(
            io, initial_settings, gateway_under_test, log,
            entry::store_feed::handlers{.on_catalog = [](const auto&) {},
                                        .on_servers = [] {},
                                        .on_call_ended = [](const auto&) {}});
    }

    /// Time until `holds` is true; nothing if that takes longer than the
    /// patience of run_until().
    std::optional<milliseconds> time_until(const std::function<bool()>& holds)
    {
        const auto begin = base::now();
        if (!tests::run_until(io, holds,
                              [this](base::instant now) { feed->tick(now); }))
            return std::nullopt;
        return std::chrono::duration_cast<milliseconds>(base::now() - begin);
    }

    /// Whether the configuration in force has this version or a later one.
    bool has_configuration(std::uint64_t version) const
    {
        return gateway_under_test.current() &&
               gateway_under_test.current()->version() >= version;
    }
};

// After a power failure of the whole fleet, one VM restarts before the others,
// which the store still lists. It must not lose time by calling them.
TEST(store_feed, a_restarted_vm_does_not_wait_for_others_that_are_down)
{
    put_configuration(1);
    list_vm("vm-1", text_of(silent_vm.local_endpoint()));
    start(settings());
    const auto elapsed = time_until([this] { return has_configuration(1); });
    CHECK(elapsed.has_value());
    // A call to a VM that is down takes longer than this to time out.
    CHECK(*elapsed < milliseconds(300));
}

// The VM that this one reads from stops answering; changes must still arrive
// from another source within the bound.
TEST(store_feed, a_change_arrives_in_time_although_the_source_is_silent)
{
    put_configuration(1);
    start(settings());
    CHECK(time_until([this] { return has_configuration(1); }).has_value());
    list_vm("vm-1", text_of(silent_vm.local_endpoint()));
    CHECK(time_until([this] { return gateway_under_test.fleet_size() == 2; })
              .has_value());
    put_configuration(2);
    const auto elapsed = time_until([this] { return has_configuration(2); });
    CHECK(elapsed.has_value());
    CHECK(*elapsed < milliseconds(3'000));
}

// When a whole fleet starts for the first time, each VM writes its own entry
// and lists the VMs before it reads anything else from the store.
TEST(store_feed, at_a_first_start_the_vms_are_listed_first)
{
    put_configuration(1);
    auto first_start = settings();
    first_start.is_fleet_bootstrap = true;
    start(first_start);
    const auto is_registered = [this]
    { return store.has(std::string(platform::vms_kind), "vm-5"); };
    CHECK(time_until(is_registered).has_value());
    // The only call so far wrote its own entry.
    LONGS_EQUAL(1, store.request_count());
    CHECK(time_until([this] { return has_configuration(1); }).has_value());
}

// Guards against BUDGET and LIMIT after the store came back from a copy that is
// older than the VM's entry: the others no longer counted the VM.
TEST(store_feed, a_vm_missing_in_a_copy_registers_again)
{
    put_configuration(1);
    const auto copy = store.copy();
    start(settings());
    const auto is_registered = [this]
    { return store.has(std::string(platform::vms_kind), "vm-5"); };
    CHECK(time_until(is_registered).has_value());
    CHECK(time_until([this] { return has_configuration(1); }).has_value());
    store.restore(*copy);
    CHECK_FALSE(is_registered());
    CHECK(time_until(is_registered).has_value());
}

// The store comes back from a copy with an older configuration and gives out
// the revisions of before again. A VM that reads from it must follow.
TEST(store_feed, a_configuration_written_after_a_copy_is_applied)
{
    put_configuration(1);
    const auto copy = store.copy();
    start(settings());
    put_configuration(2);
    CHECK(time_until([this] { return has_configuration(2); }).has_value());
    store.restore(*copy);
    put_configuration(3);
    const auto elapsed = time_until([this] { return has_configuration(3); });
    CHECK(elapsed.has_value());
    CHECK(*elapsed < milliseconds(3'000));
}
