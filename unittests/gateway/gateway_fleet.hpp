// A fleet of gateways with simulated servers and callers, without a network.
#ifndef UNITTESTS_GATEWAY_GATEWAY_FLEET_HPP
#define UNITTESTS_GATEWAY_GATEWAY_FLEET_HPP

#include "gateway_fixture.hpp"

#include <algorithm>
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
                vms.push_back(
                    {{std::string(data_centre) + n,
                      std::string("10.0.0.") + data_centre + n, data_centre, 0},
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
            restart_servers();
            deliver_news();
            ask_harmful();
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

    /// A server that runs the request for this target ends, and with it all
    /// that it is at work on. Each second two callers ask for it, each again at
    /// another VM if its request fails. Empty: there is none.
    std::string harmful_target;
    std::size_t ended_servers = 0;
    /// Largest number of sends of one request after three servers had ended
    /// under it, and of times that one was called not run though it ran.
    std::size_t max_sends_after_three = 0;
    std::size_t falsely_not_run = 0;

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

    static constexpr base::seconds restart_time{3};
    /// Callers use a new connection for each attempt.
    static constexpr milliseconds retry_delay{10};
    static constexpr int harmful_per_second = 2;

    struct pending_reply
    {
        base::instant due{};
        std::size_t vm = 0;
        gateway::exchange_number number = 0;
        std::string server;
        std::optional<double> limit;
        std::string request;
        bool is_harmful = false;
        std::optional<gateway::send_failure> failure;
    };

    /// What happened to a request for the harmful target, over all VMs.
    struct harmful_request
    {
        std::size_t ended = 0;
        std::size_t sends_after_three = 0;
        bool is_retry = false;
    };

    struct pending_news
    {
        base::instant due{};
        gateway::news_effect news;
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
            open(n, target);
        }
    }

    void open(std::size_t n, const std::string& target)
    {
        gateway::effects out;
        auto request = gateway_harness::request(target, milliseconds(2'500));
        request.id = std::to_string(++last_query);
        started[last_query] = now;
        vms[n].subject->open(last_query, std::move(request), now, out);
        carry_out(n, std::move(out));
    }

    void ask_harmful()
    {
        while (!retry_at.empty() && retry_at.front() <= now)
        {
            retry_at.pop_front();
            harmful[std::to_string(last_query + 1)] = {.is_retry = true};
            open(++harmful_vm % vms.size(), harmful_target);
        }
        if (harmful_target.empty() || now < next_harmful_at)
            return;
        next_harmful_at = now + milliseconds(1'000) / harmful_per_second;
        harmful[std::to_string(last_query + 1)] = {};
        open(++harmful_vm % vms.size(), harmful_target);
    }

    void deliver_news()
    {
        while (!messages.empty() && messages.front().due <= now)
        {
            const auto it = messages.front();
            messages.pop_front();
            const auto to = std::ranges::find(vms, it.news.address,
                                              [](const simulated_vm& vm)
                                              { return vm.entry.address; });
            gateway::effects out;
            to->subject->on_news(it.news.news, it.news.pass_on, now, out);
            carry_out(static_cast<std::size_t>(to - vms.begin()),
                      std::move(out));
        }
    }

    void restart_servers()
    {
        for (auto it = down.begin(); it != down.end();)
        {
            if (it->second > now)
            {
                ++it;
                continue;
            }
            auto& entry = servers.at(it->first);
            ++entry.started_at;
            for (auto& vm : vms)
                vm.subject->servers().apply(entry, now);
            it = down.erase(it);
        }
    }

    void end_server(const std::string& id)
    {
        if (down.contains(id))
            return;
        ++ended_servers;
        down[id] = now + restart_time;
        for (auto& it : replies)
        {
            if (it.server != id || it.failure)
                continue;
            it.failure = gateway::send_failure::lost;
            it.due = now;
            if (it.is_harmful)
                ++harmful[it.request].ended;
        }
        std::ranges::stable_sort(replies, {}, &pending_reply::due);
    }

    void note_harmful_send(const gateway::send_effect& send)
    {
        auto& it = harmful[send.request->id];
        if (it.ended >= 3)
            max_sends_after_three =
                std::max(max_sends_after_three, ++it.sends_after_three);
    }

    // The caller of a harmful request asks once more, at another VM.
    void retry_harmful(gateway::query_number number)
    {
        const auto found = harmful.find(std::to_string(number));
        if (found == harmful.end() || found->second.is_retry)
            return;
        retry_at.push_back(now + retry_delay);
    }

    void carry_out(std::size_t n, gateway::effects&& out)
    {
        auto& from = vms[n];
        for (const auto& send : out.sends)
        {
            from.subject->on_sent(send.number);
            const bool is_harmful =
                !harmful_target.empty() &&
                send.request->message.target == harmful_target;
            if (down.contains(send.server_id))
            {
                replies.push_front({now, n, send.number, send.server_id,
                                    std::nullopt, send.request->id, is_harmful,
                                    gateway::send_failure::not_sent});
                continue;
            }
            if (is_harmful)
                note_harmful_send(send);
            const auto told = from.told_at.find(send.server_id);
            arrivals[send.server_id].push_back(
                {now, told != from.told_at.end() &&
                          told->second + milliseconds(500) <= now});
            const auto limit = limits.find(send.server_id);
            replies.push_back({now + work_time, n, send.number, send.server_id,
                               limit == limits.end()
                                   ? std::nullopt
                                   : std::optional(limit->second),
                               send.request->id, is_harmful, std::nullopt});
        }
        for (auto& relay : out.relays)
        {
            from.subject->on_sent(relay.number);
            const auto to =
                std::ranges::find(vms, relay.vm, [](const simulated_vm& it)
                                  { return it.entry.name; });
            waiting[++last_query] = {n, relay.number};
            gateway::relayed_request request{relay.shards,        relay.servers,
                                             *relay.request,      relay.version,
                                             relay.answer_within, relay.record,
                                             relay.news};
            request.request.deadline = relay.time_left;
            gateway::effects effects;
            to->subject->open_relayed(last_query | relayed_bit,
                                      std::move(request), now, effects);
            carry_out(static_cast<std::size_t>(to - vms.begin()),
                      std::move(effects));
        }
        for (const auto& it : out.news)
            messages.push_back({now + step, it});
        for (auto& it : out.answers)
            take(std::move(it));
    }

    void take(gateway::answer_effect&& it)
    {
        if ((it.number & relayed_bit) != 0)
        {
            const auto to = waiting.at(it.number & ~relayed_bit);
            gateway::effects out;
            vms[to.vm].subject->on_relay_reply(
                to.number, {std::move(it.reply), it.record, std::move(it.news)},
                now, out);
            carry_out(to.vm, std::move(out));
            return;
        }
        if (const auto* merged = std::get_if<gateway::merged>(&it.reply))
            ++(merged->missing == 0 ? complete : partial);
        else if (std::holds_alternative<gateway::refused>(it.reply))
        {
            const auto why = std::get<gateway::refused>(it.reply).why;
            const auto found = harmful.find(std::to_string(it.number));
            if (found != harmful.end())
            {
                const bool says_not_run = why != gateway::refusal::failed &&
                                          why != gateway::refusal::timed_out;
                falsely_not_run +=
                    says_not_run && found->second.ended > 0 ? 1 : 0;
                retry_harmful(it.number);
                return;
            }
            ++refused;
            refused_late += started[it.number] == now ? 0 : 1;
        }
        else
            ++complete;
    }

    void answer(const pending_reply& it)
    {
        auto& vm = vms[it.vm];
        if (it.is_harmful && !it.failure)
        {
            auto own = it;
            own.failure = gateway::send_failure::lost;
            ++harmful[it.request].ended;
            end_server(it.server);
            answer(own);
            return;
        }
        if (it.failure)
        {
            gateway::effects out;
            vm.subject->on_failure(it.number, *it.failure, now, out);
            carry_out(it.vm, std::move(out));
            return;
        }
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
    std::deque<pending_news> messages;         ///< between VMs, by due time
    std::map<std::string, base::instant> down; ///< restart times, by server id
    std::map<std::string, harmful_request> harmful; ///< by request id
    base::instant next_harmful_at{};
    std::deque<base::instant> retry_at; ///< of callers of the harmful target
    std::size_t harmful_vm = 0;
    std::map<gateway::query_number, relayed> waiting;
    std::map<gateway::query_number, base::instant> started;
    gateway::query_number last_query = 0;
    std::uint32_t last_seed = 0;
};

} // namespace gateway_test

#endif
