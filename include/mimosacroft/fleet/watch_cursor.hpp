// Where the watch of the platform's changes stands. The platform may answer
// from a replica that lags, or come back older after an outage. The first is
// ignored. For the second the watch starts again from the beginning, so that it
// does not wait for versions that the older store will not reach for long;
// what the VM holds stays in force, since objects are compared one by one. It
// starts again too when the platform was away for a while: an older store may
// have passed the version by then. A platform that states its era is known to
// be older by its first answer; versions here are ordered over eras.
#ifndef MIMOSACROFT_FLEET_WATCH_CURSOR_HPP
#define MIMOSACROFT_FLEET_WATCH_CURSOR_HPP

#include "mimosacroft/model/store_era.hpp"

#include <cstdint>

namespace mimosacroft::fleet
{

enum class watch_answer
{
    current,
    stale, ///< older than an earlier answer; not the first such one in a row
    first_stale,
    store_older ///< the store itself came back older: it is in a later era, or
                ///< several answers in a row were stale
};

class watch_cursor
{
public:
    /// The version after which changes are asked for.
    std::uint64_t after() const { return from_start_ ? 0 : after_; }

    /// The next call asks for everything.
    void restart()
    {
        from_start_ = true;
        stale_ = 0;
    }

    /// An answer that was older is asked for again at once.
    bool in_doubt() const { return stale_ > 0; }

    /// Takes the version of an answer to a call that asked after `asked`.
    watch_answer take(std::uint64_t asked, std::uint64_t version)
    {
        // The changes of a later era since `asked` are those of other versions.
        if (asked > 0 && model::era_number(version) > model::era_number(asked))
        {
            restart();
            return watch_answer::store_older;
        }
        if (version >= asked)
        {
            stale_ = 0;
            after_ = version;
            from_start_ = from_start_ && asked > 0;
            return watch_answer::current;
        }
        if (++stale_ < answers_until_older)
            return stale_ == 1 ? watch_answer::first_stale
                               : watch_answer::stale;
        restart();
        return watch_answer::store_older;
    }

private:
    static constexpr unsigned answers_until_older = 3;

    std::uint64_t after_ = 0;
    bool from_start_ = true;
    unsigned stale_ = 0; ///< stale answers in a row
};

} // namespace mimosacroft::fleet

#endif
