#pragma once

#include "poplarpitch/core/time.h"
#include "poplarpitch/scheduling/step_spec.h"

#include <cstdint>
#include <string>

namespace poplarpitch {

/// Returns how strongly filling tasks of one image slow the answers of serving tasks of another, for each
/// share of the worker that they use: light for most pairs, heavy for a third of them. Thread safety: any
/// thread.
[[nodiscard]] double get_simulated_factor(const std::string& serving, const std::string& filling);

/// Returns the tail latency of a serving task at `now`, in ms, beside filling tasks that slow its answers by
/// 1 + `interference`. Its own load varies within 16 s. Tasks with another `phase` have their highest load at
/// other times. Thread safety: any thread.
[[nodiscard]] std::int64_t get_simulated_tail_ms(const step_spec& serving, double interference,
                                                 std::uint64_t phase, time_point now);

} // namespace poplarpitch
