// Which upstreams this VM may work on now. The sum of all owners' shares stays
// within a server's limits while views differ:
//
// - A VM uses its share only while its view was confirmed (by the platform or
//   by a peer of its data centre) within VIEW_TTL. A VM that was paused or cut
//   off stops by itself when its view gets older.
// - A VM that gains an upstream waits until no older view can be in use and the
//   requests sent under it have ended.
#ifndef MIMOSACROFT_FLEET_OWNERSHIP_HPP
#define MIMOSACROFT_FLEET_OWNERSHIP_HPP

#include "mimosacroft/base/time.hpp"
#include "mimosacroft/fleet/view.hpp"
#include "mimosacroft/model/catalog.hpp"

#include <map>
#include <string>

namespace mimosacroft::fleet
{

struct ownership_options
{
    base::milliseconds view_ttl{1500};
    /// From gaining an upstream to using it: view_ttl and the longest deadline
    /// of a request that the former owner may have sent.
    base::milliseconds handover_wait{3500};
};

class ownership
{
public:
    ownership(std::string self, ownership_options options);

    /// Takes a new view or configuration into account.
    void update(const view& current, const model::catalog& catalog,
                base::instant now);

    /// Notes that the view was current at `now`.
    void confirm(base::instant now);

    /// The share of each server of an upstream that may be used at `now`;
    /// zero if this VM is no owner, waits, or holds an unconfirmed view.
    share usable(const std::string& upstream, base::instant now) const;

    /// Whether this VM is an owner, usable or not.
    bool owns(const std::string& upstream) const;

private:
    struct owned
    {
        share part;
        base::instant since; ///< when this VM became an owner with this share
    };

    std::string self_;
    ownership_options options_;
    std::map<std::string, owned> owned_;
    base::instant confirmed_;
    bool ever_confirmed_ = false;
};

} // namespace mimosacroft::fleet

#endif
