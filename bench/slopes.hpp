// Measured points of slopes, for the programs in bench/.
#ifndef MIMOSACROFT_BENCH_SLOPES_HPP
#define MIMOSACROFT_BENCH_SLOPES_HPP

#include <algorithm>
#include <cstdint>
#include <ctime>
#include <iostream>
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace mimosacroft::bench
{

/// Processor time of this thread, in microseconds. What else the machine does
/// counts only as far as it takes caches and clock speed.
inline double cpu_us()
{
    timespec it{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &it);
    return static_cast<double>(it.tv_sec) * 1e6 +
           static_cast<double>(it.tv_nsec) / 1e3;
}

/// Bytes of the heap that are in use.
inline double heap_bytes()
{
    const auto it = mallinfo2();
    return static_cast<double>(it.uordblks + it.hblkhd);
}

/// The median of the figures that `fn` gives in `rounds` runs.
template <typename Fn>
double median_of(std::size_t rounds, Fn fn)
{
    std::vector<double> all;
    for (std::size_t n = 0; n < rounds; ++n)
        all.push_back(fn());
    std::ranges::sort(all);
    return all[all.size() / 2];
}

/// Slopes by name, each a list of points of x and y.
class slopes
{
public:
    void add(const std::string& name, double x, double y)
    {
        all_[name].push_back({x, y});
        std::cerr << name << " " << x << " " << y << "\n";
    }

    /// Writes the JSON to the standard output.
    void print(const std::string& program) const
    {
        std::cout
            << nlohmann::json{{"program", program}, {"slopes", all_}}.dump(1)
            << "\n";
    }

private:
    nlohmann::json all_;
};

} // namespace mimosacroft::bench

#endif
