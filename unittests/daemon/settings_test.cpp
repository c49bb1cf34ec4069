// Wrong settings stop the start with one clear line and exit code 2.
#include "process_fleet.hpp"

#include <CppUTest/TestHarness.h>
#include <fstream>
#include <sstream>

using namespace mimosacroft;

namespace
{

struct wrong_setting
{
    std::string program;
    std::vector<std::string> args;
    std::string line;
};

// The settings that mimosad cannot do without, and some more.
std::vector<std::string> daemon_with(std::vector<std::string> more)
{
    more.insert(more.end(),
                {"--vm", "a", "--data-centre", "b", "--platform-address",
                 "127.0.0.1:1", "--peer-secret", "c", "--operator-token-sha256",
                 "d"});
    return more;
}

const std::vector<wrong_setting> wrong_settings = {
    {"mimosad", {"--vm", "a"}, "setting data-centre: is missing"},
    {"mimosad", daemon_with({"--handover-wait-ms", "2999"}),
     "setting handover-wait-ms: found \"2999\" (flag), allowed is a whole "
     "number from 3000, twice view-ttl-ms"},
    {"mimosad", daemon_with({"--view-ttl-ms", "2000"}),
     "setting handover-wait-ms: found \"3500\" (default), allowed is a whole "
     "number from 4000, twice view-ttl-ms"},
    {"mimosad", daemon_with({"--seeds", "a,b,c"}),
     "setting seeds: found \"a,b,c\" (flag), allowed is "
     "id,data-centre,ip:port"},
    {"standin-platform",
     {"--http-address", "nowhere"},
     "setting http-address: found \"nowhere\" (flag), allowed is ip:port"},
    {"standin-platform",
     {"--vm-lag-ms", "-1"},
     "setting vm-lag-ms: found \"-1\" (flag), allowed is a whole number"},
    {"standin-platform", {"--no-such", "1"}, "no-such"},
    {"standin-platform", {"more"}, "argument \"more\""},
    {"mimosactl", {"status"}, "setting operator-token: is missing"}};

} // namespace

TEST_GROUP(settings){};

TEST(settings, a_wrong_one_stops_the_start_with_one_line)
{
    for (const auto& wrong : wrong_settings)
    {
        const std::string log = MIMOSA_BINARY_DIR "/test-settings.log";
        tests::process it(wrong.program, wrong.args, log);
        CHECK_TEXT(tests::eventually([&] { return it.ended(); }),
                   wrong.line.c_str());
        LONGS_EQUAL(2, it.wait());
        std::ifstream in(log);
        std::string line;
        std::string more;
        std::getline(in, line);
        STRCMP_CONTAINS(wrong.line.c_str(), line.c_str());
        STRCMP_CONTAINS((wrong.program + ": ").c_str(), line.c_str());
        CHECK_FALSE(std::getline(in, more));
    }
}
