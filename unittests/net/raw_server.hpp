// A server on a loopback socket that sends given bytes, for tests of the edges.
#ifndef MIMOSACROFT_UNITTESTS_NET_RAW_SERVER_HPP
#define MIMOSACROFT_UNITTESTS_NET_RAW_SERVER_HPP

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace mimosacroft::tests
{

/// What a raw server does with a connection once it has read something.
enum class after_reply
{
    close,
    keep ///< until the server ends
};

class raw_server
{
public:
    raw_server(std::string bytes, after_reply then)
        : bytes_(std::move(bytes)), then_(then)
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at = loopback(0);
        if (::bind(listener_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
            throw std::runtime_error("cannot bind a loopback port");
        socklen_t size = sizeof at;
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
        ::listen(listener_, 16);
        port_ = ntohs(at.sin_port);
        thread_ = std::thread([this] { run(); });
    }

    ~raw_server()
    {
        stop_ = true;
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }

    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    int accepted() const { return accepted_; }

    static sockaddr_in loopback(int port)
    {
        sockaddr_in out{};
        out.sin_family = AF_INET;
        out.sin_port = htons(static_cast<std::uint16_t>(port));
        out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return out;
    }

private:
    void run()
    {
        std::vector<int> open;
        while (!stop_)
        {
            const int link = ::accept(listener_, nullptr, nullptr);
            if (link < 0)
                break;
            ++accepted_;
            char buf[4096];
            if (::recv(link, buf, sizeof buf, 0) > 0 && !bytes_.empty())
                (void)!::send(link, bytes_.data(), bytes_.size(), MSG_NOSIGNAL);
            if (then_ == after_reply::close)
                ::close(link);
            else
                open.push_back(link);
        }
        for (const int it : open)
            ::close(it);
    }

    std::string bytes_;
    after_reply then_;
    int listener_ = -1;
    int port_ = 0;
    std::atomic<bool> stop_{false};
    std::atomic<int> accepted_{0};
    std::thread thread_;
};

/// Connects to a port, sends bytes in pieces, and gives what comes back until
/// the other side closes or is silent for two seconds.
inline std::string send_raw(int port, const std::vector<std::string>& pieces)
{
    const int link = ::socket(AF_INET, SOCK_STREAM, 0);
    const timeval limit{2, 0};
    ::setsockopt(link, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    sockaddr_in at = raw_server::loopback(port);
    std::string out;
    if (::connect(link, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0)
    {
        for (const auto& it : pieces)
        {
            (void)!::send(link, it.data(), it.size(), MSG_NOSIGNAL);
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        char buf[4096];
        for (ssize_t n = 0; (n = ::recv(link, buf, sizeof buf, 0)) > 0;)
            out.append(buf, static_cast<std::size_t>(n));
    }
    ::close(link);
    return out;
}

} // namespace mimosacroft::tests

#endif
