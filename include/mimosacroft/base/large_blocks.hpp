// How the process gets and returns memory.
#ifndef MIMOSACROFT_BASE_LARGE_BLOCKS_HPP
#define MIMOSACROFT_BASE_LARGE_BLOCKS_HPP

#include <malloc.h>

namespace mimosacroft::base
{

/// Large blocks are given back to the system when they are freed. By default
/// the C library keeps more and more of them, so that the memory of a process
/// stays at what a crowd of callers once made it take.
inline void return_large_blocks()
{
    constexpr int large_block_bytes = 128 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, large_block_bytes);
}

} // namespace mimosacroft::base

#endif
