// Logging never blocks. A full ring leaves lines out and reports how many.
#include "poplarpitch/telemetry/line_ring.h"

#include "poplarpitch/telemetry/log_event.h"
#include "poplarpitch/telemetry/ring_appender.h"

#include <gtest/gtest.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <csignal>
#include <fcntl.h>
#include <memory>
#include <string>
#include <unistd.h>

namespace poplarpitch {
namespace {

/// A pipe whose read end is controlled by the test.
class test_pipe {
public:
    test_pipe() { EXPECT_EQ(::pipe2(m_ends, O_NONBLOCK), 0); }
    ~test_pipe() {
        ::close(m_ends[0]);
        ::close(m_ends[1]);
    }
    test_pipe(const test_pipe&) = delete;
    test_pipe& operator=(const test_pipe&) = delete;

    [[nodiscard]] int get_writer() const { return m_ends[1]; }

    [[nodiscard]] std::string read() const {
        std::string bytes(1U << 20, '\0');
        const auto count = ::read(m_ends[0], bytes.data(), bytes.size());
        bytes.resize(count < 0 ? 0 : static_cast<std::size_t>(count));
        return bytes;
    }

private:
    int m_ends[2] = {-1, -1};
};

TEST(line_ring, writes_lines_in_order) {
    const test_pipe pipe;
    line_ring ring(1000);
    ring.add("one\n");
    ring.add("two\n");
    ring.write_to(pipe.get_writer());
    EXPECT_TRUE(ring.is_empty());
    EXPECT_EQ(pipe.read(), "one\ntwo\n");
}

TEST(line_ring, leaves_out_lines_that_do_not_fit_and_reports_them) {
    const test_pipe pipe;
    line_ring ring(10);
    ring.add("12345678\n");
    ring.add("left out\n");
    ring.add("left out\n");
    EXPECT_EQ(ring.get_left_out(), 2U);
    ring.write_to(pipe.get_writer());
    ring.add("next\n");
    ring.write_to(pipe.get_writer());
    EXPECT_EQ(pipe.read(), "12345678\nlevel=WARN event=log_lines_left_out count=2\nnext\n");
}

TEST(line_ring, leaves_out_ordinary_lines_before_history_lines) {
    const test_pipe pipe;
    line_ring ring(40, 20);
    ring.add("ordinary 1\n");
    ring.add("ordinary 2\n"); // would use the reserved part
    ring.add("history 1\n", log_class::history);
    ring.add("history 2\n", log_class::history);
    EXPECT_EQ(ring.get_left_out(), 1U);
    ring.add("history 3\n", log_class::history);
    EXPECT_EQ(ring.get_left_out(), 2U);
    ring.write_to(pipe.get_writer());
    const auto written = pipe.read();
    EXPECT_NE(written.find("ordinary 1\n"), std::string::npos);
    EXPECT_EQ(written.find("ordinary 2\n"), std::string::npos);
    EXPECT_NE(written.find("history 1\n"), std::string::npos);
}

TEST(line_ring, reserves_space_for_history_events_during_a_flood_of_ordinary_ones) {
    static const log4cplus::Initializer initializer;
    auto* ring = new ring_appender(4000, 2000); // NOLINT: log4cplus counts the references
    const log4cplus::SharedAppenderPtr appender(ring);
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    appender->setName("ring");
    auto root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
    for (int number = 0; number < 1000; ++number) {
        log_event(log_level::warn, "flood").add("number", number);
    }
    const auto left_out = ring->get_ring().get_left_out();
    log_event(log_level::info, "run_ended", log_class::history).add("run", 1);
    EXPECT_GT(left_out, 0U);
    EXPECT_EQ(ring->get_ring().get_left_out(), left_out);
    log_event(log_level::warn, "flood").add("number", 1000);
    EXPECT_EQ(ring->get_ring().get_left_out(), left_out + 1);
    root.removeAppender(appender);
    root.setLogLevel(log4cplus::OFF_LOG_LEVEL);
    testing::internal::CaptureStdout();
    appender->close();
    EXPECT_NE(testing::internal::GetCapturedStdout().find("event=run_ended run=1\n"), std::string::npos);
}

TEST(line_ring, returns_at_once_when_the_reader_has_stopped_and_resumes_later) {
    const test_pipe pipe;
    line_ring ring(1U << 20);
    std::string expected;
    for (int number = 0; number < 10000; ++number) {
        const auto line = "line " + std::to_string(number) + "\n";
        expected += line;
        ring.add(line);
    }
    std::string seen;
    while (!ring.is_empty()) {
        ring.write_to(pipe.get_writer()); // returns when the pipe is full
        seen += pipe.read();
    }
    EXPECT_EQ(seen, expected);
}

TEST(line_ring, drops_all_lines_when_the_reader_has_closed_the_pipe) {
    int ends[2] = {-1, -1};
    ASSERT_EQ(::pipe2(ends, O_NONBLOCK), 0);
    ::close(ends[0]);
    line_ring ring(1000);
    ring.add("one\n");
    ::signal(SIGPIPE, SIG_IGN);
    ring.write_to(ends[1]);
    EXPECT_TRUE(ring.is_empty());
    ::close(ends[1]);
}

} // namespace
} // namespace poplarpitch
