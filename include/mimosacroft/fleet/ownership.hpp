// Which upstreams this VM may work on now. The sum of all owners' shares stays
// within a server's limits while views differ:
//
// - A VM uses its share only while its view was confirmed within VIEW_TTL
//   (view_lease.hpp). A VM that was paused or cut off stops by itself when its
//   view gets older.
// - A VM that gains an upstream, or a larger share, first waits until the view
//   is settled and then until no older confirmation can hold and the requests
//   sent under it have ended. A smaller share holds at once.
#ifndef MIMOSACROFT_FLEET_OWNERSHIP_HPP
#define MIMOSACROFT_FLEET_OWNERSHIP_HPP

#include "mimosacroft/base/time.hpp"
#include "mimosacroft/fleet/view.hpp"
#include "mimosacroft/model/catalog.hpp"

#include <map>
#include <string>
#include <vector>

namespace mimosacroft::fleet
{

struct ownership_options
{
    base::milliseconds view_ttl{1500};
    /// From gaining an upstream to using it: view_ttl and the longest deadline
    /// of a request that the former owner may have sent.
    base::milliseconds handover_wait{3500};
    /// See view_lease_options.
    base::milliseconds orphan_wait{60'000};
};

class ownership
{
public:
    ownership(std::string self, ownership_options options);

    /// Takes a new view or configuration into account.
    void update(const view& current, const model::catalog& catalog,
                base::instant now);

    /// Notes that the view was current at `at`; an earlier instant than one
    /// noted before changes nothing.
    void confirm(base::instant at);

    /// While the view is not settled, nothing that was gained is used; the
    /// handover starts when it settles. A view counts as settled unless told
    /// otherwise.
    void set_settled(bool settled, base::instant now);

    /// A newer view follows: its predecessor's confirmations say nothing about
    /// it. What was held stays held only if that view was confirmed until now;
    /// otherwise others may have gained and used it in views between the two.
    void expire(base::instant now);

    /// The share of each server of an upstream that may be used at `now`;
    /// zero if this VM is no owner, waits, or holds an unconfirmed view.
    share usable(const std::string& upstream, base::instant now) const;

    /// The owners of an upstream in the view and configuration of the last
    /// update; empty for one that is not known.
    const std::vector<std::string>&
    owners_of(const std::string& upstream) const;

    /// The owners that need not wait for a handover: those that owned the
    /// upstream before its owners changed. All of them if none did, or once
    /// the handover must be over.
    const std::vector<std::string>&
    established_owners_of(const std::string& upstream, base::instant now) const;

    /// Whether this VM is an owner, usable or not.
    bool owns(const std::string& upstream) const;

private:
    struct owned
    {
        share held;          ///< in use before the latest gain; may be zero
        share part;          ///< at least `held`
        base::instant since; ///< when the handover to `part` started
    };

    /// Owners of one upstream, and what they follow from besides its name and
    /// the VMs of its data centre.
    struct owner_list
    {
        std::string data_centre;
        std::uint32_t slots = 0;
        std::vector<std::string> vms;
        std::vector<std::string> established; ///< some of vms, or all
        base::instant changed;                ///< when vms changed last
    };

    std::string self_;
    ownership_options options_;
    void update_owners(const view& current, const model::catalog& catalog,
                       base::instant now);
    std::vector<std::string>
    established_among(const std::vector<std::string>& vms,
                      const owner_list& before, base::instant now) const;
    const std::vector<std::string>& established_at(const owner_list& it,
                                                   base::instant now) const;
    owned changed(const owned& before, const share& part,
                  base::instant now) const;
    share at(const owned& it, base::instant now) const;

    std::map<std::string, owner_list> owners_; ///< by upstream
    /// By data centre, those that owners_ were chosen from.
    std::map<std::string, std::vector<std::string>> members_;
    std::map<std::string, owned> owned_;
    bool settled_ = true;
    base::instant confirmed_;
    bool ever_confirmed_ = false;
};

} // namespace mimosacroft::fleet

#endif
