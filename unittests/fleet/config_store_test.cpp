// Tests of the configuration of one VM.
#include "mimosacroft/fleet/config_store.hpp"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace mimosacroft;

namespace
{

wire::config_entry search_entry(std::uint64_t version, std::uint32_t deadline,
                                bool deleted = false)
{
    return {"search", "s", version, deleted,
            R"({"kind":"search","name":"s","spec":{"index":"i",)"
            R"("max_deadline_ms":60000,"default_deadline_ms":)" +
                std::to_string(deadline) + "}}"};
}

} // namespace

TEST_GROUP(config_store){};

TEST(config_store, an_older_version_never_replaces_a_newer_one)
{
    fleet::config_store store;
    CHECK(store.apply(search_entry(5, 500)) == fleet::apply_result::applied);
    CHECK(store.apply(search_entry(4, 400)) == fleet::apply_result::older);
    CHECK(store.apply(search_entry(5, 999)) == fleet::apply_result::older);
    LONGS_EQUAL(500, store.catalog().find_search("s")->default_deadline_ms);
}

TEST(config_store, a_tombstone_keeps_a_deleted_object_away)
{
    fleet::config_store store;
    store.apply(search_entry(5, 500));
    store.apply(search_entry(6, 0, true));
    store.apply(search_entry(5, 500));
    POINTERS_EQUAL(nullptr, store.catalog().find_search("s"));
}

TEST(config_store, an_invalid_object_leaves_the_last_good_one_in_force)
{
    fleet::config_store store;
    store.apply(search_entry(5, 500));
    auto bad = search_entry(6, 0);
    bad.body = "{}";
    CHECK(store.apply(bad) == fleet::apply_result::refused);
    LONGS_EQUAL(500, store.catalog().find_search("s")->default_deadline_ms);
    LONGS_EQUAL(1, store.refusals().size());
}

// Guards against memory that grows with the number of changes (issue 43), as it
// did in the cache of mimosa-entry.
TEST(config_store, what_it_holds_does_not_grow_with_the_number_of_changes)
{
    fleet::config_store store;
    for (std::uint32_t n = 1; n <= 4'000; ++n)
    {
        auto entry = search_entry(n, n);
        if (n % 3 == 0)
            entry.body = "{}";
        store.apply(entry);
    }
    LONGS_EQUAL(1, store.entries().size());
    LONGS_EQUAL(1, store.entries_after(0).size());
    auto bad = search_entry(4'001, 0);
    bad.body = "{}";
    store.apply(bad);
    // The latest version, and the one that is in force in its place.
    LONGS_EQUAL(2, store.entries_after(0).size());
}

TEST(config_store, any_order_with_repeats_ends_at_the_newest)
{
    CHECK(rc::check(
        "every order of arrival ends in the same configuration",
        [](const std::vector<std::uint16_t>& versions)
        {
            RC_PRE(!versions.empty());
            fleet::config_store store;
            std::uint64_t seen = 0;
            for (const auto v : versions)
            {
                const std::uint64_t version = v + 1;
                store.apply(search_entry(
                    version, static_cast<std::uint32_t>(version % 60000 + 1)));
                seen = std::max(seen, version);
                RC_ASSERT(
                    store.catalog().find_search("s")->default_deadline_ms ==
                    seen % 60000 + 1);
            }
        }));
}
