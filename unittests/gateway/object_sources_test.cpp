// Tests the choice of the source from which a VM reads the store's objects.
#include "mimosacroft/gateway/object_sources.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <set>

using namespace mimosacroft;
using base::milliseconds;

namespace
{

std::vector<gateway::vm_entry> fleet(std::size_t n,
                                     const std::string& data_centre)
{
    std::vector<gateway::vm_entry> out;
    for (std::size_t it = 0; it < n; ++it)
    {
        const auto name = data_centre + std::to_string(100 + it);
        out.push_back({name, name + ":70", data_centre, 0});
    }
    return out;
}

gateway::object_sources sources_of(const std::vector<gateway::vm_entry>& all,
                                   std::size_t n,
                                   const std::vector<std::string>& seeds = {})
{
    auto others = all;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(n));
    gateway::object_sources out;
    out.set(all[n], others, seeds);
    return out;
}

} // namespace

TEST_GROUP(object_sources)
{
    base::instant now{base::seconds(1'000)};
};

TEST(object_sources, a_single_vm_reads_from_the_store)
{
    const gateway::object_sources alone;
    CHECK(alone.current(now).is_store());
}

TEST(object_sources, one_vm_of_a_data_centre_reads_from_the_store)
{
    const auto all = fleet(100, "a");
    std::size_t readers = 0;
    for (std::size_t n = 0; n < all.size(); ++n)
        readers += sources_of(all, n).current(now).is_store() ? 1 : 0;
    LONGS_EQUAL(1, readers);
}

// Changes pass through few VMs, and no VM has to serve many others.
TEST(object_sources, the_tree_is_shallow_and_narrow)
{
    const auto all = fleet(100, "a");
    std::map<std::string, std::size_t> children;
    for (std::size_t n = 0; n < all.size(); ++n)
    {
        const auto sources = sources_of(all, n);
        ++children[sources.current(now).address];
        const auto store = std::ranges::find_if(
            sources.all(), [](const auto& it) { return it.is_store(); });
        CHECK(store - sources.all().begin() <= 3);
    }
    for (const auto& [address, n] : children)
        CHECK(n <= gateway::tree_fanout);
}

// Failure: the store rejects some VMs and serves the others.
TEST(object_sources, without_the_store_other_data_centres_are_asked)
{
    auto all = fleet(3, "a");
    std::ranges::copy(fleet(2, "b"), std::back_inserter(all));
    auto first = sources_of(all, 0);
    CHECK(first.current(now).is_store());
    first.on_failure("", now);
    CHECK_FALSE(first.current(now).is_store());
    CHECK(first.has_usable(now));
    std::set<std::string> asked;
    for (int n = 0; n < 4; ++n)
    {
        asked.insert(first.current(now).address);
        first.on_failure(first.current(now).address, now);
    }
    CHECK(asked.contains("b100:70"));
    CHECK(asked.contains("a101:70"));
    CHECK_FALSE(first.has_usable(now));
    // The store is preferred again.
    CHECK(first.current(now + milliseconds(700)).is_store());
}

// Guards against VMs that read from each other in a cycle while the store
// rejects all of them. In one such case, neither VM noticed for 5 s. Data in a
// cycle gets stale, and a VM must leave such a source early enough for a new
// configuration to be in force within 3 s.
TEST(object_sources, staleness_bound_detects_vms_that_only_read_from_each_other)
{
    const auto all = fleet(9, "a");
    const auto child = sources_of(all, 8);
    const auto& parent = child.current(now);
    CHECK_FALSE(parent.is_store());
    const auto noticed_after =
        child.max_staleness(parent) + child.watch_timeout(parent);
    CHECK(noticed_after < milliseconds(3'000 - 500));
    // The data of a healthy parent is never that old.
    CHECK(child.watch_timeout({}) < child.max_staleness(parent));
}

// A silent store must be noticed before changes can be late: a watch that
// hangs is abandoned shortly after its timeout.
TEST(object_sources, a_store_watch_times_out_within_two_seconds)
{
    const gateway::object_sources alone;
    CHECK(alone.current(now).is_store());
    CHECK(alone.watch_timeout(alone.current(now)) <= milliseconds(2'000));
}

TEST(object_sources, fallback_vms_of_other_data_centres_come_first)
{
    auto all = fleet(3, "a");
    std::ranges::copy(fleet(2, "b"), std::back_inserter(all));
    auto first = sources_of(all, 0);
    first.on_failure("", now);
    STRCMP_EQUAL("b100:70", first.current(now).address.c_str());
}

TEST(object_sources, seeds_come_last_and_exclude_the_vm_itself)
{
    const auto all = fleet(1, "a");
    auto alone = sources_of(all, 0, {"a100:70", "s:70"});
    LONGS_EQUAL(2, alone.all().size());
    alone.on_failure("", now);
    STRCMP_EQUAL("s:70", alone.current(now).address.c_str());
}

TEST(object_sources, what_failed_stays_avoided_when_the_fleet_changes)
{
    const auto all = fleet(3, "a");
    auto last = sources_of(all, 2);
    last.on_failure(last.current(now).address, now);
    CHECK(last.current(now).is_store());
    last.set(all[2], {all[0]}, {});
    CHECK(last.current(now).is_store());
}
