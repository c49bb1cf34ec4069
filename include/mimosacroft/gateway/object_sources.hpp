// Chooses the source from which a VM reads the objects of the store. The VMs of
// a data centre form a tree: the root reads from the store, every other VM from
// its parent. When a source fails, the VM tries the next one in this order: its
// other ancestors, the store, other VMs.
#ifndef MIMOSACROFT_GATEWAY_OBJECT_SOURCES_HPP
#define MIMOSACROFT_GATEWAY_OBJECT_SOURCES_HPP

#include "mimosacroft/base/time.hpp"
#include "mimosacroft/gateway/vm_directory.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace mimosacroft::gateway
{

struct object_source
{
    std::string address;   ///< ip:port of a VM; empty for the store
    std::size_t depth = 0; ///< usual number of VMs between it and the store
    base::instant avoid_until{};

    bool is_store() const { return address.empty(); }
};

/// How long a watch waits at its source for changes.
struct watch_timeouts
{
    base::milliseconds store{1'200};
    base::milliseconds vm{800};
};

class object_sources
{
public:
    object_sources() : object_sources(watch_timeouts{}) {}
    explicit object_sources(watch_timeouts timeouts);

    /// Replaces the known VMs and the seeds, which are addresses tried when all
    /// other sources fail. Sources that remain keep their failure state.
    void set(const vm_entry& own, const std::vector<vm_entry>& others,
             const std::vector<std::string>& seeds);

    /// Returns the source to read from now.
    const object_source& current(base::instant now) const;
    /// Maximum age of the data of a source. A VM returns older data only if it
    /// has lost its own source; then another source should be used.
    base::milliseconds max_staleness(const object_source& it) const;
    /// How long a watch of this source waits for changes.
    base::milliseconds watch_timeout(const object_source& it) const;

    /// Whether current() has not failed recently.
    bool has_usable(base::instant now) const;

    void on_failure(const std::string& address, base::instant now);

    const std::vector<object_source>& all() const { return sources_; }

private:
    watch_timeouts timeouts_;
    std::vector<object_source> sources_; ///< by preference; one is the store
};

/// Maximum number of children of a VM in the tree of its data centre.
inline constexpr std::size_t tree_fanout = 8;

} // namespace mimosacroft::gateway

#endif
