#include "poplarpitch/dispatch/run_log.h"

#include "poplarpitch/scheduling/task_key.h"
#include "poplarpitch/scheduling/worker_life.h"
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

log_event& add_worker(log_event& event, const worker_life& life) {
    event.add("worker", life.id);
    if (life.born_ms != 0) {
        event.add("born_ms", life.born_ms);
    }
    return event;
}

} // namespace poplarpitch
