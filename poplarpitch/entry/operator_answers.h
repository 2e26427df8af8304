#pragma once

#include "poplarpitch/http/http_response.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <system_error>

namespace poplarpitch::wire {
class command_result;
} // namespace poplarpitch::wire

namespace poplarpitch {

/// Returns a JSON answer. Thread safety: any thread, for all functions below.
[[nodiscard]] http_response make_json(const nlohmann::json& body, int status = 200);
/// Returns an error answer that tells the user what a failed call to control means.
[[nodiscard]] http_response make_control_error(const std::error_code& error);
/// Returns an error answer with the reason why control refused a command. Precondition: the outcome's code is
/// not 0.
[[nodiscard]] http_response make_state_error(const wire::command_result& outcome);

/// Returns the HTTP status for a command's outcome; 200 for success.
[[nodiscard]] int get_http_status(const wire::command_result& outcome);
/// Returns the error code that users see for a command's outcome.
[[nodiscard]] std::string get_code_name(const wire::command_result& outcome);

} // namespace poplarpitch
