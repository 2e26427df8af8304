#pragma once

#include "poplarpitch/http/http_response.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <system_error>

namespace poplarpitch::wire {
class command_result;
} // namespace poplarpitch::wire

namespace poplarpitch {

/// Answers with JSON. Thread safety: any thread, as for all below.
[[nodiscard]] http_response make_json(const nlohmann::json& body, int status = 200);
/// Says what a failed call to control means to the user.
[[nodiscard]] http_response make_control_error(const std::error_code& error);
/// Says why control refused a command. Precondition: the outcome's code is not 0.
[[nodiscard]] http_response make_state_error(const wire::command_result& outcome);

/// Returns the HTTP status for a command's outcome; 200 for success.
[[nodiscard]] int get_http_status(const wire::command_result& outcome);
/// Returns the error code that users see for a command's outcome.
[[nodiscard]] std::string get_code_name(const wire::command_result& outcome);

} // namespace poplarpitch
