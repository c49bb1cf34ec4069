// Tests of the metrics: the text format, and bounded memory.
#include "mimosacroft/base/metrics.hpp"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace mimosacroft;
using base::with_label;

namespace
{

bool has_line(const std::string& text, const std::string& line)
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

TEST_GROUP(metrics)
{
    base::metrics all;
};

TEST(metrics, labels_are_joined_and_escaped)
{
    const auto one = with_label("requests_total", "search", "a\"b\\c\nd");
    STRCMP_EQUAL("requests_total{search=\"a\\\"b\\\\c\\nd\"}", one.c_str());
    STRCMP_EQUAL("n{a=\"1\",b=\"2\"}",
                 with_label(with_label("n", "a", "1"), "b", "2").c_str());
}

TEST(metrics, counters_add_up_and_gauges_hold_the_last_value)
{
    all.add("n_total");
    all.add("n_total", 4);
    all.set("g", 1);
    all.set("g", 2.5);
    CHECK(has_line(all.render(), "n_total 5"));
    CHECK(has_line(all.render(), "g 2.5"));
}

TEST(metrics, a_histogram_counts_all_that_is_no_more_than_the_bound)
{
    const auto name = with_label("took_seconds", "search", "s");
    for (const double it : {0.0005, 0.1, 0.1001, 60.0})
        all.observe_seconds(name, it);
    const auto text = all.render();
    CHECK(has_line(text, "took_seconds_bucket{search=\"s\",le=\"0.001\"} 1"));
    CHECK(has_line(text, "took_seconds_bucket{search=\"s\",le=\"0.1\"} 2"));
    CHECK(has_line(text, "took_seconds_bucket{search=\"s\",le=\"0.15\"} 3"));
    CHECK(has_line(text, "took_seconds_bucket{search=\"s\",le=\"+Inf\"} 4"));
    CHECK(has_line(text, "took_seconds_count{search=\"s\"} 4"));
}

// Pattern: a label that takes ever new values.
TEST(metrics, memory_is_bounded_and_what_is_left_out_is_said)
{
    const auto n = base::metrics::most_series + 100;
    for (std::size_t it = 0; it < n; ++it)
        all.add(with_label("n_total", "id", std::to_string(it)));
    all.observe_seconds("took_seconds", 1);
    all.set("g", 1);
    // What is kept goes on counting.
    all.add(with_label("n_total", "id", "0"));
    CHECK(has_line(all.render(), "n_total{id=\"0\"} 2"));
    CHECK(has_line(all.render(), "mimosa_metrics_left_out_total 102"));
}
