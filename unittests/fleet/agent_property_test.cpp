// Properties of agents that act together under random faults, in virtual time.
#include "virtual_fleet.hpp"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace mimosacroft;
using namespace mimosacroft::tests;

namespace
{

constexpr std::size_t fleet_size = 6;
constexpr auto longest_request = base::milliseconds(2000);

// One fault or change; what `target` means depends on the action.
struct action
{
    std::uint8_t kind = 0;
    std::uint8_t target = 0;
    std::uint16_t pause_ms = 0; ///< until the next action
};

std::ostream& operator<<(std::ostream& os, const action& it)
{
    return os << int(it.kind) << "/" << int(it.target) << "/" << it.pause_ms;
}

} // namespace

namespace rc
{

template <>
struct Arbitrary<action>
{
    static Gen<action> arbitrary()
    {
        return gen::build<action>(
            gen::set(&action::kind, gen::arbitrary<std::uint8_t>()),
            gen::set(&action::target, gen::arbitrary<std::uint8_t>()),
            gen::set(&action::pause_ms, gen::inRange<std::uint16_t>(1, 4000)));
    }
};

} // namespace rc

namespace
{

// Carries out random actions on a fleet.
class chaos
{
public:
    explicit chaos(std::size_t data_centres) : all(fleet_size, data_centres, 7)
    {
        listed_ = all.platform.vms;
        all.platform.put("upstream", "u", upstream_value());
        all.passes = [this](std::size_t from, std::size_t to)
        { return !cuts_.contains({from, to}); };
    }

    // Configuration and the platform.
    void change_configuration(const action& it)
    {
        const auto name = "s" + std::to_string(it.target % 3);
        if (it.target % 7 == 0)
            all.platform.remove("search", name);
        else if (it.target % 7 == 1)
            all.platform.put("search", name, {{"kind", "nonsense"}});
        else
            all.platform.put("search", name, search_value(name, it.target + 1));
        all.changed();
    }

    void save_or_restore(const action& it)
    {
        if (it.target % 2 == 0)
            saved_ = all.platform.objects;
        else if (states_era && saved_version_ == 0)
            return;
        else
            restore();
        saved_version_ = it.target % 2 == 0 ? all.platform.version : 0;
    }

    // The platform's list is restored from an older copy in an outage, which
    // each VM that runs gets to see.
    void save_or_restore_list(const action& it,
                              const std::function<void()>& check)
    {
        if (it.target % 2 == 0)
        {
            saved_list_ = all.platform.vms;
            saved_list_version_ = all.platform.vms_version;
        }
        else if (saved_list_version_ > 0)
        {
            const bool down = std::exchange(all.platform.down, true);
            all.run(base::seconds(3), check);
            all.platform.vms = saved_list_;
            all.platform.vms_version = saved_list_version_;
            all.platform.down = down;
        }
    }

    void restart_in_an_outage(const action& it,
                              const std::function<void()>& check)
    {
        all.platform.down = true;
        all.members[it.target % fleet_size].options.seeds = listed_;
        all.run(base::seconds(1), check);
        restart(it);
    }

    void toggle_platform() { all.platform.down = !all.platform.down; }

    // Links.
    void cut_one_way(const action& it)
    {
        cuts_.insert({it.target % fleet_size,
                      (it.target / fleet_size) % (fleet_size + 1)});
    }

    // Cuts some VMs from the rest and from the platform.
    void isolate(const action& it)
    {
        for (std::size_t from = 0; from < fleet_size; ++from)
            for (std::size_t to = 0; to <= fleet_size; ++to)
                if (inside(it, from) != inside(it, to))
                    cuts_.insert({{from, to}, {to, from}});
    }

    void heal() { cuts_.clear(); }
    bool whole() const { return cuts_.empty(); }

    // VMs.
    void restart(const action& it)
    {
        const auto n = it.target % fleet_size;
        if (n != paused_)
            all.start(n);
    }

    void pause_or_resume(const action& it)
    {
        if (paused_ == fleet_size)
        {
            paused_ = it.target % fleet_size;
            all.pause(paused_);
        }
        else
            all.resume(std::exchange(paused_, fleet_size));
    }

    // The platform's list drops a VM, or takes it up again.
    void change_list(const action& it)
    {
        auto next = all.platform.vms;
        const auto& row = listed_[it.target % fleet_size];
        if (std::erase(next, row) == 0)
            next.push_back(row);
        all.platform.set_vms(next);
    }

    void mend_everything()
    {
        heal();
        all.loss = all.duplicate = 0;
        all.platform.down = false;
        if (paused_ != fleet_size)
            all.resume(std::exchange(paused_, fleet_size));
        all.platform.set_vms(listed_);
    }

    virtual_fleet all;
    bool states_era = false; ///< the platform states in which era it is

private:
    static bool inside(const action& it, std::size_t n)
    {
        return n < fleet_size && ((it.target >> n) & 1U) != 0;
    }

    void restore()
    {
        all.platform.objects = saved_;
        all.platform.version = saved_version_;
        if (!states_era)
            return;
        ++all.platform.era;
        all.platform.since = saved_version_;
    }

