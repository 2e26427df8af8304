#pragma once

#include "poplarpitch/gateway/gateway_settings.h"

namespace poplarpitch {

/// Runs an entry instance until SIGTERM: it takes callers' requests and relays them to the instance that
/// leads. It keeps no state of its own, so any of them may go at any moment. Returns the process's exit code.
/// Thread safety: none.
int run_gateway_daemon(const gateway_settings& settings);

} // namespace poplarpitch
