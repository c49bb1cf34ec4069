// Links between the VMs, on the sockets of cxxtools.
#include "mimosacroft/net/peer_transport.hpp"

#include "mimosacroft/base/crypto.hpp"
#include "mimosacroft/wire/frame.hpp"
#include "mimosacroft/wire/handshake.hpp"

#include "http_convert.hpp"

#include <algorithm>
#include <array>
#include <cxxtools/connectable.h>
#include <cxxtools/net/addrinfo.h>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/selector.h>
#include <cxxtools/signal.h>
#include <cxxtools/slot.h>
#include <map>
#include <set>
#include <stdexcept>
#include <utility>
#include <vector>

namespace mimosacroft::net
{

namespace
{

constexpr std::size_t nonce_bytes = 16;
constexpr std::size_t read_bytes = 64 << 10;
constexpr int listen_backlog = 256;
constexpr base::milliseconds strangers_report_period{1000};
/// A stranger may send no more than this before it has proved itself.
constexpr std::size_t max_handshake_bytes = 4096;

// Shared by all links of a transport.
struct link_context
{
    const peer_transport_options& options;
    const peer_handlers& handlers;
    peer_counters& counters;
};

} // namespace

// One TCP connection, in either direction.
class peer_link : public cxxtools::Connectable
{
public:
    using closed = std::function<void(peer_link&)>;

    peer_link(link_context context, wire::link_side side, closed on_closed)
        : context_(context), on_closed_(std::move(on_closed)),
          handshake_(side,
                     {wire::protocol_version, context.options.vm,
                      context.options.incarnation,
                      base::random_bytes(nonce_bytes)},
                     context.options.secret),
          decoder_(context.options.max_frame_bytes)
    {
        cxxtools::connect(socket_.connected, *this, &peer_link::on_connected);
        cxxtools::connect(socket_.inputReady, *this, &peer_link::on_input);
        cxxtools::connect(socket_.outputReady, *this, &peer_link::on_output);
    }

    void open(cxxtools::SelectorBase& selector, const std::string& address)
    {
        const auto target = split_address(address);
        if (!target)
            return close();
        try
        {
            socket_.setSelector(&selector);
            // A connect that succeeds at once is signalled by its caller.
            if (socket_.beginConnect(target->host, target->port))
                on_connected(socket_);
        }
        catch (const std::exception&)
        {
            close();
        }
    }

    void accept(cxxtools::SelectorBase& selector,
                const cxxtools::net::TcpServer& server)
    {
        socket_.accept(server);
        socket_.setSelector(&selector);
        start();
    }

    void send(const wire::message& msg)
    {
        const std::string frame = wire::make_frame(wire::pack(msg));
        if (!ready())
        {
            before_ready_ += frame;
            return limit(before_ready_);
        }
        write(frame);
    }

    bool flushed() const
    {
        return before_ready_.empty() && waiting_.empty() && sending_.empty();
    }
    bool ready() const { return handshake_.done(); }
    bool open_failed() const { return closing_ && !ready(); }
    bool closing() const { return closing_; }
    const wire::hello& peer() const { return handshake_.peer(); }
    std::string expected_vm; ///< whom an outgoing link shall reach

    void close()
    {
        if (std::exchange(closing_, true))
            return;
        socket_.close();
        on_closed_(*this);
    }

private:
    void on_connected(cxxtools::net::TcpSocket&)
    {
        try
        {
            socket_.endConnect();
            start();
        }
        catch (const std::exception&)
        {
            close();
        }
    }

    void start()
    {
        write(wire::make_frame(wire::pack(handshake_.own())));
        if (!closing_)
            socket_.beginRead(in_.data(), in_.size());
    }

    void on_input(cxxtools::IODevice&)
    {
        try
        {
            const std::size_t n = socket_.endRead();
            if (n == 0)
                return close();
            context_.counters.bytes_received += n;
            if (is_flood(n))
                return refuse({base::error_code::too_large, base::step::receive,
                               "", "handshake is larger than allowed"});
            decoder_.append({in_.data(), n});
            drain_frames();
            if (!closing_)
                socket_.beginRead(in_.data(), in_.size());
        }
        catch (const std::exception&)
        {
            close();
        }
    }

    // Counts what comes before the other side has proved itself.
    bool is_flood(std::size_t n)
    {
        if (ready())
            return false;
        before_proof_ += n;
        return before_proof_ > max_handshake_bytes;
    }

