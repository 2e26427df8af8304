#pragma once

#include "poplarpitch/gateway/gateway_settings.h"

namespace poplarpitch {

/// Runs an entry instance until SIGTERM or SIGINT and returns the process's exit code. An entry instance
/// accepts callers' requests and relays them to the control instance that leads. It keeps no state of its
/// own, so any entry instance may fail at any moment. Thread safety: none.
int run_gateway_daemon(const gateway_settings& settings);

} // namespace poplarpitch
