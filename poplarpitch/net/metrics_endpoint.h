#pragma once

#include "poplarpitch/net/http_listener.h"

#include <functional>
#include <memory>
#include <string>

namespace poplarpitch {

/// Serves a daemon's metrics at `/metrics`. `format` returns the text. Returns null when listening on the
/// port fails. The daemon does not need metrics in order to work, so the caller continues without them.
/// Thread safety: the loop's thread.
[[nodiscard]] std::unique_ptr<http_listener> serve_metrics(event_loop& loop, memory_budget& budget,
                                                           const std::string& host, int port,
                                                           std::function<std::string()> format);

} // namespace poplarpitch
