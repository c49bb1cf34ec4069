// An HTTP server whose handler may block.
#include "mimosacroft/http/blocking_server.hpp"

#include "mimosacroft/base/clock.hpp"
#include "mimosacroft/http/server.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

namespace mimosacroft::http
{

namespace
{

constexpr unsigned status_unavailable = 503;
constexpr base::milliseconds sweep_period{250};
constexpr base::milliseconds report_period{1'000};
// Answers that a caller is slow to read are cut this long after a stop.
constexpr base::milliseconds last_answers_time{1'000};
constexpr base::milliseconds stop_check_period{10};

tcp::endpoint endpoint_or_throw(const std::string& address)
{
    const auto out = endpoint_of(address);
    if (!out)
        throw std::runtime_error("invalid address, expected ip:port: " +
                                 address);
    return *out;
}

server_limits limits_of(const blocking_server_options& options)
{
    server_limits out;
    out.body_bytes = options.max_body_bytes;
    out.connections = options.max_connections;
    return out;
}

} // namespace

struct blocking_server::impl
{
    impl(const blocking_server_options& options, handlers h)
        : on(std::move(h)), max_threads(options.max_threads),
          budget(std::make_shared<server_budget>(options.budget_bytes)),
          connections(
              io, endpoint_or_throw(options.address),
              {.on_request = [this](request_number number, request&& message)
               { enqueue(number, std::move(message)); },
               .on_leave = [](request_number) {},
               .make_refusal = on.make_refusal},
              limits_of(options), budget),
          timer(io)
    {
        sweep();
        loop = std::thread([this] { io.run(); });
    }

    struct waiting_request
    {
        request_number number = 0;
        request message;
    };

    void enqueue(request_number number, request&& message);
    void work();
    void sweep();
    void report_turned_away();
    void stop();
    void stop_when_written(base::instant due);

    handlers on;
    const unsigned max_threads;
    std::shared_ptr<server_budget> budget;
    asio::io_context io;
    server connections; ///< only used on the loop's thread
    asio::steady_timer timer;
    base::instant next_report{};
    std::thread loop;

    std::mutex mutex; // guards all below
    std::condition_variable has_work;
    // Each of them is the one request of a connection, so that the limit on
    // connections bounds them.
    std::deque<waiting_request> waiting;
    std::vector<std::thread> workers; ///< at most max_threads
    unsigned idle_workers = 0;
    bool stopping = false;
};

void blocking_server::impl::enqueue(request_number number, request&& message)
{
    const std::lock_guard<std::mutex> lock(mutex);
    if (stopping)
    {
        // Later, since the server is handing the request out.
        asio::post(io,
                   [this, number]
                   {
                       connections.answer_and_close(
                           number, on.make_refusal(status_unavailable));
                   });
        return;
    }
    waiting.push_back({number, std::move(message)});
    if (waiting.size() > idle_workers && workers.size() < max_threads)
        workers.emplace_back([this] { work(); });
    has_work.notify_one();
}

// Requests that wait at a stop are worked on all the same.
void blocking_server::impl::work()
{
    std::unique_lock<std::mutex> lock(mutex);
    while (true)
    {
        ++idle_workers;
        has_work.wait(lock, [this] { return stopping || !waiting.empty(); });
        --idle_workers;
        if (waiting.empty())
            return;
        auto next = std::move(waiting.front());
        waiting.pop_front();
        lock.unlock();
        asio::post(io,
                   [this, number = next.number,
                    answer = on.on_request(std::move(next.message))]
                   {
                       if (answer.ends_connection)
                           connections.answer_and_close(number, answer.message);
                       else
                           connections.answer(number, answer.message);
                   });
        lock.lock();
    }
}

void blocking_server::impl::sweep()
{
    connections.sweep(base::now());
    report_turned_away();
    timer.expires_after(sweep_period);
    timer.async_wait(
        [this](const error_code& ec)
        {
            if (!ec)
                sweep();
        });
}

void blocking_server::impl::report_turned_away()
{
    const auto now = base::now();
    if (now < next_report)
        return;
    next_report = now + report_period;
    for (std::size_t n = 0; n < shed_reason_count; ++n)
    {
        const auto why = static_cast<shed_reason>(n);
        if (const auto count = budget->take_unreported(why); count > 0)
            on.on_turned_away(base::name_of(why), count);
    }
}

void blocking_server::impl::stop()
{
    asio::post(io, [this] { connections.close_idle(); });
    std::vector<std::thread> all;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        stopping = true;
        all.swap(workers);
    }
    has_work.notify_all();
    for (auto& it : all)
        it.join();
    asio::post(io,
               [this] { stop_when_written(base::now() + last_answers_time); });
    loop.join();
}

void blocking_server::impl::stop_when_written(base::instant due)
{
    if (connections.in_flight() == 0 || base::now() >= due)
    {
        io.stop();
        return;
    }
    timer.expires_after(stop_check_period);
    timer.async_wait([this, due](const error_code&)
                     { stop_when_written(due); });
}

blocking_server::blocking_server(const blocking_server_options& options,
                                 handlers h)
{
    try
    {
        impl_ = std::make_unique<impl>(options, std::move(h));
    }
    catch (const boost::system::system_error& ex)
    {
        throw std::runtime_error("cannot listen on " + options.address + ": " +
                                 ex.what());
    }
}

blocking_server::~blocking_server()
{
    impl_->stop();
}

} // namespace mimosacroft::http
