// Callers that do not behave.
#include "crowd.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <dirent.h>
#include <fcntl.h>
#include <fstream>
#include <memory>
#include <netinet/in.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace mimosacroft::tests
{

namespace
{

using base::milliseconds;
using steady = std::chrono::steady_clock;

constexpr std::size_t turn_bytes = std::size_t{64} * 1024;
// A crowd that gets on no further for this long presses no more.
constexpr milliseconds standstill{700};
// Far longer than a crowd takes; it only bounds the loop.
constexpr milliseconds longest_press{60'000};
constexpr int tries = 3;
constexpr int answer_patience_ms = 10'000;

int open_socket(const loopback_address& to, bool blocking)
{
    const int out = ::socket(
        AF_INET, SOCK_STREAM | SOCK_CLOEXEC | (blocking ? 0 : SOCK_NONBLOCK),
        0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    ::inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr);
    const int failed = ::connect(
        out, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    if (failed != 0 && errno != EINPROGRESS)
    {
        ::close(out);
        return -1;
    }
    return out;
}

bool would_wait()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN;
}

// The hexadecimal number after the colon of an address in /proc/net/tcp.
std::uint16_t port_of(const std::string& address)
{
    const auto text = address.substr(address.find(':') + 1);
    return static_cast<std::uint16_t>(std::stoul(text, nullptr, 16));
}

std::size_t number_in_status(int process, const std::string& name)
{
    std::ifstream in("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(in, line);)
        if (line.starts_with(name + ":"))
            return std::stoul(line.substr(name.size() + 1));
    return 0;
}

// What the kernel has received at these ports and nobody has read.
std::size_t unread_bytes(const std::vector<std::uint16_t>& ports)
{
    std::ifstream in("/proc/net/tcp");
    std::string line;
    std::getline(in, line); // the head of the table
    std::size_t out = 0;
    while (std::getline(in, line))
    {
        std::istringstream row(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        row >> number >> local >> remote >> state >> queues;
        const bool listens = state == "0A";
        if (listens || std::ranges::find(ports, port_of(local)) == ports.end())
            continue;
        out += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
    }
    return out;
}

std::size_t count_sockets(int process)
{
    const auto folder = "/proc/" + std::to_string(process) + "/fd";
    DIR* const open = ::opendir(folder.c_str());
    if (!open)
        return 0;
    std::size_t out = 0;
    while (const dirent* it = ::readdir(open))
    {
        std::array<char, 64> target{};
        const auto path = folder + "/" + it->d_name;
        const auto n =
            ::readlink(path.c_str(), target.data(), target.size() - 1);
        out += n > 0 && std::string_view(target.data()).starts_with("socket:");
    }
    ::closedir(open);
    return out;
}

// The status of the answer on a connection, or nothing.
std::optional<unsigned> exchange(int descriptor, const std::string& request)
{
    if (::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) !=
        static_cast<ssize_t>(request.size()))
        return std::nullopt;
    constexpr std::size_t status_at = 9; // after "HTTP/1.1 "
    constexpr std::size_t status_end = 12;
    std::string got;
    while (got.size() < status_end)
    {
        pollfd ready{descriptor, POLLIN, 0};
        std::array<char, 512> buf{};
        if (::poll(&ready, 1, answer_patience_ms) != 1)
            return std::nullopt;
        const auto n = ::recv(descriptor, buf.data(), buf.size(), 0);
        if (n <= 0)
            return std::nullopt;
        got.append(buf.data(), static_cast<std::size_t>(n));
    }
    unsigned out = 0;
    std::from_chars(got.data() + status_at, got.data() + status_end, out);
    return out;
}

} // namespace

raw_caller::raw_caller(const crowd_plan& plan)
    : plan_(plan), returns_left_(plan.returns)
{
    connect();
}

raw_caller::~raw_caller()
{
    leave();
}

void raw_caller::connect()
{
    descriptor_ = open_socket(plan_.to, false);
    sent_ = 0;
}

void raw_caller::leave()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
    descriptor_ = -1;
}

bool raw_caller::step(std::size_t most)
{
    if (descriptor_ < 0 && returns_left_ == 0)
        return false;
    if (descriptor_ < 0)
    {
        --returns_left_;
        connect();
        return true;
    }
    const bool has_sent = send(most);
    const bool has_read = descriptor_ >= 0 && receive(most);
    return has_sent || has_read;
}

const char* raw_caller::next_bytes(std::size_t& length) const
{
    if (sent_ < plan_.first.size())
    {
        length = plan_.first.size() - sent_;
        return plan_.first.data() + sent_;
    }
    const auto repeated = sent_ - plan_.first.size();
    if (plan_.repeated.empty() || repeated >= plan_.repeated_bytes)
    {
        length = 0;
        return nullptr;
    }
    const auto at = repeated % plan_.repeated.size();
    length =
        std::min(plan_.repeated.size() - at, plan_.repeated_bytes - repeated);
    return plan_.repeated.data() + at;
}

bool raw_caller::send(std::size_t most)
{
    std::size_t length = 0;
    const char* const bytes = next_bytes(length);
    if (length == 0)
        return false;
    const auto n =
        ::send(descriptor_, bytes, std::min(length, most), MSG_NOSIGNAL);
    if (n < 0 && !would_wait())
        leave();
    sent_ += n > 0 ? static_cast<std::size_t>(n) : 0;
    return n > 0;
}

// A caller that reads nothing still sees that its connection has ended: by the
// next byte that it sends, or by a look without taking anything.
bool raw_caller::receive(std::size_t most)
{
    std::array<char, turn_bytes> buf{};
    const auto n = ::recv(descriptor_, buf.data(), std::min(most, buf.size()),
                          plan_.reads ? 0 : MSG_PEEK);
    if (n == 0 || (n < 0 && !would_wait()))
        leave();
    return plan_.reads && n > 0;
}

crowd::crowd(crowd_plan plan) : plan_(std::move(plan))
{
    for (std::size_t n = 0; n < plan_.callers; ++n)
        callers_.push_back(std::make_unique<raw_caller>(plan_));
}

void crowd::press(const std::function<void()>& watch)
{
    const auto end = steady::now() + longest_press;
    auto last_progress = steady::now();
    while (steady::now() < std::min(end, last_progress + standstill))
    {
        const auto moved = std::ranges::count_if(
            callers_, [](const auto& it) { return it->step(turn_bytes); });
        if (moved > 0)
            last_progress = steady::now();
        else
            std::this_thread::sleep_for(milliseconds(5));
        watch();
    }
}

std::size_t crowd::drip(milliseconds pause, milliseconds most)
{
    const auto end = steady::now() + most;
    const auto left = [this]
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            callers_, [](const auto& it) { return !it->is_gone(); }));
    };
    while (left() > 0 && steady::now() < end)
    {
        for (const auto& it : callers_)
            it->step(1);
        std::this_thread::sleep_for(pause);
    }
    return left();
}

process_usage::process_usage(int process, std::vector<std::uint16_t> ports)
    : process_(process), ports_(std::move(ports))
{
}

void process_usage::sample()
{
    peak_unread_ = std::max(peak_unread_, unread_bytes(ports_));
    peak_sockets_ = std::max(peak_sockets_, count_sockets(process_));
}

std::size_t process_usage::peak_bytes() const
{
    return number_in_status(process_, "VmHWM") * 1024 + peak_unread_;
}

std::optional<unsigned> ask(const loopback_address& to,
                            const std::string& request)
{
    for (int n = 0; n < tries; ++n)
    {
        const int descriptor = open_socket(to, true);
        if (descriptor < 0)
            continue;
        const auto out = exchange(descriptor, request);
        ::close(descriptor);
        if (out == 200U)
            return out;
        std::this_thread::sleep_for(milliseconds(100));
        if (n + 1 == tries)
            return out;
    }
    return std::nullopt;
}

} // namespace mimosacroft::tests
