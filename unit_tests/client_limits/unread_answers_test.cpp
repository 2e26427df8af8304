// Clients that send requests and never read the answers.
#include "unit_tests/client_limits/limits_fixture.h"

#include <string>

namespace poplarpitch {
namespace {

/// Requests one after the other.
crowd_message make_pipeline(const std::string& path, std::size_t bytes) {
    return {"", "GET " + path + " HTTP/1.1\r\nHost: mill.example\r\n\r\n", bytes};
}

TEST_F(client_limits, hold_answers_that_callers_never_read) {
    expect_held(m_cluster->get_caller_address(), 3100, make_pipeline("/jobs/00000000000000aa", 256U << 10));
    EXPECT_LE(m_entry->count_descriptors(), entry_descriptors);
}

TEST_F(client_limits, hold_metrics_that_are_never_read) {
    expect_held(m_cluster->get_gateway_metrics_address(), 3100, make_pipeline("/metrics", 128U << 10));
}

} // namespace
} // namespace poplarpitch
