// Coverage of a query: how many of its shards have answered; names of servers
// between VMs; the end of exchanges.
#include "mimosacroft/gateway/query.hpp"

#include "mimosacroft/base/stable_hash.hpp"

namespace mimosacroft::gateway
{

bool covers(std::size_t answered, std::size_t total, double min_share)
{
    // A rounding error must not reject an exactly sufficient count.
    constexpr double tolerance = 1e-9;
    return static_cast<double>(answered) + tolerance >=
           min_share * static_cast<double>(total);
}

std::uint64_t fingerprint_of(const caller_request& it)
{
    constexpr std::size_t max_body_bytes = 4'096;
    const auto& message = it.message;
    return base::stable_hash(
        {it.host, message.method, message.target,
         std::to_string(message.body.size()),
         std::string_view(message.body).substr(0, max_body_bytes)});
}

server_tag tag_of(const server_entry& it)
{
    return static_cast<server_tag>(base::stable_hash({it.id}));
}

void effects::cancel(exchange_number number)
{
    const auto begins_here = [number](const auto& it)
    { return it.number == number; };
    if (std::erase_if(sends, begins_here) == 0 &&
        std::erase_if(relays, begins_here) == 0)
        cancels.push_back(number);
}

run_record query::total_record() const
{
    return {record.answered + remote_record.answered,
            record.ended + remote_record.ended};
}

// A relay needs no minimum: the VM that relayed the query merges the result
// with its own shards and checks the coverage of all.
double query::required_coverage() const
{
    return is_relayed ? 0 : search->min_coverage;
}

bool query::has_min_coverage() const
{
    return done > 0 && covers(done, parts.size(), required_coverage());
}

bool query::can_reach_min_coverage() const
{
    const auto possible = parts.size() - failed;
    return possible > 0 && covers(possible, parts.size(), required_coverage());
}

} // namespace mimosacroft::gateway
