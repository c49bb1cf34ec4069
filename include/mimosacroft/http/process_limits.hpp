// What a process may hold for others, derived from the memory and the
// descriptors that it has.
#ifndef MIMOSACROFT_HTTP_PROCESS_LIMITS_HPP
#define MIMOSACROFT_HTTP_PROCESS_LIMITS_HPP

#include <cstddef>

namespace mimosacroft::http
{

// The memory is shared out: 3/16 for accepted connections, with what the kernel
// receives on each and the free part of the budget; 3/16 for the bytes of the
// budget; 1/8 for answers of servers that are not whole, which the growth of
// their buffers may double; 1/16 for earlier states of what the store holds.
// The rest is for the program, what it knows, and the requests under way. The
// sockets are shared out: a third at most for accepted connections, a few for
// listening and for calls to the platform, and the rest for connections that
// the process makes.
struct process_limits
{
    std::size_t budget_bytes = 0; ///< of server_budget
    std::size_t accepted = 0;     ///< connections, at all ports
    std::size_t made = 0;         ///< connections to others
    std::size_t unfinished_answer_bytes = 0;
    std::size_t past_bytes = 0; ///< earlier states of the store's objects

    bool operator==(const process_limits&) const = default;
};

/// `memory_bytes` is 0 if it is not known; that of a small VM is assumed then.
process_limits limits_for(std::size_t memory_bytes, std::size_t sockets);

/// Sockets that the system lets this process have.
std::size_t allowed_sockets();

} // namespace mimosacroft::http

#endif
