#pragma once

#include "poplarpitch/entry/event_batcher.h"
#include "poplarpitch/transport/control_client.h"

#include <vector>

namespace poplarpitch {

class entry_state;

/// Queues events of owned tasks for control and notifies `state` of those that were committed. Returns at
/// once. After a failed commit the task agent raises refusals, losses and marks again. It does not repeat
/// the event of a start: its job then counts as assigned until it ends, and is not evicted for an urgent one.
/// Preconditions: `events` is not empty; `state` outlives the batcher. Thread safety: any thread.
void post_events(event_batcher<control_client>& batcher, entry_state& state,
                 std::vector<wire::command>&& events);

} // namespace poplarpitch
