// Callers that do not behave: many connections at once that send what they are
// told as far as the other side takes it, and then stay open.
#ifndef MIMOSACROFT_UNITTESTS_CROWD_CROWD_HPP
#define MIMOSACROFT_UNITTESTS_CROWD_CROWD_HPP

#include "mimosacroft/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mimosacroft::tests
{

/// An address of loopback.
struct loopback_address
{
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;
};

/// What the callers of a crowd do, all the same.
struct crowd_plan
{
    loopback_address to;
    std::size_t callers = 0;
    /// What each sends, in this order; the second part again and again until
    /// `repeated_bytes` of it are sent. Nothing ends it.
    std::string first = {};
    std::string repeated = {};
    std::size_t repeated_bytes = 0;
    /// Whether what the other side sends is read.
    bool reads = false;
    /// A caller that is turned away comes back this often.
    int returns = 2;
};

/// One caller on a socket that never blocks.
class raw_caller
{
public:
    explicit raw_caller(const crowd_plan& plan);
    ~raw_caller();
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    /// Sends and reads what can be sent and read now, `most` bytes of each.
    /// False if nothing was.
    bool step(std::size_t most);
    /// The other side has ended the connection, and the caller stays away.
    bool is_gone() const { return descriptor_ < 0 && returns_left_ == 0; }

private:
    void connect();
    void leave();
    bool send(std::size_t most);
    bool receive(std::size_t most);
    /// What comes after the bytes that are sent.
    const char* next_bytes(std::size_t& length) const;

    const crowd_plan& plan_;
    int descriptor_ = -1;
    int returns_left_ = 0;
    std::size_t sent_ = 0;
};

class crowd
{
public:
    explicit crowd(crowd_plan plan);

    /// Lets all send until none gets on. `watch` is called in between.
    void press(const std::function<void()>& watch);
    /// Each sends and reads one byte now and then, until all are gone or it
    /// has lasted `most`. The number of those that are left.
    std::size_t drip(base::milliseconds pause, base::milliseconds most);

private:
    crowd_plan plan_;
    std::vector<std::unique_ptr<raw_caller>> callers_;
};

/// What a process holds.
class process_usage
{
public:
    /// `ports` are those that it listens on.
    process_usage(int process, std::vector<std::uint16_t> ports);

    /// Notes what it holds now.
    void sample();
    /// Its peak memory, and the most that the kernel held for it unread.
    std::size_t peak_bytes() const;
    std::size_t peak_sockets() const { return peak_sockets_; }

private:
    int process_;
    std::vector<std::uint16_t> ports_;
    std::size_t peak_unread_ = 0;
    std::size_t peak_sockets_ = 0;
};

/// One request on a connection of its own, as an ordinary caller sends it, and
/// up to two more tries. The status, or nothing without an answer.
std::optional<unsigned> ask(const loopback_address& to,
                            const std::string& request);

} // namespace mimosacroft::tests

#endif
