// Runner of the unit tests. CppUTest's leak check reports the static objects of
// rapidcheck, so it is off; the sanitizer build looks for leaks instead.
// Passes over the tests that KNOWN-RED.txt names, and prints them.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

namespace
{

// The tests of KNOWN-RED.txt, as GROUP.NAME, from lines "test: GROUP.NAME".
std::vector<std::string> known_red()
{
    static const std::string key = "test: ";
    std::vector<std::string> out;
    std::ifstream in(MIMOSA_SOURCE_DIR "/KNOWN-RED.txt");
    for (std::string line; std::getline(in, line);)
        if (line.starts_with(key))
            out.push_back(line.substr(key.size()));
    return out;
}

// Filters by name are alternatives to each other, so that one that passes over
// a test would let all others run beside those that are asked for.
bool names_tests(const std::vector<std::string>& args)
{
    return std::ranges::any_of(args, [](const std::string& it)
                               { return it == "-sn" || it == "-n"; });
}

} // namespace

int main(int argc, char** argv)
{
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    std::vector<std::string> args(argv, argv + argc);
    const auto passed_over =
        names_tests(args) ? std::vector<std::string>() : known_red();
    for (const auto& it : passed_over)
    {
        std::printf("known red, passed over: %s\n", it.c_str());
        // The runner passes over by name, so the names in the list are unique.
        args.insert(args.end(), {"-xsn", it.substr(it.find('.') + 1)});
    }
    std::vector<char*> raw;
    for (auto& it : args)
        raw.push_back(it.data());
    return CommandLineTestRunner::RunAllTests(static_cast<int>(raw.size()),
                                              raw.data());
}
