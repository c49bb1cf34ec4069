// Tests of a VM that starts while the platform is away and knows only its
// seeds.
#include "virtual_fleet.hpp"

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;
using namespace mimosacroft::tests;
using base::seconds;

// Four VMs with configuration, an outage, and VM 3 that starts in it.
TEST_GROUP(seeds)
{
    virtual_fleet all{4, 2, 1};

    void setup() override
    {
        all.platform.put("search", "s", search_value("s", 100));
        all.start_all(seconds(10));
        all.platform.down = true;
        all.run(seconds(10));
    }

    void restart(std::vector<wire::view_entry> known)
    {
        all.members[3].options.seeds = std::move(known);
        all.start(3);
    }

    const fleet::agent& fresh() const
    {
        return *all.members[3].agent;
    }
};

TEST(seeds, give_configuration_and_list_while_the_platform_is_away)
{
    restart({all.platform.vms[0]});
    all.run(seconds(5));
    CHECK(fresh().catalog().find_search("s") != nullptr);
    LONGS_EQUAL(4, fresh().view().entries().size());
}

TEST(seeds, that_are_gone_do_not_hide_the_ones_that_answer)
{
    restart({{"gone", "dc-1", "127.0.0.1:9", false}, all.platform.vms[1]});
    all.run(seconds(20));
    CHECK(fresh().catalog().find_search("s") != nullptr);
}

TEST(seeds, under_loss_still_give_everything)
{
    all.loss = 0.3;
    restart({all.platform.vms[0], all.platform.vms[1]});
    all.run(seconds(20));
    CHECK(fresh().catalog().find_search("s") != nullptr);
    LONGS_EQUAL(4, fresh().view().entries().size());
}

TEST(seeds, teach_a_vm_that_is_in_no_list)
{
    // The outage began before the platform took this VM into its list.
    auto shorter = all.platform.vms;
    shorter.pop_back();
    all.platform.down = false;
    all.platform.set_vms(shorter);
    all.run(seconds(10));
    all.platform.down = true;
    all.run(seconds(2));
    restart({all.platform.vms[0]});
    all.run(seconds(5));
    CHECK(fresh().catalog().find_search("s") != nullptr);
    LONGS_EQUAL(3, fresh().view().entries().size());
}

TEST(seeds, without_any_that_answers_nothing_is_made_up)
{
    restart({});
    all.run(seconds(20));
    LONGS_EQUAL(0, fresh().store().through());
    LONGS_EQUAL(0, fresh().view().entries().size());
    CHECK(fresh().platform_heard() == base::never);
}
