// What a process may hold for others.
#include "mimosacroft/http/process_limits.hpp"

#include "mimosacroft/http/asio.hpp"
#include "mimosacroft/http/server_budget.hpp"

#include <algorithm>
#include <sys/resource.h>

namespace mimosacroft::http
{

namespace
{

constexpr std::size_t default_memory_bytes = std::size_t{256} << 20;
// In sixteenths of the memory.
constexpr std::size_t connections_share = 3;
constexpr std::size_t budget_share = 3;
constexpr std::size_t answers_share = 2;
constexpr std::size_t past_share = 1;
constexpr std::size_t max_answer_bytes = std::size_t{48} << 20;
// A connection with its parser, beside its buffers.
constexpr std::size_t connection_object_bytes = std::size_t{2} * 1024;
// The kernel may count twice the size that was asked for.
constexpr std::size_t bytes_per_connection =
    connection_object_bytes + std::size_t{2} * receive_buffer_bytes +
    server_budget::free_bytes_per_connection;

constexpr std::size_t accepted_divisor = 3;
constexpr std::size_t other_sockets = 16;
// Descriptors of the process that are no sockets.
constexpr std::size_t reserved_files = 64;

std::size_t part_of(std::size_t all, std::size_t sixteenths)
{
    return all / 16 * sixteenths;
}

} // namespace

process_limits limits_for(std::size_t memory_bytes, std::size_t sockets)
{
    const auto memory = memory_bytes > 0 ? memory_bytes : default_memory_bytes;
    const auto accepted_by_memory =
        part_of(memory, connections_share) / bytes_per_connection;
    process_limits out;
    out.budget_bytes = part_of(memory, budget_share);
    out.accepted = std::min(accepted_by_memory, sockets / accepted_divisor);
    out.made = sockets - std::min(sockets, out.accepted + other_sockets);
    out.unfinished_answer_bytes =
        std::min(part_of(memory, answers_share), max_answer_bytes);
    out.past_bytes = part_of(memory, past_share);
    return out;
}

std::size_t allowed_sockets()
{
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return 0;
    constexpr rlim_t most = 1 << 20;
    const auto descriptors =
        static_cast<std::size_t>(std::min(limit.rlim_cur, most));
    return descriptors - std::min(descriptors, reserved_files);
}

} // namespace mimosacroft::http
