#pragma once

#include <string>

namespace poplarpitch {

/// Sends the bytes of an HTTP request as they are, so that a test can send what a client library refuses or
/// encodes, and returns the status of the response; 0 when none arrives within 5 s. `address` is an IPv4
/// address and port. Thread safety: any thread.
int send_raw_request(const std::string& address, const std::string& bytes);

/// Sends the bytes of a request and closes the connection without waiting for a response. Thread safety: any
/// thread.
void send_and_leave(const std::string& address, const std::string& bytes);

/// Returns the bytes of a POST request with a JSON body. `target` and `body` are written as they are. Thread
/// safety: any thread.
std::string make_raw_post(const std::string& target, const std::string& body);

} // namespace poplarpitch
