#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/telemetry/metrics_registry.h"

#include <gtest/gtest.h>

#include <thread>
#include <vector>

namespace poplarpitch {
namespace {

bool has_line(const metrics_registry& metrics, const std::string& line) {
    return metrics.format().find(line + "\n") != std::string::npos;
}

TEST(metrics_registry, adds_up_the_counts_of_many_threads) {
    metrics_registry metrics;
    std::vector<std::thread> threads;
    threads.reserve(20);
    for (int thread = 0; thread < 20; ++thread) {
        threads.emplace_back([&] {
            for (int index = 0; index < 100; ++index) {
                metrics.count("requests", {"t", "s", "done"});
                metrics.observe("seconds", {"t", "s", ""}, milliseconds{10});
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    EXPECT_TRUE(has_line(metrics, "requests{tenant=\"t\",service=\"s\",outcome=\"done\"} 2000"));
    EXPECT_TRUE(has_line(metrics, "seconds_count{tenant=\"t\",service=\"s\"} 2000"));
    EXPECT_TRUE(has_line(metrics, "seconds_bucket{tenant=\"t\",service=\"s\",le=\"+Inf\"} 2000"));
}

TEST(metrics_registry, bounds_the_series_of_arbitrary_names) {
    metrics_registry metrics;
    for (int index = 0; index < 2000; ++index) {
        metrics.count("requests", {"tenant-" + std::to_string(index), "s", "done"});
    }
    EXPECT_TRUE(has_line(metrics, "requests{tenant=\"other\",service=\"other\",outcome=\"done\"} 1500"));
}

TEST(metrics_registry, escapes_labels) {
    metrics_registry metrics;
    metrics.set("gauge", {"a\"b\\c", "", ""}, 2);
    EXPECT_TRUE(has_line(metrics, "gauge{tenant=\"a\\\"b\\\\c\"} 2"));
}

TEST(log_event, quotes_values_that_would_be_ambiguous) {
    log_event event(log_level::debug, "test");
    event.add("plain", "a-b")
        .add("blank", "a b")
        .add("quote", "a\"b")
        .add("line", "a\nb")
        .add("empty", "")
        .add("n", 5);
    EXPECT_EQ(event.get_line(),
              "event=test plain=a-b blank=\"a b\" quote=\"a\\\"b\" line=\"a b\" empty=\"\" n=5");
}

} // namespace
} // namespace poplarpitch
