// Logging never waits: a full ring leaves lines out and tells how many.
#include "poplarpitch/telemetry/line_ring.h"

#include <gtest/gtest.h>

#include <csignal>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace poplarpitch {
namespace {

/// A pipe whose reader a test controls.
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

TEST(line_ring, leaves_out_what_does_not_fit_and_tells_so) {
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

TEST(line_ring, returns_at_once_when_the_reader_has_stopped_and_goes_on_where_it_was) {
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

TEST(line_ring, drops_everything_when_nobody_reads_any_more) {
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
