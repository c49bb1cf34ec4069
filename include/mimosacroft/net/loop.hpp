// The event loop of a process: one thread that waits for sockets and timers and
// runs posted functions. All decisions of the core run on it.
#ifndef MIMOSACROFT_NET_LOOP_HPP
#define MIMOSACROFT_NET_LOOP_HPP

#include "mimosacroft/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tuple>

namespace mimosacroft::net
{

class loop
{
public:
    loop();
    ~loop();
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;

    /// Runs until stop(), also once more after it. Timers use the monotonic
    /// clock. An exception of a handler ends that handler only and is reported.
    void run();

    /// Where exceptions of handlers are reported. Before run().
    void on_failure(std::function<void(const std::string& what)> fn);

    /// May be called from any thread.
    void stop();

    /// Runs `fn` on the loop's thread. May be called from any thread.
    void post(std::function<void()> fn);

    /// Names a timer.
    struct timer
    {
        base::instant due = base::never;
        std::uint64_t number = 0; ///< 0 names none
        friend bool operator<(const timer& a, const timer& b)
        {
            return std::tie(a.due, a.number) < std::tie(b.due, b.number);
        }
    };

    /// Runs `fn` once at `at`. Only from the loop's thread.
    timer at(base::instant at, std::function<void()> fn);

    /// Drops a timer; nothing happens if it has run. Only from the loop's
    /// thread.
    void cancel(const timer& it);

    /// Timers that have not run.
    std::size_t timers() const;

    /// The library's selector, for the adapters in this folder.
    void* selector();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mimosacroft::net

#endif
