#pragma once

#include <string>

/// Structured logs: one line of key=value pairs for each event.
namespace poplarpitch {

/// Sends logs to standard error from `level` (debug, info, warn, error) on. Precondition: called once, before
/// the first event. Thread safety: none.
void start_logging(const std::string& level);

} // namespace poplarpitch
