// From a request's id to its cause, out of the logs of the entry VMs.
#ifndef MIMOSACROFT_OPERATE_LOG_EXPLAINER_HPP
#define MIMOSACROFT_OPERATE_LOG_EXPLAINER_HPP

#include "mimosacroft/base/time.hpp"

#include <istream>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mimosacroft::operate
{

/// One line of a log.
struct log_line
{
    std::string time;         ///< as written, UTC
    base::milliseconds at{0}; ///< since 1970
    std::string vm;
    std::string name; ///< of the event
    std::vector<std::pair<std::string, std::string>> fields;

    /// Empty if the line has no such field.
    std::string field(std::string_view key) const;
};

/// A line of JSON, with any text before its first brace; nothing if it is none.
std::optional<log_line> parse_log_line(std::string_view text);

struct explanation
{
    std::vector<log_line> of_request; ///< in the order of time
    /// What the same VMs noted just before and meanwhile.
    std::vector<log_line> around;
    std::vector<std::string> findings; ///< in words
};

/// How long before a request its VMs' notes may matter.
inline constexpr base::milliseconds looked_back{5'000};

/// Reads logs of any number of VMs, one after the other or mixed.
explanation explain_request(std::istream& logs, const std::string& request);

std::string to_text(const explanation& it, const std::string& request);

} // namespace mimosacroft::operate

#endif
