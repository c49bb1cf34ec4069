// Compares the pages with the code.
#include "mimosacroft/core/events.hpp"
#include "process_fleet.hpp"

#include <CppUTest/TestHarness.h>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

using namespace mimosacroft;

namespace
{

const std::string source_dir = MIMOSA_SOURCE_DIR;

std::string read(const std::filesystem::path& path)
{
    std::ifstream in(path);
    std::stringstream out;
    out << in.rdbuf();
    return out.str();
}

std::string severity_name(core::severity it)
{
    static const std::string names[] = {"info", "warning", "error"};
    return names[static_cast<std::size_t>(it)];
}

// Every test of the project, as GROUP.NAME.
std::set<std::string> all_tests()
{
    static const std::regex test(R"(\nTEST\((\w+),\s*(\w+)\))");
    std::set<std::string> out;
    const std::filesystem::recursive_directory_iterator files(source_dir +
                                                              "/unittests");
    for (const auto& it : files)
    {
        if (it.path().extension() != ".cpp")
            continue;
        const auto text = read(it.path());
        for (std::sregex_iterator m(text.begin(), text.end(), test), end;
             m != end; ++m)
            out.insert((*m)[1].str() + "." + (*m)[2].str());
    }
    return out;
}

} // namespace

TEST_GROUP(docs){};

TEST(docs, the_catalogue_lists_every_event_and_no_other)
{
    const auto page = read(source_dir + "/docs/events.md");
    static const std::regex row(R"(\n\| (\d+) \| (\w+) \| (\w+) \|)");
    std::set<std::string> listed;
    for (std::sregex_iterator m(page.begin(), page.end(), row), end; m != end;
         ++m)
        listed.insert((*m)[1].str() + " " + (*m)[2].str() + " " +
                      (*m)[3].str());
    std::set<std::string> defined;
    for (const auto& it : core::event_table)
        defined.insert(std::to_string(static_cast<int>(it.id)) + " " +
                       std::string(it.name) + " " + severity_name(it.level));
    CHECK(listed == defined);
    LONGS_EQUAL(core::event_table.size(), defined.size());
}

TEST(docs, every_proof_names_a_test_that_exists)
{
    const auto page = read(source_dir + "/docs/PROOFS.md");
    const auto tests = all_tests();
    static const std::regex name(R"(`(\w+\.\w+)`)");
    for (std::sregex_iterator m(page.begin(), page.end(), name), end; m != end;
         ++m)
        CHECK_TEXT((*m)[1].str().ends_with(".hpp") ||
                       (*m)[1].str().ends_with(".txt") ||
                       tests.contains((*m)[1].str()),
                   ("no such test: " + (*m)[1].str()).c_str());
}

TEST(docs, the_settings_page_shows_what_each_program_takes)
{
    const auto page = read(source_dir + "/docs/settings.md");
    for (const std::string program : {"mimosad", "mimosactl", "mimosa-load",
                                      "standin-upstream", "standin-platform"})
    {
        const std::string log = MIMOSA_BINARY_DIR "/test-settings-page.log";
        tests::process it(program, {"--settings-page"}, log);
        LONGS_EQUAL(0, it.wait());
        CHECK_TEXT(
            page.find(read(log)) != std::string::npos,
            ("run scripts/settings-page, its settings differ: " + program)
                .c_str());
    }
}
