#pragma once

#include "poplarpitch/config/daemon_settings.h"

namespace poplarpitch {

/// Runs a control instance until SIGTERM or SIGINT. Returns the exit code: 0 after a planned stop, 1 when it
/// cannot start, 3 when storage failed. Precondition: `settings` were checked. Thread safety: none.
int run_control_daemon(const daemon_settings& settings);

} // namespace poplarpitch
