// Servers that take no new work. A mark bars one incarnation of a server, so
// an old rumour cannot bar a restarted server, and nothing re-admits a marked
// incarnation. Marks are only added; each ends with its age.
#ifndef MIMOSACROFT_FLEET_LEAVING_SET_HPP
#define MIMOSACROFT_FLEET_LEAVING_SET_HPP

#include "mimosacroft/base/time.hpp"
#include "mimosacroft/wire/messages.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mimosacroft::fleet
{

class leaving_set
{
public:
    /// Marks are kept this long; a server ends well before.
    static constexpr base::seconds retention{3600};

    /// Adds a mark; false if it is known or past its retention.
    bool add(const wire::leaving_mark& mark, base::instant now);

    /// Notes an incarnation that a server stated itself in reply to a call that
    /// was sent at `asked`. The call that was sent last tells the current one.
    void note_incarnation(const std::string& server,
                          const std::string& incarnation, base::instant asked);

    bool contains(const std::string& server,
                  const std::string& incarnation) const
    {
        return marks_.contains({server, incarnation});
    }

    /// Whether the current incarnation of a server is marked. While no
    /// incarnation was heard of, any mark of the server counts.
    bool bars(const std::string& server) const;

    void expire(base::instant now);

    /// The marks that are at most `age` old.
    std::vector<wire::leaving_mark> marks(base::seconds age,
                                          base::instant now) const;

    std::size_t size() const { return marks_.size(); }
    /// Equal sets have equal sums.
    std::uint64_t fingerprint() const { return fingerprint_; }

private:
    using key = std::pair<std::string, std::string>; // server, incarnation

    struct statement
    {
        std::string incarnation;
        base::instant asked; ///< only grows
    };

    std::map<key, base::instant> marks_;       ///< since when
    std::map<std::string, statement> current_; ///< by server
    std::uint64_t fingerprint_ = 0;            ///< over marks_
};

} // namespace mimosacroft::fleet

#endif
