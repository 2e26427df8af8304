// Strangers at the port for frames between own processes.
#include "unit_tests/client_limits/limits_fixture.h"

#include <string>

namespace poplarpitch {
namespace {

/// A frame of the link between own processes, of which all but the last byte is sent.
crowd_message make_partial_frame(std::size_t bytes) {
    std::string header;
    for (std::size_t rest = bytes, byte = 0; byte < 4; ++byte, rest >>= 8U) {
        header += static_cast<char>(rest & 0xffU);
    }
    return {header, std::string(1000, 'x'), bytes - 1};
}

/// Status requests of the link, one after the other.
crowd_message make_status_requests(std::size_t bytes) {
    const std::string frame{'\x04', '\0', '\0', '\0', '\x12', '\x02', '\x08', '\x01'};
    return {"", frame, bytes};
}

TEST_F(client_limits, hold_partial_frames_of_strangers) {
    expect_held(m_cluster->get_link_address(1), 8, make_partial_frame(60U << 20));
}

TEST_F(client_limits, hold_partial_frames_that_strangers_may_send) {
    expect_held(m_cluster->get_link_address(1), 100, make_partial_frame(7U << 20));
}

TEST_F(client_limits, hold_status_answers_that_strangers_never_read) {
    expect_held(m_cluster->get_link_address(1), 40, make_status_requests(2U << 20));
}

TEST_F(client_limits, hold_idle_connections_at_the_link) {
    expect_held(m_cluster->get_link_address(1), 4500, crowd_message{});
    EXPECT_LE(m_scheduler->count_descriptors(), scheduler_descriptors);
}

} // namespace
} // namespace poplarpitch
