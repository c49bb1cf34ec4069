// The event loop, on the selector of cxxtools. The library's own timers follow
// the wall clock, which may jump, so timers are kept here on the monotonic one.
#include "mimosacroft/net/loop.hpp"

#include <algorithm>
#include <atomic>
#include <cxxtools/selector.h>
#include <exception>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace mimosacroft::net
{

namespace
{

// A jump of the wall clock disturbs the selector's wait for at most this long.
constexpr int max_wait_ms = 50;

} // namespace

struct loop::impl
{
    cxxtools::Selector selector;
    std::mutex mutex;
    std::vector<std::function<void()>> posted;     // guarded by mutex
    std::map<timer, std::function<void()>> timers; // by time
    std::uint64_t last_timer = 0;
    std::atomic<bool> stopped{false};
    std::function<void(const std::string&)> on_failure;

    template <typename Fn>
    void guarded(const Fn& fn)
    {
        try
        {
            fn();
        }
        catch (const std::exception& ex)
        {
            if (on_failure)
                on_failure(ex.what());
        }
    }

    std::vector<std::function<void()>> take_posted()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        return std::exchange(posted, {});
    }

    void run_due_timers()
    {
        const auto now = std::chrono::steady_clock::now();
        while (!timers.empty() && timers.begin()->first.due <= now)
        {
            auto node = timers.extract(timers.begin());
            guarded(node.mapped());
        }
    }

    int wait_ms()
    {
        if (timers.empty())
            return max_wait_ms;
        const auto left =
            timers.begin()->first.due - std::chrono::steady_clock::now();
        // Rounded up, so that a timer is due when the wait ends.
        const auto ms = base::to_ms(left + base::microseconds(999));
        return static_cast<int>(std::clamp<long long>(ms, 0, max_wait_ms));
    }
};

loop::loop() : impl_(std::make_unique<impl>()) {}
loop::~loop() = default;

void loop::run()
{
    while (!impl_->stopped)
    {
        for (auto& fn : impl_->take_posted())
            impl_->guarded(fn);
        impl_->run_due_timers();
        if (impl_->stopped)
            break;
        impl_->guarded([this] { impl_->selector.wait(impl_->wait_ms()); });
    }
    impl_->stopped = false;
}

void loop::on_failure(std::function<void(const std::string& what)> fn)
{
    impl_->on_failure = std::move(fn);
}

void loop::stop()
{
    impl_->stopped = true;
    impl_->selector.wake();
}

void loop::post(std::function<void()> fn)
{
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        impl_->posted.push_back(std::move(fn));
    }
    impl_->selector.wake();
}

loop::timer loop::at(base::instant at, std::function<void()> fn)
{
    const timer out{at, ++impl_->last_timer};
    impl_->timers.emplace(out, std::move(fn));
    return out;
}

void loop::cancel(const timer& it)
{
    impl_->timers.erase(it);
}

std::size_t loop::timers() const
{
    return impl_->timers.size();
}

void* loop::selector()
{
    return &impl_->selector;
}

} // namespace mimosacroft::net
