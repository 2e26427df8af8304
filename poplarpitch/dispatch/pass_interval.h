#pragma once

#include "poplarpitch/core/time.h"

#include <cstddef>

namespace poplarpitch {

/// Returns the minimum time between two placement passes of a leader with this many waiting steps and
/// workers.
///
/// A pass examines all workers for each step, so its cost grows with both. A pass over few steps of a small
/// cluster takes no time worth saving. Over many steps, or in a cluster of thousands of workers, passes that
/// followed each other at once would take most of the leader's processor time, and delay the log's heartbeats
/// while a backlog lasts. Load pattern: 10,000 workers, and hundreds of steps that wait after the loss of a
/// leader; a pass takes 7 ms of a core. Thread safety: any thread.
[[nodiscard]] duration get_pass_interval(std::size_t waiting_steps, std::size_t workers);

} // namespace poplarpitch
