#pragma once

#include "poplarpitch/entry/event_batcher.h"
#include "poplarpitch/transport/control_client.h"

#include <vector>

namespace poplarpitch {

class entry_state;

/// Sends events of owned tasks on their way to control and lets `state` know what was committed. Returns at
/// once. Events that fail are raised again by the task agent. Precondition: `events` is not empty; `state`
/// outlives the batcher. Thread safety: any thread.
void post_events(event_batcher<control_client>& batcher, entry_state& state,
                 std::vector<wire::command>&& events);

} // namespace poplarpitch
