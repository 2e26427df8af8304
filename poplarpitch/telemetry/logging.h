#pragma once

#include <cstdint>
#include <string>

/// Structured logs: one line of key=value pairs for each event.
namespace poplarpitch {

/// Where logs go.
enum class log_target : std::uint8_t { standard_error, standard_output };

/// Sends logs to `target` from `level` (debug, info, warn, error) on. Precondition: called once, before the
/// first event. Thread safety: none.
void start_logging(const std::string& level, log_target target = log_target::standard_error);

} // namespace poplarpitch
