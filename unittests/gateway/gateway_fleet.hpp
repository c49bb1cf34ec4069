// A fleet of gateways with simulated servers and callers, without a network.
#ifndef UNITTESTS_GATEWAY_GATEWAY_FLEET_HPP
#define UNITTESTS_GATEWAY_GATEWAY_FLEET_HPP

#include "gateway_fixture.hpp"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gateway_test
{

/// Nine VMs in three data centres, a to c, each a region of its own. Messages
/// arrive in the same step; servers answer after work_time.
class gateway_fleet
{
public:
    struct arrival
    {
        base::instant at{};
        bool was_told = false; ///< its VM got the server's limit 0.5 s before
    };

    struct simulated_vm
    {
        gateway::vm_entry entry;
        std::unique_ptr<gateway::gateway> subject;
        std::map<std::string, base::instant> told_at; ///< by server id
        int requests_per_second = 10;
    };

    explicit gateway_fleet(const std::vector<gateway::search>& searches)
    {
        for (const char* data_centre : {"a", "b", "c"})
            for (const char* n : {"1", "2", "3"})
                vms.push_back({{std::string(data_centre) + n, "10.0.0.1:70",
                                data_centre, 0},
                               nullptr,
                               {}});
        for (auto& it : vms)
            start(it, searches);
        share_list();
    }

    /// Starts a VM, or starts it again: it knows nothing of before.
    void start(simulated_vm& it, const std::vector<gateway::search>& searches)
    {
        gateway::gateway_options options;
        options.data_centre = it.entry.data_centre;
        options.regions = {{"a", "ra"}, {"b", "rb"}, {"c", "rc"}};
        options.extra.ratio = 0.2;
        options.extra.slack = 50;
        options.seed = ++last_seed;
        it.subject = std::make_unique<gateway::gateway>(options);
        it.subject->apply(std::make_shared<const gateway::catalog>(
            1, searches, std::vector<gateway::service_settings>{},
            gateway::caller_limits{}));
        it.told_at.clear();
        for (const auto& [id, entry] : servers)
            it.subject->servers().apply(entry, now);
    }

    /// Gives each VM the list of all VMs.
    void share_list()
    {
        for (auto& it : vms)
        {
            std::vector<gateway::vm_entry> others;
            for (const auto& other : vms)
                if (other.entry.name != it.entry.name)
                    others.push_back(other.entry);
            it.subject->set_fleet(others, vms.size());
        }
    }

    void add_server(const std::string& id, const std::string& service,
                    const std::string& data_centre)
    {
        gateway::server_entry entry;
        entry.id = id;
        entry.service = service;
        entry.address = "10.0.0.1:80";
        entry.data_centre = data_centre;
        entry.slots = 8;
        servers[id] = entry;
        for (auto& it : vms)
            it.subject->servers().apply(entry, now);
    }

    /// Lets callers ask each VM for `target` for a time.
    void run(base::seconds length, const std::string& target)
    {
        for (const auto end = now + length; now < end; now += step)
        {
            for (std::size_t n = 0; n < vms.size(); ++n)
            {
                ask(n, target);
                gateway::effects out;
                vms[n].subject->tick(now, out);
                carry_out(n, std::move(out));
            }
            while (!replies.empty() && replies.front().due <= now)
            {
                const auto it = replies.front();
                replies.pop_front();
                answer(it);
            }
        }
    }

    /// Largest number of requests that a server got within 4 s from VMs that
    /// knew its limit.
    std::size_t max_in_window(const std::string& server) const
    {
        const auto found = arrivals.find(server);
        if (found == arrivals.end())
            return 0;
        std::size_t out = 0;
        std::deque<base::instant> window;
        for (const auto& it : found->second)
        {
            if (!it.was_told)
                continue;
            window.push_back(it.at);
            while (window.front() + base::seconds(4) < it.at)
                window.pop_front();
            out = std::max(out, window.size());
        }
        return out;
    }

    std::vector<simulated_vm> vms;
    std::map<std::string, gateway::server_entry> servers;
    std::map<std::string, double> limits; ///< by server id
    std::map<std::string, std::vector<arrival>> arrivals;
    std::size_t asked = 0;
    std::size_t complete = 0; ///< answers with all parts
    std::size_t partial = 0;
    std::size_t refused = 0;
    std::size_t refused_late = 0; ///< not in the step of the request
    base::instant now{base::seconds(1'000)};

private:
    static constexpr milliseconds step{5};
    static constexpr milliseconds work_time{10};
    static constexpr gateway::query_number relayed_bit = 1ULL << 60U;

    struct pending_reply
    {
        base::instant due{};
        std::size_t vm = 0;
        gateway::exchange_number number = 0;
        std::string server;
        std::optional<double> limit;
    };

    /// The exchange of a VM that waits for the answer of a relay.
    struct relayed
    {
        std::size_t vm = 0;
        gateway::exchange_number number = 0;
    };

    void ask(std::size_t n, const std::string& target)
    {
        auto& it = vms[n];
        // The fraction of a request that is due in this step, in thousandths.
        due[n] += it.requests_per_second * static_cast<int>(step.count());
        for (; due[n] >= 1'000; due[n] -= 1'000)
        {
            ++asked;
            gateway::effects out;
            auto request =
                gateway_harness::request(target, milliseconds(2'500));
            request.id = std::to_string(++last_query);
            started[last_query] = now;
            it.subject->open(last_query, std::move(request), now, out);
            carry_out(n, std::move(out));
        }
    }

    void carry_out(std::size_t n, gateway::effects&& out)
    {
        auto& from = vms[n];
        for (const auto& send : out.sends)
        {
            from.subject->on_sent(send.number);
            const auto told = from.told_at.find(send.server_id);
            arrivals[send.server_id].push_back(
                {now, told != from.told_at.end() &&
                          told->second + milliseconds(500) <= now});
            const auto limit = limits.find(send.server_id);
            replies.push_back({now + work_time, n, send.number, send.server_id,
                               limit == limits.end()
                                   ? std::nullopt
                                   : std::optional(limit->second)});
        }
        for (auto& relay : out.relays)
        {
            from.subject->on_sent(relay.number);
            const auto to =
                std::ranges::find(vms, relay.vm, [](const simulated_vm& it)
                                  { return it.entry.name; });
            waiting[++last_query] = {n, relay.number};
            gateway::relayed_request request{relay.shards, *relay.request,
                                             relay.version,
                                             relay.answer_within};
            request.request.deadline = relay.time_left;
            gateway::effects effects;
            to->subject->open_relayed(last_query | relayed_bit,
                                      std::move(request), now, effects);
            carry_out(static_cast<std::size_t>(to - vms.begin()),
                      std::move(effects));
        }
        for (auto& it : out.answers)
            take(std::move(it));
    }

    void take(gateway::answer_effect&& it)
    {
        if ((it.number & relayed_bit) != 0)
        {
            const auto to = waiting.at(it.number & ~relayed_bit);
            gateway::effects out;
            vms[to.vm].subject->on_relay_reply(to.number, std::move(it.reply),
                                               now, out);
            carry_out(to.vm, std::move(out));
            return;
        }
        if (const auto* merged = std::get_if<gateway::merged>(&it.reply))
            ++(merged->missing == 0 ? complete : partial);
        else if (std::holds_alternative<gateway::refused>(it.reply))
        {
            ++refused;
            refused_late += started[it.number] == now ? 0 : 1;
        }
        else
            ++complete;
    }

    void answer(const pending_reply& it)
    {
        auto& vm = vms[it.vm];
        auto reply = gateway_harness::good_reply();
        reply.rate_limit = it.limit;
        if (it.limit)
            vm.told_at.emplace(it.server, now);
        gateway::effects out;
        vm.subject->on_reply(it.number, std::move(reply), now, out);
        carry_out(it.vm, std::move(out));
    }

    std::map<std::size_t, int> due;
    std::deque<pending_reply> replies;
    std::map<gateway::query_number, relayed> waiting;
    std::map<gateway::query_number, base::instant> started;
    gateway::query_number last_query = 0;
    std::uint32_t last_seed = 0;
};

} // namespace gateway_test

#endif
