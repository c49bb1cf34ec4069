// A gateway with simulated servers and a manual clock, for tests without a
// network.
#ifndef UNITTESTS_GATEWAY_GATEWAY_FIXTURE_HPP
#define UNITTESTS_GATEWAY_GATEWAY_FIXTURE_HPP

#include "mimosacroft/gateway/gateway.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace gateway_test
{

using namespace mimosacroft;
using base::milliseconds;

/// An idempotent search over shards "s0", "s1" and so on; a part may be sent to
/// two servers.
inline gateway::search scattered(std::size_t shards)
{
    gateway::search out;
    out.name = "all";
    out.host = "h";
    out.path_prefix = "/all/";
    out.semantics = gateway::execution_semantics::idempotent;
    out.max_attempts = 2;
    out.timeout = milliseconds(2'500);
    out.latency_objective = milliseconds(150);
    for (std::size_t n = 0; n < shards; ++n)
        out.shards.push_back("s" + std::to_string(n));
    out.max_records = 10;
    out.min_coverage = 0.75;
    return out;
}

/// A search that the service "desk" answers; a request may be sent to two
/// servers.
inline gateway::search single(gateway::execution_semantics semantics)
{
    gateway::search out;
    out.name = "one";
    out.host = "h";
    out.path_prefix = "/one/";
    out.semantics = semantics;
    out.max_attempts = 2;
    out.timeout = milliseconds(6'000);
    out.latency_objective = milliseconds(400);
    out.services = {{"desk", 1}};
    return out;
}

/// Drives a gateway in data centre "a" of region "ra". Every send counts as
/// written to its connection at once. Calls return the resulting effects.
struct gateway_harness
{
    explicit gateway_harness(
        std::vector<gateway::search> searches,
        gateway::gateway_options options = make_options(),
        std::vector<gateway::service_settings> services = {})
        : subject(std::move(options))
    {
        subject.apply(std::make_shared<const gateway::catalog>(
            1, std::move(searches), std::move(services),
            gateway::caller_limits{}));
    }

    static gateway::gateway_options make_options()
    {
        gateway::gateway_options out;
        out.data_centre = "a";
        out.regions = {{"a", "ra"}, {"b", "rb"}};
        out.extra.ratio = 0.2;
        out.extra.slack = 1000;
        return out;
    }

    void add_server(const std::string& id, const std::string& service,
                    const std::string& data_centre = "a")
    {
        gateway::server_entry entry;
        entry.id = id;
        entry.service = service;
        entry.address = "10.0.0.1:80";
        entry.data_centre = data_centre;
        entry.slots = 2;
        subject.servers().apply(entry, now);
    }

    /// Adds two servers for each shard of a scattered search.
    void add_shards(std::size_t shards)
    {
        for (std::size_t n = 0; n < shards; ++n)
            for (const char* copy : {"x", "y"})
                add_server(copy + std::to_string(n), "s" + std::to_string(n));
    }

    static gateway::caller_request request(const std::string& target,
                                           milliseconds deadline)
    {
        gateway::caller_request out;
        out.id = "r";
        out.host = "h";
        out.deadline = deadline;
        out.message.method = "GET";
        out.message.target = target;
        return out;
    }

    gateway::effects open(const std::string& target,
                          milliseconds deadline = milliseconds(2'500))
    {
        gateway::effects out;
        subject.open(++last_query, request(target, deadline), now, out);
        mark_written(out);
        return out;
    }

    /// Advances the clock by `passed` and runs the timers that are due.
    gateway::effects tick(milliseconds passed)
    {
        gateway::effects out;
        now += passed;
        subject.tick(now, out);
        mark_written(out);
        return out;
    }

    /// Reports all sends of `out` to the gateway as written.
    void mark_written(const gateway::effects& out)
    {
        for (const auto& send : out.sends)
            subject.on_sent(send.number);
    }

    static gateway::server_reply good_reply(const std::string& body = "")
    {
        gateway::server_reply out;
        out.signature = "signed";
        out.message.status = 200;
        out.message.body = body;
        return out;
    }

    /// The reply of a server that refused the request before it ran.
    static gateway::server_reply not_executed()
    {
        gateway::server_reply out;
        out.executed = false;
        out.message.status = 503;
        return out;
    }

    gateway::effects reply(gateway::exchange_number number,
                           gateway::server_reply message = good_reply())
    {
        gateway::effects out;
        subject.on_reply(number, std::move(message), now, out);
        mark_written(out);
        return out;
    }

    gateway::effects fail(gateway::exchange_number number,
                          gateway::send_failure why)
    {
        gateway::effects out;
        subject.on_failure(number, why, now, out);
        mark_written(out);
        return out;
    }

    /// The reason of the first refusal among the answers, if there is one.
    static std::optional<gateway::refusal>
    refusal_in(const gateway::effects& out)
    {
        for (const auto& answer : out.answers)
            if (const auto* r = std::get_if<gateway::refused>(&answer.reply))
                return r->why;
        return std::nullopt;
    }

    /// The first merged answer; null if there is none.
    static const gateway::merged* merged_in(const gateway::effects& out)
    {
        for (const auto& answer : out.answers)
            if (const auto* m = std::get_if<gateway::merged>(&answer.reply))
                return m;
        return nullptr;
    }

    gateway::gateway subject;
    base::instant now{base::seconds(1'000)};
    gateway::query_number last_query = 0;
};

} // namespace gateway_test

#endif
