#pragma once

#include "poplarpitch/net/http_listener.h"

#include <functional>
#include <memory>
#include <string>

namespace poplarpitch {

/// Serves a daemon's metrics at `/metrics`. `format` gives the text. Metrics help to explain and are not
/// needed to serve, so the caller goes on when nothing is returned: the port cannot be listened on. Thread
/// safety: the loop's thread.
[[nodiscard]] std::unique_ptr<http_listener> serve_metrics(event_loop& loop, const std::string& host,
                                                           int port, std::function<std::string()> format);

} // namespace poplarpitch
