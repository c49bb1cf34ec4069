// What this VM knows about the others: their process, the configuration in
// force there and how old that word is; and which of them do not answer. Owners
// of upstreams do not depend on it.
#ifndef MIMOSACROFT_FLEET_MEMBER_TABLE_HPP
#define MIMOSACROFT_FLEET_MEMBER_TABLE_HPP

#include "mimosacroft/base/time.hpp"
#include "mimosacroft/fleet/view.hpp"
#include "mimosacroft/wire/messages.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mimosacroft::fleet
{

/// What a VM last heard about another one.
struct peer_knowledge
{
    std::uint64_t incarnation = 0;
    std::uint64_t config_version = 0;
    base::instant heard;         ///< when the VM itself said so
    std::uint64_t heartbeat = 0; ///< only grows within an incarnation
};

class member_table
{
public:
    /// A probe without an answer counts as failed after this.
    static constexpr base::milliseconds probe_timeout{1000};
    /// From a failed probe to suspicion, while nobody has heard of the VM.
    static constexpr base::milliseconds suspect_wait{3000};

    /// The VM spoke itself.
    void on_direct(const std::string& vm, const peer_knowledge& said);
    /// Another VM passed its word on.
    void on_row(const wire::member_row& row, base::instant now);

    void on_probe_sent(const std::string& vm, std::uint64_t sequence,
                       base::instant now);
    void on_probe_answered(const std::string& vm, std::uint64_t sequence);

    /// Turns probes without an answer into doubts.
    void on_tick(base::instant now);

    /// Forgets VMs that are not in the list.
    void keep_only(const view& current);

    /// The VMs that do not answer, suspected or not; the newest doubts first.
    std::vector<std::string> doubted() const;
    /// The ones of them that are not suspected yet.
    std::vector<std::string> unsuspected_doubts(base::instant now) const;
    /// Neither the VM itself nor anybody else has heard of it for a while.
    bool is_suspected(const std::string& vm, base::instant now) const;
    /// Since when a VM does not answer; never if it does.
    base::instant doubted_since(const std::string& vm) const;

    const peer_knowledge* find(const std::string& vm) const;
    const std::map<std::string, peer_knowledge>& all() const { return rows_; }

    /// The rows heard last, at most `most` of them; none of the VMs in `known`.
    std::vector<wire::member_row>
    newest_rows(std::size_t most, const std::set<std::string>& known,
                base::instant now) const;
    wire::member_row row_of(const std::string& vm, base::instant now) const;

private:
    struct probe
    {
        std::uint64_t sequence = 0;
        base::instant sent;
    };

    std::map<std::string, peer_knowledge> rows_;
    std::map<std::string, probe> probes_;         ///< without an answer yet
    std::map<std::string, base::instant> doubts_; ///< since when
};

} // namespace mimosacroft::fleet

#endif
