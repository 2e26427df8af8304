#pragma once

#include "poplarpitch/core/resources.h"

namespace poplarpitch::wire {
class amounts;
} // namespace poplarpitch::wire

namespace poplarpitch {

/// Writes resources into their protobuf message. Thread safety: any thread.
void encode(const resources& value, wire::amounts& message);
/// Reads resources from their protobuf message. Thread safety: any thread.
[[nodiscard]] resources decode(const wire::amounts& message);

} // namespace poplarpitch
