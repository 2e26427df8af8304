#include "poplarpitch/dispatch/run_log.h"

#include "poplarpitch/scheduling/task_key.h"
#include "poplarpitch/scheduling/worker_incarnation.h"
#include "poplarpitch/telemetry/log_event.h"

#include <cstdint>

namespace poplarpitch {

void add_run(log_event& event, const run_key& key) {
    event.add("job", format_job_id(key.task.step.job))
        .add("occurrence", static_cast<std::uint64_t>(key.task.step.occurrence))
        .add("step", static_cast<std::uint64_t>(key.task.step.step))
        .add("task", static_cast<std::uint64_t>(key.task.index))
        .add("run", static_cast<std::uint64_t>(key.run));
}

log_event& add_worker(log_event& event, const worker_incarnation& incarnation) {
    event.add("worker", incarnation.id);
    if (incarnation.process_start_ms != 0) {
        event.add("born_ms", incarnation.process_start_ms);
    }
    return event;
}

} // namespace poplarpitch
