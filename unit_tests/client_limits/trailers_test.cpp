// Parts of a chunked message that are neither header nor body and never end.
#include "unit_tests/client_limits/limits_fixture.h"

#include <string>

namespace poplarpitch {
namespace {

const std::string chunked_post = "POST /jobs/0000000000000001 HTTP/1.1\r\nHost: mill.example\r\n"
                                 "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Trailer fields that never end.
crowd_message make_endless_trailers() {
    return {chunked_post + "2\r\n{}\r\n0\r\n", "X-Filler: " + std::string(1000, 'x') + "\r\n", 2U << 20};
}

/// A chunk whose extension never ends.
crowd_message make_endless_extension() {
    return {chunked_post + "2;filler=", std::string(1000, 'x'), 2U << 20};
}

TEST_F(client_limits, hold_endless_trailers_at_the_entry) {
    expect_held(m_cluster->get_caller_address(), 300, make_endless_trailers());
}

TEST_F(client_limits, hold_endless_trailers_at_the_health_check) {
    expect_held(m_cluster->get_readiness_address(), 300, make_endless_trailers());
}

TEST_F(client_limits, hold_endless_trailers_at_the_metrics_of_the_entry) {
    expect_held(m_cluster->get_gateway_metrics_address(), 300, make_endless_trailers());
}

TEST_F(client_limits, hold_endless_trailers_at_control) {
    expect_held(get_control_address(), 300, make_endless_trailers());
}

TEST_F(client_limits, hold_endless_trailers_at_the_metrics_of_a_scheduler) {
    expect_held(m_cluster->get_scheduler_metrics_address(1), 300, make_endless_trailers());
}

TEST_F(client_limits, hold_endless_chunk_extensions_at_the_entry) {
    expect_held(m_cluster->get_caller_address(), 300, make_endless_extension());
}

} // namespace
} // namespace poplarpitch
