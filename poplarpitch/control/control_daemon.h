#pragma once

#include "poplarpitch/config/daemon_settings.h"

namespace poplarpitch {

/// Runs a control instance until SIGTERM or SIGINT. Returns the exit code of the process: 0 after a planned
/// stop, 1 when it cannot start, 3 when storage failed. Precondition: `settings` are valid. Thread safety:
/// none.
int run_control_daemon(const daemon_settings& settings);

} // namespace poplarpitch
