// Crowds whose bodies are inside the limit of each connection, and bodies far over it.
#include "unit_tests/client_limits/limits_fixture.h"

#include <absl/strings/str_cat.h>

#include <string>

namespace poplarpitch {
namespace {

constexpr std::size_t body_bytes = 1U << 20;

const std::string chunked_post = "POST /jobs/0000000000000001 HTTP/1.1\r\nHost: mill.example\r\n"
                                 "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string make_post_header(std::size_t length) {
    return absl::StrCat("POST /jobs/0000000000000001 HTTP/1.1\r\nHost: mill.example\r\n",
                        "Content-Type: application/json\r\nContent-Length: ", length, "\r\n\r\n");
}

/// A body that lacks only its last byte.
crowd_message make_partial_body() {
    return {make_post_header(body_bytes), std::string(1000, 'x'), body_bytes - 1};
}

/// A body in chunks that is far larger than any limit.
crowd_message make_endless_chunks() {
    return {chunked_post, "3e8\r\n" + std::string(1000, 'x') + "\r\n", 4U << 20};
}

TEST_F(client_limits, hold_partial_bodies_at_the_entry) {
    expect_held(m_cluster->get_caller_address(), 300, make_partial_body());
}

TEST_F(client_limits, hold_partial_bodies_at_control) {
    expect_held(get_control_address(), 400, make_partial_body());
}

TEST_F(client_limits, hold_bodies_in_endless_chunks_at_the_entry) {
    expect_held(m_cluster->get_caller_address(), 300, make_endless_chunks());
}

} // namespace
} // namespace poplarpitch
