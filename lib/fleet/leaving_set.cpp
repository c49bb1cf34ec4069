// Servers that take no new work.
#include "mimosacroft/fleet/leaving_set.hpp"

#include "mimosacroft/base/stable_hash.hpp"

#include <algorithm>

namespace mimosacroft::fleet
{

namespace
{

/// Incarnations of one server that are remembered.
constexpr std::size_t max_incarnations = 64;

std::uint32_t age_in_seconds(base::instant since, base::instant now)
{
    using std::chrono::duration_cast;
    return static_cast<std::uint32_t>(
        duration_cast<base::seconds>(now - since).count());
}

} // namespace

bool leaving_set::add(const wire::leaving_mark& mark, base::instant now)
{
    const base::seconds age(mark.age_s);
    if (age >= retention || contains(mark.server, mark.incarnation))
        return false;
    marks_[{mark.server, mark.incarnation}] = now - age;
    fingerprint_ += base::stable_hash({mark.server, mark.incarnation});
    return true;
}

void leaving_set::note_incarnation(const std::string& server,
                                   const std::string& incarnation)
{
    auto& it = servers_[server];
    if (it.current == incarnation || it.seen.contains(incarnation))
        return;
    if (it.seen.size() >= max_incarnations)
        it.seen.clear();
    it.seen.insert(incarnation);
    it.current = incarnation;
}

bool leaving_set::bars(const std::string& server) const
{
    const auto it = servers_.find(server);
    if (it != servers_.end())
        return contains(server, it->second.current);
    const auto mark = marks_.lower_bound({server, {}});
    return mark != marks_.end() && mark->first.first == server;
}

void leaving_set::expire(base::instant now)
{
    std::erase_if(marks_,
                  [&](const auto& it)
                  {
                      const bool old = now - it.second >= retention;
                      if (old)
                          fingerprint_ -= base::stable_hash(
                              {it.first.first, it.first.second});
                      return old;
                  });
}

std::vector<wire::leaving_mark> leaving_set::marks(base::seconds age,
                                                   base::instant now) const
{
    std::vector<wire::leaving_mark> out;
    for (const auto& [at, since] : marks_)
        if (now - since <= age)
            out.push_back({at.first, at.second, age_in_seconds(since, now)});
    return out;
}

} // namespace mimosacroft::fleet
