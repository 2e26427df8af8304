#pragma once

namespace poplarpitch {

class log_event;
struct run_key;
struct worker_incarnation;

/// Adds the fields that identify a run: job, occurrence, step, task, run. Thread safety: as the event.
void add_run(log_event& event, const run_key& key);
/// Adds the fields that identify an incarnation of a worker: worker, and born_ms where it is known. Thread
/// safety: as the event.
log_event& add_worker(log_event& event, const worker_incarnation& incarnation);

} // namespace poplarpitch