    std::vector<wire::view_entry> listed_;
    decltype(fake_platform::objects) saved_;
    std::uint64_t saved_version_ = 0;
    std::vector<wire::view_entry> saved_list_;
    std::uint64_t saved_list_version_ = 0; ///< 0: none is saved
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::size_t paused_ = fleet_size; ///< fleet_size: none
};

// Versions in force at each process only grow.
class version_monitor
{
public:
    void check(const virtual_fleet& all)
    {
        for (std::size_t n = 0; n < all.members.size(); ++n)
        {
            const auto& it = all.members[n];
            if (!it.agent)
                continue;
            for (const auto& [key, entry] : it.agent->store().entries())
            {
                auto& seen = seen_[{n, it.life}][key];
                RC_ASSERT(entry.version >= seen);
                seen = entry.version;
            }
        }
    }

private:
    using object_key = std::pair<std::string, std::string>;
    std::map<std::pair<std::size_t, std::uint64_t>,
             std::map<object_key, std::uint64_t>>
        seen_;
};

// What VMs use of one server: requests in flight until their deadline, and
// connections until the VM acts again with a smaller share or ends.
class usage_monitor
{
public:
    void check(const virtual_fleet& all)
    {
        std::uint32_t slots = 0;
        std::uint32_t connections = 0;
        for (std::size_t n = 0; n < all.members.size(); ++n)
        {
            const auto& it = all.members[n];
            auto& used = used_[n];
            if (it.life != used.life)
                used = {it.life, 0, {}};
            if (it.agent && !it.paused)
            {
                const auto part = it.agent->ownership().usable("u", all.now);
                used.connections = part.connections;
                if (part.slots > 0)
                    used.until[part.slots] = all.now + longest_request;
            }
            std::erase_if(used.until, [&](const auto& sent)
                          { return sent.second < all.now; });
            slots += used.until.empty() ? 0 : used.until.rbegin()->first;
            connections += used.connections;
        }
        RC_ASSERT(slots <= 2U);
        RC_ASSERT(connections <= 25U);
        most_slots = std::max(most_slots, slots);
    }

    std::uint32_t most_slots = 0;

private:
    struct usage
    {
        std::uint64_t life = 0;
        std::uint32_t connections = 0;
        std::map<std::uint32_t, base::instant> until; ///< by slots
    };
    std::map<std::size_t, usage> used_;
};

} // namespace

TEST_GROUP(agent_properties){
    // Checks that versions only grow, and that all VMs end with the same
    // objects. A platform that states no era is believed only once its versions
    // have passed those of before.
    static void check_configuration(const std::vector<action>& actions,
                                    bool states_era){chaos world(2);
world.states_era = states_era;
version_monitor versions;
const auto check = [&] { versions.check(world.all); };
world.all.loss = 0.1;
world.all.duplicate = 0.1;
world.all.start_all();
for (const auto& it : actions)
{
    switch (it.kind % 10)
    {
    case 0:
    case 1:
        world.change_configuration(it);
        break;
    case 2:
        world.toggle_platform();
        break;
    case 3:
        world.save_or_restore(it);
        break;
    case 4:
        world.isolate(it);
        break;
    case 5:
        world.heal();
        break;
    case 6:
        world.restart(it);
        break;
    case 7:
        world.cut_one_way(it);
        break;
    case 8:
        world.restart_in_an_outage(it, check);
        break;
    default:
        world.pause_or_resume(it);
    }
    world.all.run(base::milliseconds(it.pause_ms), check);
}
world.mend_everything();
if (!states_era)
    world.all.platform.version += 1000;
world.all.platform.put("search", "last", search_value("last", 9));
world.all.changed();
world.all.run(base::seconds(40), check);
const auto& first = *world.all.members[0].agent;
RC_ASSERT(first.catalog().find_search("last") != nullptr);
for (const auto& it : world.all.members)
{
    RC_ASSERT(it.agent->store().through() == first.store().through());
    RC_ASSERT(it.agent->store().fingerprint() == first.store().fingerprint());
}
}
}
;

TEST(agent_properties, configuration_never_reverts_and_converges)
{
    CHECK(rc::check("versions only grow, and all VMs end with the same objects",
                    [](const std::vector<action>& actions)
                    { check_configuration(actions, false); }));
}

// Guards against CONFIG of 2026-12-04 for mimosad, with copies among other
// faults: a change after the last one must be in force at its version.
TEST(agent_properties, changes_after_copies_are_in_force_if_eras_are_stated)
{
    CHECK(rc::check("the last change is in force, and none reverts",
                    [](const std::vector<action>& actions)
                    { check_configuration(actions, true); }));
}

TEST(agent_properties, owners_stay_within_a_servers_limits)
{
    CHECK(rc::check("slots and connections of all VMs stay within the limits",
                    [](const std::vector<action>& actions)
                    {
                        chaos world(1);
                        usage_monitor usage;
                        const auto check = [&] { usage.check(world.all); };
                        world.all.start_all();
                        world.all.run(base::seconds(8), check);
                        for (const auto& it : actions)
                        {
                            switch (it.kind % 9)
                            {
                            case 0:
                            case 1:
                                world.change_list(it);
                                break;
                            case 2:
                                world.isolate(it);
                                break;
                            case 3:
                                world.cut_one_way(it);
                                break;
                            case 4:
                                world.heal();
                                break;
                            case 5:
                                if (world.whole())
                                    world.restart(it);
                                break;
                            case 6:
                                world.save_or_restore_list(it, check);
                                break;
                            case 7:
                                if (world.whole())
                                    world.restart_in_an_outage(it, check);
                                break;
                            default:
                                world.pause_or_resume(it);
                            }
                            if (it.target % 16 == 0)
                                world.toggle_platform();
                            world.all.run(base::milliseconds(it.pause_ms),
                                          check);
                        }
                        // The limits are not kept by serving nothing.
                        world.mend_everything();
                        world.all.run(base::seconds(15), check);
                        RC_ASSERT(usage.most_slots == 2U);
                    }));
}
