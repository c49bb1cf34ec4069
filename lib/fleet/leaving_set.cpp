// Servers that take no new work.
#include "mimosacroft/fleet/leaving_set.hpp"

#include "mimosacroft/base/stable_hash.hpp"

namespace mimosacroft::fleet
{

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
                                   const std::string& incarnation,
                                   base::instant asked)
{
    const auto it = current_.find(server);
    if (it == current_.end() || it->second.asked <= asked)
        current_[server] = {incarnation, asked};
}

bool leaving_set::bars(const std::string& server) const
{
    const auto it = current_.find(server);
    if (it != current_.end())
        return contains(server, it->second.incarnation);
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
            out.push_back(
                {at.first, at.second, base::age_in_seconds(now - since)});
    return out;
}

} // namespace mimosacroft::fleet
