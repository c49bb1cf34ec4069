// Errors as values. Every error carries the step at which it arose, the peer
// concerned and a short text.
#ifndef MIMOSACROFT_BASE_ERROR_HPP
#define MIMOSACROFT_BASE_ERROR_HPP

#include "mimosacroft/base/names.hpp"

#include <string>
#include <tl/expected.hpp>

namespace mimosacroft::base
{

/// The step of the work at which an error arose.
enum class step
{
    settings,
    parse,
    admit,
    choose_epoch,
    forward,
    connect,
    send,
    wait,
    receive,
    merge,
    answer,
    claim,
    record,
    apply,
    spread
};

template <>
struct enum_names<step>
{
    static constexpr std::array<std::string_view, 15> table = {
        "settings", "parse", "admit",  "choose_epoch", "forward",
        "connect",  "send",  "wait",   "receive",      "merge",
        "answer",   "claim", "record", "apply",        "spread"};
};

/// What kind of error it is; decides how a caller may react.
enum class error_code
{
    invalid, ///< the input is wrong, a repeat will fail again
    not_found,
    conflict, ///< a conditional write lost against another one
    unauthorized,
    too_large,
    timeout,
    unreachable, ///< nothing was sent
    broken,      ///< the exchange broke off after something was sent
    unavailable  ///< the other side refuses for now
};

template <>
struct enum_names<error_code>
{
    static constexpr std::array<std::string_view, 9> table = {
        "invalid", "not_found",   "conflict", "unauthorized", "too_large",
        "timeout", "unreachable", "broken",   "unavailable"};
};

/// An error with its origin. `peer` names the other side, empty when local.
struct error
{
    error_code code = error_code::invalid;
    step at = step::parse;
    std::string peer;
    std::string text;
};

/// Formats an error as "step: peer: text (code)".
inline std::string to_string(const error& e)
{
    std::string out(name_of(e.at));
    if (!e.peer.empty())
        out += ": " + e.peer;
    out += ": " + e.text;
    out += " (" + std::string(name_of(e.code)) + ")";
    return out;
}

template <typename T>
using result = tl::expected<T, error>;

/// Shorthand for returning an error from a function that returns a result.
inline tl::unexpected<error> fail(error_code code, step at, std::string peer,
                                  std::string text)
{
    return tl::unexpected<error>(
        error{code, at, std::move(peer), std::move(text)});
}

} // namespace mimosacroft::base

#endif
