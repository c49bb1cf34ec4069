// Whether the view of this VM is known to be the newest, and since when no
// older view can be in use in its data centre.
//
// A view is confirmed at an instant by the platform's answer with the same
// version, counted from when the question was sent; by a VM that was confirmed
// itself, counted from when the question was sent and the age in the answer;
// or, while the platform is away, by a quorum of the data centre that holds
// this very version. A confirmation never gets younger by being passed on. A VM
// that hears of a newer view has its own confirmed no more.
//
// A new view is settled once a quorum of itself, and of each view since the
// last settled one, holds it or a newer one: from then on no quorum can confirm
// an older view.
#ifndef MIMOSACROFT_FLEET_VIEW_LEASE_HPP
#define MIMOSACROFT_FLEET_VIEW_LEASE_HPP

#include "mimosacroft/base/time.hpp"
#include "mimosacroft/fleet/view.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mimosacroft::fleet
{

struct view_lease_options
{
    /// How long a confirmation holds.
    base::milliseconds view_ttl{1500};
    /// An ask without an answer goes to another VM after this.
    base::milliseconds ask_timeout{400};
    /// A view that no quorum takes up settles after this all the same: most VMs
    /// of the data centre are lost and not replaced.
    base::milliseconds orphan_wait{60'000};
};

class view_lease
{
public:
    /// A message for a VM of the data centre.
    using outgoing = std::pair<std::string, wire::message>;

    view_lease(std::string self, std::string data_centre,
               view_lease_options options);

    /// A newer view is in use.
    void on_view(const view& current, base::instant now);

    /// The platform answered with the version in use to a question sent then.
    void on_platform(base::instant asked, base::instant now,
                     std::vector<outgoing>& out);

    void on_ask(const std::string& from, const wire::view_ask& msg,
                base::instant now, std::vector<outgoing>& out);
    void on_answer(const std::string& from, const wire::view_answer& msg,
                   base::instant now, std::vector<outgoing>& out);
    void on_tick(base::instant now, std::vector<outgoing>& out);
    base::instant next_wakeup() const;

    /// The view may be acted on.
    bool fresh(base::instant now) const
    {
        return ever_ && now - confirmed_ <= options_.view_ttl;
    }
    /// When the view was known to be the newest. Only valid if
    /// ever_confirmed().
    base::instant confirmed() const { return confirmed_; }
    bool ever_confirmed() const { return ever_; }
    bool settled() const { return settled_; }

    /// The VMs that a VM of this rank asks, in order of preference.
    static std::vector<std::size_t> parents_of(std::size_t rank);
    /// The ranks below `count` that may ask a VM of this rank.
    static std::vector<std::size_t> children_of(std::size_t rank,
                                                std::size_t count);

private:
    struct earlier_view
    {
        std::vector<std::string> members;
        base::instant replaced;
    };

    struct held_ask
    {
        std::uint64_t sequence = 0;
        base::instant received;
    };

    void renew(base::instant at, base::instant now, std::vector<outgoing>& out);
    void ask_parent(base::instant now, std::vector<outgoing>& out);
    void start_round(base::instant now, std::vector<outgoing>& out);
    void check_round(base::instant now, std::vector<outgoing>& out);
    void check_settled();
    void answer(const std::string& to, const held_ask& ask, base::instant now,
                std::vector<outgoing>& out);
    static bool is_quorum(const std::set<std::string>& some,
                          const std::vector<std::string>& all);

    std::string self_;
    std::string data_centre_;
    view_lease_options options_;
    std::uint64_t version_ = 0;
    std::vector<std::string> members_; ///< of the data centre, in this view
    /// The same in the views since the last settled one, this one excluded.
    std::vector<earlier_view> earlier_;
    std::vector<std::string> parents_; ///< empty for a VM that asks nobody
    base::instant confirmed_{};        ///< only grows within a view
    bool ever_ = false;                ///< confirmed_ holds
    bool replaced_ = false; ///< a VM holds a newer view; nothing confirms this
    bool counts_ = false;   ///< was confirmed since the process started
    bool settled_ = false;
    base::instant view_since_{};
    std::set<std::string> moved_; ///< known to hold version_ or a newer one
    std::uint64_t sequence_ = 0;
    std::uint64_t parent_ask_ = 0; ///< the open ask to a parent; 0 if none
    base::instant parent_asked_{};
    std::size_t parent_turn_ = 0;
    std::uint64_t round_ = 0; ///< the open round of asks to all; 0 if none
    base::instant round_started_{};
    std::set<std::string> round_same_; ///< answered with this very version
    std::map<std::string, held_ask> held_;
    std::map<std::string, base::instant> told_; ///< confirmation told last
    base::instant next_tick_{};
};

} // namespace mimosacroft::fleet

#endif