    void drain_frames()
    {
        while (!closing_)
        {
            const auto frame = decoder_.next();
            if (!frame)
                return refuse(frame.error());
            if (!*frame)
                return;
            auto msg = wire::unpack(**frame);
            if (!msg)
                return refuse(msg.error());
            ++context_.counters.frames_received;
            take(std::move(*msg));
        }
    }

    void take(wire::message msg)
    {
        if (ready())
            return context_.handlers.on_message(peer().vm, peer().incarnation,
                                                std::move(msg));
        const auto reply = handshake_.receive(msg);
        if (!reply)
            return refuse(reply.error());
        if (*reply)
            write(wire::make_frame(wire::pack(**reply)));
        if (!ready())
            return;
        if (!expected_vm.empty() && expected_vm != peer().vm)
            return refuse({base::error_code::unauthorized, base::step::connect,
                           peer().vm, "another VM answers at this address"});
        write(std::exchange(before_ready_, {}));
    }

    void refuse(base::error reason)
    {
        if (reason.peer.empty())
            reason.peer = peer().vm;
        ++context_.counters.links_refused;
        context_.handlers.on_refused(reason);
        close();
    }

    void write(const std::string& bytes)
    {
        if (closing_ || bytes.empty())
            return;
        ++context_.counters.frames_sent;
        context_.counters.bytes_sent += bytes.size();
        waiting_ += bytes;
        if (sending_.empty())
            begin_write();
        else
            limit(waiting_);
    }

    void limit(const std::string& queue)
    {
        if (queue.size() > context_.options.max_queue_bytes)
            close();
    }

    void begin_write()
    {
        sending_ = std::exchange(waiting_, {});
        sent_ = 0;
        continue_write();
    }

    void continue_write()
    {
        try
        {
            socket_.beginWrite(sending_.data() + sent_,
                               sending_.size() - sent_);
        }
        catch (const std::exception&)
        {
            close();
        }
    }

    void on_output(cxxtools::IODevice&)
    {
        try
        {
            sent_ += socket_.endWrite();
        }
        catch (const std::exception&)
        {
            return close();
        }
        if (sent_ < sending_.size())
            return continue_write();
        sending_.clear();
        if (!waiting_.empty())
            begin_write();
    }

    link_context context_;
    closed on_closed_;
    wire::handshake handshake_;
    wire::frame_decoder decoder_;
    cxxtools::net::TcpSocket socket_;
    std::array<char, read_bytes> in_{};
    std::string before_ready_; ///< frames that wait for the handshake
    std::string waiting_;      ///< frames that wait for sending_ to be written
    std::string sending_;      ///< the write that is under way
    std::size_t sent_ = 0;     ///< bytes of sending_ that are written
    std::size_t before_proof_ = 0; ///< bytes received before ready()
    bool closing_ = false;
};

/// When a link that never came up may be tried again.
struct retry_state
{
    base::milliseconds pause{0};
    base::instant due{};
};

struct peer_transport::impl : public cxxtools::Connectable
{
    loop& owner;
    peer_transport_options options;
    peer_handlers handlers;
    peer_counters counters;
    cxxtools::net::TcpServer server;
    std::map<std::string, std::shared_ptr<peer_link>> outgoing; // by VM
    std::vector<std::shared_ptr<peer_link>> incoming;
    std::map<std::string, retry_state> retries; // links that never came up
    std::set<std::string> refused_sends;        // not reported yet
    bool report_is_due = false;                 // of strangers that were closed

    impl(loop& l, peer_transport_options o, peer_handlers h)
        : owner(l), options(std::move(o)), handlers(std::move(h)),
          server(options.listen_address, options.listen_port, listen_backlog)
    {
        server.setSelector(&selector());
        cxxtools::connect(server.connectionPending, *this, &impl::on_pending);
    }

    cxxtools::SelectorBase& selector()
    {
        return *static_cast<cxxtools::SelectorBase*>(owner.selector());
    }

    link_context context() { return {options, handlers, counters}; }

    void on_pending(cxxtools::net::TcpServer& from)
    {
        auto link = std::make_shared<peer_link>(
            context(), wire::link_side::accepting,
            [this](peer_link& gone) { drop_incoming(gone); });
        incoming.push_back(link);
        try
        {
            link->accept(selector(), from);
        }
        catch (const std::exception&)
        {
            link->close();
        }
        watch_handshake(link);
        close_oldest_stranger();
    }

