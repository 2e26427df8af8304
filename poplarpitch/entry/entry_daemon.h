#pragma once

#include "poplarpitch/config/daemon_settings.h"

namespace poplarpitch {

/// Runs an entry until SIGTERM or SIGINT. Returns the exit code: 0 after a planned shutdown, 1 when it cannot
/// start. Precondition: `settings` were validated. Thread safety: none.
int run_entry_daemon(const daemon_settings& settings);

} // namespace poplarpitch
