// Where a VM reads the objects of the store from. Inside a data centre the VMs
// form a tree: the first reads from the store, the others from their parent.
// When a source fails the next one is taken: an ancestor, the store, other VMs.
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
    std::string address;   ///< of a VM, ip:port; empty for the store
    std::size_t depth = 0; ///< VMs between it and the store, as a rule
    base::instant avoid_until{};

    bool is_store() const { return address.empty(); }
};

/// How long a watch waits at its source when there is no news.
struct watch_waits
{
    base::milliseconds store{1'200};
    base::milliseconds vm{800};
};

class object_sources
{
public:
    object_sources() : object_sources(watch_waits{}) {}
    explicit object_sources(watch_waits waits);

    /// Takes the VMs that are known now, and addresses to try when all else
    /// fails. What was observed of sources that stay is kept.
    void set(const vm_entry& own, const std::vector<vm_entry>& others,
             const std::vector<std::string>& seeds);

    /// The source to be asked now.
    const object_source& current(base::instant now) const;
    /// How old news from a source may be. A VM gives older news only if it has
    /// lost its own source; then another one is better.
    base::milliseconds oldest_news(const object_source& it) const;
    /// How long a watch of this source waits.
    base::milliseconds wait(const object_source& it) const;

    /// Whether current() has not failed lately.
    bool has_usable(base::instant now) const;

    void on_failure(const std::string& address, base::instant now);

    const std::vector<object_source>& all() const { return sources_; }

private:
    watch_waits waits_;
    std::vector<object_source> sources_; ///< best first; one is the store
};

/// Children of a VM in the tree of its data centre.
inline constexpr std::size_t tree_width = 8;

} // namespace mimosacroft::gateway

#endif
