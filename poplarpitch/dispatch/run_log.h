#pragma once

namespace poplarpitch {

class log_event;
struct run_key;

/// Adds the fields that name a run: job, occurrence, step, task, run. Thread safety: as the event.
void add_run(log_event& event, const run_key& key);

} // namespace poplarpitch
