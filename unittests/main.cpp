// Runner of the unit tests. CppUTest's leak check reports the static objects of
// rapidcheck, so it is off; the sanitizer build looks for leaks instead.
// Passes over the tests that KNOWN-RED.txt names, and prints them.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

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

} // namespace

int main(int argc, char** argv)
{
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    std::vector<std::string> args(argv, argv + argc);
    for (const auto& it : known_red())
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
