// Tests the directory of entry VMs and the choice of relays.
#include "mimosacroft/gateway/relay_set.hpp"
#include "mimosacroft/gateway/vm_directory.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;
using base::milliseconds;

TEST_GROUP(vm_directory)
{
    gateway::vm_directory it{"me", base::seconds(6)};
    base::instant now{base::seconds(1'000)};
};

TEST(vm_directory, assumes_a_large_fleet_until_the_list_is_read)
{
    CHECK(it.fleet_size() > 9);
    it.apply({"me", "10.0.0.1:70", "a", 0}, now);
    LONGS_EQUAL(1, it.fleet_size());
    it.apply({"other", "10.0.0.2:70", "a", 0}, now);
    LONGS_EQUAL(2, it.fleet_size());
}

// Guards against LIMIT and BUDGET around stops of VMs: a VM that leaves the
// list finishes its requests with the share that it had, so the others must not
// take over that share before it has stopped.
TEST(vm_directory, a_vm_that_left_counts_until_it_has_stopped)
{
    it.apply({"me", "10.0.0.1:70", "a", 0}, now);
    it.apply({"other", "10.0.0.2:70", "a", 0}, now);
    it.remove("other", now);
    CHECK(it.others().empty());
    CHECK_FALSE(it.forget_departed(now + milliseconds(5'900)));
    LONGS_EQUAL(2, it.fleet_size());
    LONGS_EQUAL(1, it.departed().size());
    CHECK(it.forget_departed(now + base::seconds(6)));
    LONGS_EQUAL(1, it.fleet_size());
    // A VM that is listed again counts once.
    it.apply({"other", "10.0.0.2:70", "a", 1}, now);
    it.remove("other", now);
    it.apply({"other", "10.0.0.2:70", "a", 2}, now);
    LONGS_EQUAL(2, it.fleet_size());
}

TEST(vm_directory, an_entry_that_is_not_renewed_expires)
{
    it.apply({"other", "10.0.0.2:70", "a", 0}, now);
    it.apply({"other", "10.0.0.2:70", "a", 1}, now + gateway::renewal_period);
    CHECK(it.expired(now + gateway::entry_lifetime).empty());
    const auto later = now + gateway::renewal_period + gateway::entry_lifetime;
    it.apply({"other", "10.0.0.2:70", "a", 1}, later);
    LONGS_EQUAL(1, it.expired(later).size());
}

TEST(vm_directory, relays_are_chosen_by_data_centre_and_load)
{
    gateway::relay_set relays;
    relays.set_vms({{"one", "10.0.0.2:70", "b", 0},
                    {"two", "10.0.0.3:70", "b", 0},
                    {"mute", "", "b", 0}});
    CHECK(relays.choose("c", now) == nullptr);
    const auto first = relays.choose("b", now)->name;
    relays.on_sent(first, now);
    CHECK(relays.choose("b", now)->name != first);
    relays.on_failure(relays.choose("b", now)->name, now);
    STRCMP_EQUAL(first.c_str(), relays.choose("b", now)->name.c_str());
    // A VM that has not answered for long is paused or dead.
    CHECK(relays.choose("b", now + milliseconds(400)) == nullptr);
    CHECK(relays.choose("b", now + milliseconds(2'500)) != nullptr);
}
