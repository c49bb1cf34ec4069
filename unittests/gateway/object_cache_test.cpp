// Tests the cache from which a VM serves objects to other VMs, also across a
// store that comes back from a copy.
#include "mimosacroft/gateway/object_cache.hpp"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace mimosacroft;

namespace
{

// Contents are "N" or "NxM"; those with a number before an x are ordered by it.
std::optional<gateway::object_order> order_of(const std::string& content)
{
    if (content.find('x') == std::string::npos)
        return std::nullopt;
    return gateway::object_order{0, std::stoull(content)};
}

std::map<std::string, std::string>
contents_of(const std::vector<gateway::object_change>& changes)
{
    std::map<std::string, std::string> out;
    for (const auto& it : changes)
        out[it.name] = it.content;
    return out;
}

using contents = std::map<std::string, std::string>;

} // namespace

TEST_GROUP(object_cache)
{
    gateway::object_cache cache{order_of};
};

TEST(object_cache, has_no_changes_from_before_the_first_list)
{
    cache.replace({{"a", "1", false}}, {1, 10});
    CHECK_FALSE(cache.changes_since({1, 9}).has_value());
    CHECK(cache.changes_since({1, 10})->changes.empty());
}

TEST(object_cache, a_list_deletes_the_objects_it_lacks)
{
    cache.replace({{"a", "1", false}, {"b", "2", false}}, {1, 10});
    cache.replace({{"b", "3", false}}, {1, 12});
    LONGS_EQUAL(1, cache.list().changes.size());
    const auto batch = cache.changes_since({1, 10});
    LONGS_EQUAL(12, batch->position.revision);
    CHECK(std::ranges::any_of(batch->changes, [](const auto& it)
                              { return it.name == "a" && it.deleted; }));
}

// A reader that lists once and then reads only changes has the same objects as
// the cache it reads from.
TEST(object_cache, a_reader_of_changes_has_the_same_objects)
{
    CHECK(rc::check(
        [](const std::vector<std::pair<std::uint8_t, bool>>& steps)
        {
            gateway::object_cache source;
            source.replace({}, {1, 5});
            contents reader;
            auto seen = source.list().position;
            std::uint64_t revision = 5;
            for (const auto& [n, deleted] : steps)
            {
                ++revision;
                const auto name = std::to_string(n % 4);
                source.apply({{name, std::to_string(revision), deleted}},
                             {1, revision});
                if (n % 3 != 0)
                    continue;
                const auto batch = source.changes_since(seen);
                RC_ASSERT(batch.has_value());
                for (const auto& it : batch->changes)
                    if (it.deleted)
                        reader.erase(it.name);
                    else
                        reader[it.name] = it.content;
                seen = batch->position;
                RC_ASSERT(contents_of(source.list().changes) == reader);
            }
        }));
}

// Guards against CONFIG of 2026-12-04: the store came back from a copy, and a
// VM went on to compare the revisions that it gave out again with those of
// before. Its readers then got no changes any more.
// Guards against a VM whose memory grows with each configuration: changes and
// removed objects were counted, not their bytes.
TEST(object_cache, what_it_keeps_of_the_past_is_bounded_in_bytes)
{
    constexpr std::size_t large = 300'000;
    cache.replace({{"main", std::string(large, '0'), false}}, {1, 10});
    std::uint64_t revision = 10;
    for (int n = 0; n < 200; ++n)
    {
        const std::string content(large, static_cast<char>('a' + n % 26));
        cache.apply({{"main", content, false}}, {1, ++revision});
        const auto name = "gone" + std::to_string(n);
        cache.apply({{name, content, false}}, {1, ++revision});
        cache.apply({{name, {}, true}}, {1, ++revision});
    }
    CHECK_FALSE(cache.changes_since({1, 11}).has_value());
    LONGS_EQUAL(1, cache.list().changes.size());
    // The latest changes are there for those who follow closely.
    LONGS_EQUAL(2, cache.changes_since({1, revision - 2})->changes.size());
    std::size_t bytes = 0;
    for (auto from = revision; cache.changes_since({1, from}); --from)
        bytes += cache.changes_since({1, from - 1})
                     ? cache.changes_since({1, from - 1})
                           ->changes.front()
                           .content.size()
                     : 0;
    CHECK(bytes <= gateway::object_cache::default_max_past_bytes);
}

// One change may be larger than all that may be kept.
TEST(object_cache, a_change_beyond_the_bound_is_applied_and_not_kept)
{
    gateway::object_cache small(order_of, 1'000);
    small.replace({}, {1, 10});
    small.apply({{"a", std::string(5'000, 'x'), false}}, {1, 11});
    CHECK_FALSE(small.changes_since({1, 10}).has_value());
    CHECK(small.changes_since({1, 11}).has_value());
    LONGS_EQUAL(5'000, small.list().changes.at(0).content.size());
    LONGS_EQUAL(0, small.past_bytes());
}

TEST(object_cache, a_reader_from_before_a_copy_lists_again)
{
    cache.replace({{"a", "1", false}}, {1, 90});
    cache.replace({{"a", "1", false}}, {2, 40});
    CHECK_FALSE(cache.changes_since({1, 90}).has_value());
    CHECK((cache.position() == gateway::store_position{2, 40}));
    cache.apply({{"a", "2", false}}, {2, 41});
    LONGS_EQUAL(1, cache.changes_since({2, 40})->changes.size());
}

// Guards against DRAIN and CONFIG after a copy: an entry that the copy holds in
// an older state (a server that leaves is ready again, a configuration is the
// one before) replaced the newer one.
TEST(object_cache, an_older_state_from_a_copy_does_not_replace_a_newer_one)
{
    cache.replace({{"a", "7x", false}, {"b", "1x", false}}, {1, 90});
    const auto current =
        cache.replace({{"a", "5x", false}, {"b", "1x", false}}, {2, 40});
    CHECK((contents_of(current) == contents{{"a", "7x"}, {"b", "1x"}}));
    // What is written again in between is older, too.
    CHECK(cache.apply({{"a", "6x", false}}, {2, 41}).empty());
    LONGS_EQUAL(1, cache.apply({{"a", "7xagain", false}}, {2, 42}).size());
    // In the same era, the order of the store counts.
    LONGS_EQUAL(1, cache.apply({{"a", "3x", false}}, {2, 43}).size());
}

// Guards against DRAIN after a copy: a server that had left was listed again.
TEST(object_cache, an_object_removed_after_the_copy_stays_removed)
{
    cache.replace({{"a", "7x", false}, {"b", "plain", false}}, {1, 90});
    cache.apply({{"a", "", true}, {"b", "", true}}, {1, 92});
    CHECK(cache.replace({{"a", "7x", false}, {"b", "plain", false}}, {2, 40})
              .empty());
    CHECK(cache.list().changes.empty());
    // A new incarnation of each is not.
    LONGS_EQUAL(
        2,
        cache.apply({{"a", "8x", false}, {"b", "new", false}}, {2, 41}).size());
}

// An object that is younger than the copy is written again as it was.
TEST(object_cache, an_object_missing_in_a_copy_may_return_unchanged)
{
    cache.replace({{"a", "7x", false}}, {1, 90});
    CHECK(cache.replace({}, {2, 40}).empty());
    CHECK(cache.replace({}, {3, 30}).empty());
    LONGS_EQUAL(1, cache.apply({{"a", "7x", false}}, {3, 31}).size());
}
