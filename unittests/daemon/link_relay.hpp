// Passes TCP connections on between processes, and cuts them: closed, or silent
// as when packets are lost. One thread; ends with the object.
#ifndef MIMOSACROFT_UNITTESTS_DAEMON_LINK_RELAY_HPP
#define MIMOSACROFT_UNITTESTS_DAEMON_LINK_RELAY_HPP

#include "../net/raw_server.hpp"
#include "mimosacroft/base/time.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <list>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace mimosacroft::tests
{

enum class link_state
{
    open,
    closed, ///< links are closed, and new ones too
    silent  ///< links stay up, and no byte passes
};

/// One address that is passed on to another one.
struct relay_route
{
    int listen_port = 0;
    int target_port = 0;
    /// Only links whose first bytes contain this are cut; empty for all. A VM
    /// names itself in its first bytes, before it reads any.
    std::string cut_for;
};

class link_relay
{
public:
    explicit link_relay(std::vector<relay_route> routes)
        : routes_(std::move(routes))
    {
        for (const auto& it : routes_)
            listeners_.push_back(listen_at(it.listen_port));
        thread_ = std::thread([this] { run(); });
    }

    ~link_relay()
    {
        stop_ = true;
        thread_.join();
        for (const int fd : listeners_)
            ::close(fd);
        for (auto& it : links_)
            close_both(it);
    }

    link_relay(const link_relay&) = delete;
    link_relay& operator=(const link_relay&) = delete;

    void set(link_state state) { state_ = state; }

private:
    struct link
    {
        const relay_route* route = nullptr;
        std::array<int, 2> fds{-1, -1}; ///< of the caller and of the target
        std::string first_bytes;        ///< of the caller
        bool ended = false;
    };

    static constexpr int poll_ms = 20;

    static int listen_at(int port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto at = raw_server::loopback(port);
        if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) !=
                0 ||
            ::listen(fd, SOMAXCONN) != 0)
            throw std::runtime_error("cannot listen at " +
                                     std::to_string(port));
        return fd;
    }

    static void close_both(link& it)
    {
        for (int& fd : it.fds)
            ::close(std::exchange(fd, -1));
        it.ended = true;
    }

    bool is_cut(const link& it) const
    {
        return state_ != link_state::open &&
               it.first_bytes.find(it.route->cut_for) != std::string::npos;
    }

    void run()
    {
        while (!stop_)
        {
            if (state_ == link_state::closed)
                for (auto& it : links_)
                    if (is_cut(it))
                        close_both(it);
            links_.remove_if([](const link& it) { return it.ended; });
            step();
        }
    }

    void step()
    {
        std::vector<pollfd> all;
        for (const int fd : listeners_)
            all.push_back({fd, POLLIN, 0});
        std::vector<std::pair<link*, int>> sides;
        for (auto& it : links_)
            for (int n = 0; n < 2 && !is_cut(it); ++n)
            {
                sides.emplace_back(&it, n);
                all.push_back({it.fds[n], POLLIN, 0});
            }
        if (::poll(all.data(), all.size(), poll_ms) <= 0)
            return;
        for (std::size_t n = 0; n < sides.size(); ++n)
            if (all[listeners_.size() + n].revents != 0)
                pass_on(*sides[n].first, sides[n].second);
        for (std::size_t n = 0; n < listeners_.size(); ++n)
            if (all[n].revents != 0)
                accept_at(n);
    }

    void accept_at(std::size_t n)
    {
        link made;
        made.route = &routes_[n];
        made.fds[0] = ::accept4(listeners_[n], nullptr, nullptr, SOCK_CLOEXEC);
        made.fds[1] = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto at = raw_server::loopback(made.route->target_port);
        if (::connect(made.fds[1], reinterpret_cast<const sockaddr*>(&at),
                      sizeof at) != 0)
            return close_both(made);
        links_.push_back(made);
    }

    void pass_on(link& it, int from)
    {
        if (it.ended)
            return;
        std::array<char, 65536> buf;
        const auto n = ::recv(it.fds[from], buf.data(), buf.size(), 0);
        if (n <= 0)
            return close_both(it);
        const auto bytes = static_cast<std::size_t>(n);
        if (from == 0 && it.first_bytes.empty())
            it.first_bytes.assign(buf.data(), bytes);
        // A link that is cut loses what it read.
        if (!is_cut(it) && !send_all(it.fds[1 - from], buf.data(), bytes))
            close_both(it);
    }

    static bool send_all(int fd, const char* data, std::size_t size)
    {
        while (size > 0)
        {
            const auto n = ::send(fd, data, size, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            data += n;
            size -= static_cast<std::size_t>(n);
        }
        return true;
    }

    std::vector<relay_route> routes_; ///< does not change
    std::vector<int> listeners_;      ///< one for each route
    std::list<link> links_;           ///< of the thread
    std::atomic<link_state> state_{link_state::open};
    std::atomic<bool> stop_{false};
    std::thread thread_;
};

} // namespace mimosacroft::tests

#endif
