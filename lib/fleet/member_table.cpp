// What this VM knows about the others.
#include "mimosacroft/fleet/member_table.hpp"

#include <algorithm>

namespace mimosacroft::fleet
{

void member_table::on_direct(const std::string& vm, const peer_knowledge& said)
{
    auto& row = rows_[vm];
    const bool late =
        row.incarnation == said.incarnation && row.heartbeat > said.heartbeat;
    if (!late)
        row = said;
    doubts_.erase(vm);
}

// Incarnations have no order: of two, the one heard of later is the newer.
void member_table::on_row(const wire::member_row& row, base::instant now)
{
    const peer_knowledge said{row.incarnation, row.config_version,
                              now - base::seconds(row.age_s), row.heartbeat};
    const auto it = rows_.find(row.vm);
    const bool newer =
        it == rows_.end() || (it->second.incarnation == row.incarnation
                                  ? it->second.heartbeat < row.heartbeat
                                  : it->second.heard < said.heard);
    if (newer)
        rows_[row.vm] = said;
    const auto doubt = doubts_.find(row.vm);
    if (doubt != doubts_.end() && said.heard > doubt->second)
        doubts_.erase(doubt);
}

void member_table::on_probe_sent(const std::string& vm, std::uint64_t sequence,
                                 base::instant now)
{
    // An open probe keeps its time, so that frequent probes still run out.
    probes_.try_emplace(vm, probe{sequence, now});
}

void member_table::on_probe_answered(const std::string& vm,
                                     std::uint64_t sequence)
{
    const auto it = probes_.find(vm);
    if (it != probes_.end() && it->second.sequence <= sequence)
        probes_.erase(it);
    doubts_.erase(vm);
}

void member_table::on_tick(base::instant now)
{
    std::erase_if(probes_,
                  [&](const auto& it)
                  {
                      if (now - it.second.sent < probe_timeout)
                          return false;
                      doubts_.try_emplace(it.first, now);
                      return true;
                  });
}

void member_table::keep_only(const view& current)
{
    const auto gone = [&current](const auto& it)
    { return !current.find(it.first); };
    std::erase_if(rows_, gone);
    std::erase_if(probes_, gone);
    std::erase_if(doubts_, gone);
}

std::vector<std::string> member_table::doubted() const
{
    std::vector<std::string> out;
    for (const auto& [vm, since] : doubts_)
        out.push_back(vm);
    std::ranges::stable_sort(out, std::greater<>{},
                             [this](const auto& vm) { return doubts_.at(vm); });
    return out;
}

std::vector<std::string>
member_table::unsuspected_doubts(base::instant now) const
{
    auto out = doubted();
    std::erase_if(out, [&](const auto& vm) { return is_suspected(vm, now); });
    return out;
}

bool member_table::is_suspected(const std::string& vm, base::instant now) const
{
    const auto it = doubts_.find(vm);
    return it != doubts_.end() && now - it->second >= suspect_wait;
}

base::instant member_table::doubted_since(const std::string& vm) const
{
    const auto it = doubts_.find(vm);
    return it == doubts_.end() ? base::never : it->second;
}

const peer_knowledge* member_table::find(const std::string& vm) const
{
    const auto it = rows_.find(vm);
    return it == rows_.end() ? nullptr : &it->second;
}

wire::member_row member_table::row_of(const std::string& vm,
                                      base::instant now) const
{
    const auto& it = rows_.at(vm);
    return {vm, it.incarnation, it.heartbeat, it.config_version,
            base::age_in_seconds(now - it.heard)};
}

std::vector<wire::member_row>
member_table::newest_rows(std::size_t most, const std::set<std::string>& known,
                          base::instant now) const
{
    std::vector<std::pair<base::instant, const std::string*>> order;
    for (const auto& [vm, it] : rows_)
        if (!known.contains(vm))
            order.emplace_back(it.heard, &vm);
    const auto n = std::min(most, order.size());
    std::ranges::partial_sort(order, order.begin() + static_cast<long>(n),
                              std::greater<>{});
    std::vector<wire::member_row> out;
    for (std::size_t k = 0; k < n; ++k)
        out.push_back(row_of(*order[k].second, now));
    return out;
}

} // namespace mimosacroft::fleet