    // Anybody may connect; what a stranger holds ends with connect_timeout, and
    // the number of strangers is bounded.
    void close_oldest_stranger()
    {
        const auto is_strange = [](const auto& link)
        { return !link->ready() && !link->closing(); };
        const auto strangers = static_cast<std::size_t>(
            std::count_if(incoming.begin(), incoming.end(), is_strange));
        if (strangers <= options.max_strange_links)
            return;
        const auto oldest =
            *std::find_if(incoming.begin(), incoming.end(), is_strange);
        ++counters.strangers_closed;
        report_strangers_later();
        oldest->close();
    }

    // One report for all that are closed within a while.
    void report_strangers_later()
    {
        if (std::exchange(report_is_due, true))
            return;
        const auto before = counters.strangers_closed - 1;
        owner.at(std::chrono::steady_clock::now() + strangers_report_period,
                 [this, before]
                 {
                     report_is_due = false;
                     const auto n = counters.strangers_closed - before;
                     handlers.on_refused(
                         {base::error_code::too_large, base::step::connect, "",
                          std::to_string(n) + " links were closed, too many "
                                              "strangers connect at once"});
                 });
    }

    void drop_incoming(const peer_link& gone)
    {
        const auto it =
            std::find_if(incoming.begin(), incoming.end(),
                         [&gone](auto& link) { return link.get() == &gone; });
        if (it == incoming.end())
            return;
        // The link may be on the call stack: it is destroyed by the loop.
        owner.post([keep = *it] {});
        incoming.erase(it);
    }

    std::shared_ptr<peer_link> open(const std::string& vm,
                                    const std::string& address)
    {
        ++counters.links_tried;
        auto link = std::make_shared<peer_link>(
            context(), wire::link_side::connecting,
            [this, vm](peer_link& gone) { drop_outgoing(vm, gone); });
        link->expected_vm = vm;
        outgoing[vm] = link;
        link->open(selector(), address);
        watch_handshake(link);
        return link;
    }

    void drop_outgoing(const std::string& vm, const peer_link& gone)
    {
        const auto it = outgoing.find(vm);
        if (it == outgoing.end() || it->second.get() != &gone)
            return;
        const bool was_up = gone.ready();
        if (was_up)
            retries.erase(vm);
        else
            postpone(vm);
        owner.post([this, vm, was_up, keep = it->second]
                   { handlers.on_link_down(vm, was_up); });
        outgoing.erase(it);
    }

    void postpone(const std::string& vm)
    {
        auto& it = retries[vm];
        it.pause = std::clamp(2 * it.pause, options.least_retry_pause,
                              options.most_retry_pause);
        it.due = std::chrono::steady_clock::now() + it.pause;
    }

    bool too_soon(const std::string& vm) const
    {
        const auto it = retries.find(vm);
        return it != retries.end() &&
               std::chrono::steady_clock::now() < it->second.due;
    }

    // Reports once for all messages that are refused before the loop goes on.
    void refuse_send(const std::string& vm)
    {
        if (!refused_sends.insert(vm).second)
            return;
        owner.post(
            [this, vm]
            {
                refused_sends.erase(vm);
                handlers.on_link_down(vm, false);
            });
    }

    void watch_handshake(const std::shared_ptr<peer_link>& link)
    {
        const auto due =
            std::chrono::steady_clock::now() + options.connect_timeout;
        owner.at(due,
                 [it = std::weak_ptr<peer_link>(link)]
                 {
                     const auto open = it.lock();
                     if (open && !open->ready())
                         open->close();
                 });
    }
};

peer_transport::peer_transport(loop& owner, peer_transport_options options,
                               peer_handlers handlers)
{
    const std::string where =
        options.listen_address + ":" + std::to_string(options.listen_port);
    try
    {
        impl_ = std::make_unique<impl>(owner, std::move(options),
                                       std::move(handlers));
    }
    catch (const std::exception& ex)
    {
        throw std::runtime_error("cannot listen on " + where + ": " +
                                 ex.what());
    }
}

peer_transport::~peer_transport() = default;

void peer_transport::send(const std::string& vm, const std::string& address,
                          const wire::message& msg)
{
    const auto it = impl_->outgoing.find(vm);
    if (it == impl_->outgoing.end() && impl_->too_soon(vm))
        return impl_->refuse_send(vm);
    const auto link =
        it == impl_->outgoing.end() ? impl_->open(vm, address) : it->second;
    link->send(msg);
}

bool peer_transport::flushed() const
{
    return std::all_of(impl_->outgoing.begin(), impl_->outgoing.end(),
                       [](const auto& it) { return it.second->flushed(); });
}

const peer_counters& peer_transport::counters() const
{
    return impl_->counters;
}

} // namespace mimosacroft::net
