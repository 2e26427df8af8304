#pragma once

#include "poplarpitch/net/http_limits.h"

#include <cstddef>

namespace poplarpitch {

struct request_limits;

/// Returns the limits of callers' requests: those of the configuration, and the settings where it sets none.
/// A body is limited to what an instance can handle at once within `peer_memory_limit` bytes, whatever the
/// configuration allows. Thread safety: any thread.
[[nodiscard]] http_limits merge_limits(const http_limits& settings, const request_limits& configured,
                                       std::size_t peer_memory_limit);

} // namespace poplarpitch
