// Tests of owners and shares.
#include "mimosacroft/fleet/ownership.hpp"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;
using base::milliseconds;

namespace
{

fleet::view view_of(std::uint64_t version, const std::vector<std::string>& vms)
{
    std::vector<wire::view_entry> entries;
    for (const auto& it : vms)
        entries.push_back({it, "oostende", "127.0.0.1:1", false});
    return {version, std::move(entries)};
}

model::catalog catalog_of()
{
    model::catalog out;
    model::upstream it;
    it.name = "u";
    it.data_centre = "oostende";
    it.servers = {{"a", "127.0.0.1:2", false}};
    out.put(it);
    return out;
}

constexpr base::instant test_start{};

} // namespace

TEST_GROUP(ownership){};

TEST(ownership, shares_of_all_owners_stay_within_the_limits)
{
    const auto catalog = catalog_of();
    const auto& upstream = *catalog.find_upstream("u");
    for (std::size_t n = 1; n <= 9; ++n)
    {
        std::vector<std::string> vms;
        for (std::size_t k = 0; k < n; ++k)
            vms.push_back("vm-" + std::to_string(k));
        const auto owners = view_of(1, vms).owners_of(upstream).size();
        const auto part = fleet::share_of(upstream, owners);
        CHECK(owners >= 1);
        CHECK(part.slots >= 1);
        CHECK(part.slots * owners <= upstream.slots);
        // One more owner than there should be still fits.
        CHECK(part.connections * (owners + 1) <= upstream.connections);
    }
}

TEST(ownership, a_gained_upstream_is_used_only_after_the_handover)
{
    const auto catalog = catalog_of();
    fleet::ownership it("vm-0", {milliseconds(100), milliseconds(300)});
    it.update(view_of(1, {"vm-0"}), catalog, test_start);
    it.confirm(test_start + milliseconds(299));
    LONGS_EQUAL(0, it.usable("u", test_start + milliseconds(299)).slots);
    LONGS_EQUAL(2, it.usable("u", test_start + milliseconds(300)).slots);
}

TEST(ownership, an_unconfirmed_view_is_not_acted_on)
{
    const auto catalog = catalog_of();
    fleet::ownership it("vm-0", {milliseconds(100), milliseconds(0)});
    it.update(view_of(1, {"vm-0"}), catalog, test_start);
    it.confirm(test_start);
    LONGS_EQUAL(2, it.usable("u", test_start + milliseconds(100)).slots);
    LONGS_EQUAL(0, it.usable("u", test_start + milliseconds(101)).slots);
}

TEST(ownership, owners_follow_every_change_of_vms_and_upstreams)
{
    CHECK(rc::check(
        "owners are those of the latest view and configuration",
        [](const std::vector<std::uint8_t>& changes)
        {
            fleet::ownership it("vm-0", {});
            std::vector<wire::view_entry> vms;
            model::catalog catalog;
            for (const auto change : changes)
            {
                const auto name = std::to_string(change / 8 % 4);
                const std::string at = change / 32 % 2 == 0 ? "near" : "far";
                const bool leaving = change / 64 % 2 == 0;
                model::upstream upstream;
                upstream.name = name;
                upstream.data_centre = at;
                upstream.slots = change / 64 + 1U;
                if (change % 4 == 0)
                    catalog.put(upstream);
                else if (change % 4 == 1)
                    catalog.remove(model::resource_kind::upstream, name);
                else if (change % 4 == 2)
                    vms.push_back({"vm-" + name, at, {}, leaving});
                else
                    std::erase_if(vms, [&](const auto& vm)
                                  { return vm.vm == "vm-" + name; });
                // The version stays: owners follow from the VMs alone.
                const fleet::view current(1, vms);
                it.update(current, catalog, test_start);
                for (const auto& [key, value] : catalog.upstreams())
                    RC_ASSERT(it.owners_of(key) == current.owners_of(value));
                RC_ASSERT(it.owners_of("none").empty());
            }
        }));
}

TEST(ownership, owners_that_stay_are_established_while_a_new_one_waits)
{
    const auto catalog = catalog_of();
    fleet::ownership it("none", {});
    const auto established = [&it](base::instant now)
    { return it.established_owners_of("u", now); };
    it.update(view_of(1, {"vm-0", "vm-1", "vm-2"}), catalog, test_start);
    const auto before = it.owners_of("u");
    LONGS_EQUAL(2, before.size());
    CHECK(established(test_start) == before);

    std::vector<std::string> left = {"vm-0", "vm-1", "vm-2"};
    std::erase(left, before[0]);
    const auto later = test_start + base::seconds(60);
    it.update(view_of(2, left), catalog, later);
    LONGS_EQUAL(2, it.owners_of("u").size());
    const std::vector<std::string> stayed = {before[1]};
    CHECK(established(later) == stayed);
    // A view that changes no owner changes nothing of that.
    it.update(view_of(3, left), catalog, later + base::seconds(1));
    CHECK(established(later + base::seconds(4)) == stayed);
    CHECK(established(later + base::seconds(6)) == it.owners_of("u"));

    // None of the former owners is left: all wait alike.
    it.update(view_of(4, {"vm-8", "vm-9"}), catalog, later + base::seconds(60));
    CHECK(established(later + base::seconds(60)) == it.owners_of("u"));
}
